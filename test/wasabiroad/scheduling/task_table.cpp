#include "wasabiroad/scheduling/task_table.hpp"

#include "wasabiroad/scheduling/fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <pcg_random.hpp>

namespace wasabiroad::scheduling::internal {

namespace {

namespace data = boost::unit_test::data;

/** Guards against a table that differs from a plain list of tasks after the same changes. */
BOOST_DATA_TEST_CASE(table_matches_a_list_of_tasks, data::xrange(50), seed)
{
    constexpr std::uint32_t count = 12;
    const auto now = test::at(100);
    pcg32 random { static_cast<std::uint64_t>(seed) };
    const Task initial { .unresolved = random(2) == 0 };
    TaskTable table { count, initial };
    std::vector<Task> tasks(count, initial);
    for (int change = 0; change < 60; ++change) {
        const auto index = random(count);
        const auto phase = static_cast<Phase>(random(5));
        const kernel::Instant notBefore { random(2) == 0 ? 0 : 200 };
        for (auto* const task : { &table.at(index), &tasks[index] }) {
            task->phase = phase;
            task->done = phase == Phase::Done;
            task->unresolved = task->unresolved && !task->done;
            task->notBefore = notBefore;
        }
        if (random(3) == 0) {
            table.releaseDone();
        }
        if (random(40) == 0) {
            table.resolve();
            std::ranges::for_each(tasks, [](Task& task) { task.unresolved = false; });
        }
        const auto startable = [&](const Task& task) { return isStartable(task, now); };
        const auto waits = [](const Task& task) { return task.phase == Phase::Waiting; };
        const auto first = std::ranges::find_if(tasks, startable);
        const auto next = table.nextStartable(0, now);
        BOOST_REQUIRE_EQUAL(next.has_value(), first != tasks.end());
        BOOST_REQUIRE(!next || *next == static_cast<std::uint32_t>(first - tasks.begin()));
        BOOST_REQUIRE_EQUAL(table.areAllStartable(now), std::ranges::all_of(tasks, startable));
        BOOST_REQUIRE_EQUAL(
            table.waitingCount(), static_cast<std::size_t>(std::ranges::count_if(tasks, waits)));
        std::size_t visited = 0;
        table.forEachWaiting([&](std::uint32_t at, const Task& task, std::size_t alike) {
            visited += alike;
            BOOST_REQUIRE(waits(tasks[at]));
            BOOST_REQUIRE_EQUAL(task.unresolved, tasks[at].unresolved);
            BOOST_REQUIRE((task.notBefore == tasks[at].notBefore));
        });
        BOOST_REQUIRE_EQUAL(visited, table.waitingCount());
        for (std::uint32_t each = 0; each < count; ++each) {
            BOOST_REQUIRE((table.peek(each).phase == tasks[each].phase));
            BOOST_REQUIRE_EQUAL(table.peek(each).done, tasks[each].done);
        }
        std::vector<std::uint32_t> touched;
        table.forEachTouched([&](std::uint32_t at, const Task&) { touched.push_back(at); });
        BOOST_REQUIRE(std::ranges::is_sorted(touched));
    }
}

/** Number of tasks of a step, most of which have not been started or are done. */
const std::vector<std::uint32_t> sizes { 1, 10, 10000 };

/** Guards against memory that grows with the number of tasks that a caller chose. */
BOOST_DATA_TEST_CASE(only_tasks_in_use_are_held, data::make(sizes), count)
{
    TaskTable table { count, {} };
    for (std::uint32_t index = 0; index < count; ++index) {
        table.at(index).phase = Phase::Running;
        BOOST_REQUIRE(table.heldCount() <= 1);
        table.at(index).phase = Phase::Done;
        table.releaseDone();
    }
    BOOST_TEST(table.heldCount() == 0);
    BOOST_TEST(table.waitingCount() == 0);
}

} // namespace

} // namespace wasabiroad::scheduling::internal
