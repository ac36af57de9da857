#include "wasabiroad/scheduling/fixture.hpp"

#include <functional>
#include <utility>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

/** Maximum number of items examined per event. */
constexpr std::uint64_t examinedPerEvent = 8;

/** Maximum number of items examined per placed task. */
constexpr std::uint64_t examinedPerPlacement = 8;

/** Number of measured events; a single one may include work deferred from earlier events. */
constexpr std::uint64_t measuredEvents = 20;

/** Number of different sizes of waiting tasks. */
constexpr std::int64_t sizes = 4;

/** Items examined per size when resources become free: its requirements, its first step and the upstream. */
constexpr std::uint64_t examinedPerSize = 3;

constexpr std::int64_t upstreamCpu = 4000;

/** Size of a full pool with waiting jobs. */
struct FullPoolRow {
    const std::size_t waitingJobs;
    const std::size_t fullUpstreams;

    friend std::ostream& operator<<(std::ostream& out, const FullPoolRow& row)
    {
        return out << row.waitingJobs << " jobs wait for " << row.fullUpstreams << " full upstreams";
    }
};

const std::vector<FullPoolRow> fullPools { { 10, 4 }, { 1000, 4 }, { 10, 300 }, { 1000, 300 } };

/** @brief A pool of full upstreams with waiting jobs. */
class FullPool {
public:
    explicit FullPool(const FullPoolRow& row)
        : fixture(members(row.fullUpstreams))
    {
        for (std::size_t index = 0; index < row.fullUpstreams; ++index) {
            add("running", 1, upstreamCpu);
        }
        // Starts in flight are limited, so each answer allows another start.
        for (std::size_t index = 0; index < this->fixture.starts.size(); ++index) {
            const auto start = this->fixture.starts[index];
            this->fixture.apply(
                StartAnswered { start.upstream, start.task, start.run, StartResult::Started }, 20);
        }
        for (std::size_t index = 0; index < row.waitingJobs; ++index) {
            add("waiting", 1, upstreamCpu - static_cast<std::int64_t>(index) % sizes);
        }
        this->placed = this->fixture.starts.size();
    }

    void add(const std::string& name, std::uint32_t tasks, std::int64_t cpu)
    {
        this->fixture.apply(
            JobAdded { makeJob(name + std::to_string(++this->added), { makeStep(tasks, cpu) }) }, 10);
    }

    /** @return Items of all kinds examined since the last call, and number of tasks placed. */
    std::pair<std::uint64_t, std::size_t> since()
    {
        const auto effort = this->fixture.scheduler.effort();
        const auto all = effort.jobs + effort.steps + effort.upstreams;
        const auto starts = this->fixture.starts.size();
        return { all - std::exchange(this->examined, all), starts - std::exchange(this->placed, starts) };
    }

    SchedulerFixture fixture;

private:
    static std::vector<UpstreamFacts> members(std::size_t count)
    {
        std::vector<UpstreamFacts> facts;
        for (std::size_t index = 0; index < count; ++index) {
            facts.push_back(makeUpstream("u" + std::to_string(index), upstreamCpu));
        }
        return facts;
    }

    std::size_t added { 0 };
    std::uint64_t examined { 0 };
    std::size_t placed { 0 };
};

/** Event in a full pool. */
struct EventRow {
    const char* title;
    const std::function<void(FullPool&, std::uint64_t number)> happen;

    friend std::ostream& operator<<(std::ostream& out, const EventRow& row) { return out << row.title; }
};

const std::vector<EventRow> eventRows {
    { "a job is added", [](FullPool& fullPool, std::uint64_t) { fullPool.add("late", 1, upstreamCpu); } },
    { "an upstream lists its task",
        [](FullPool& fullPool, std::uint64_t) {
            const auto& start = fullPool.fixture.starts.front();
            fullPool.fixture.applyTaskList(
                start.upstream.text(), { { start.task, start.run, "", 50 } }, {}, 30);
        } },
    { "time passes", [](FullPool& fullPool, std::uint64_t) { fullPool.fixture.apply(Tick {}, 30); } },
    { "a task ends and another starts in its place",
        [](FullPool& fullPool, std::uint64_t number) {
            const auto start = fullPool.fixture.starts[number % fullPool.fixture.starts.size()];
            fullPool.fixture.applyTaskList(
                start.upstream.text(), {}, { { number + 1, start.task, start.run, EndKind::Done, "" } }, 30);
            fullPool.fixture.scheduler.recordWritten(start.task.job);
        } },
    { "a start is refused",
        [](FullPool& fullPool, std::uint64_t) {
            const auto start = fullPool.fixture.starts.back();
            fullPool.fixture.apply(
                StartAnswered { start.upstream, start.task, start.run, StartResult::NoRoom }, 30);
        } },
};

/** Guards against events whose cost grows with the number of waiting jobs or full upstreams. */
BOOST_DATA_TEST_CASE(effort_of_an_event_is_independent_of_waiting_jobs_and_full_upstreams,
    data::make(fullPools) * data::make(eventRows), fullPoolRow, eventRow)
{
    FullPool fullPool { fullPoolRow };
    BOOST_REQUIRE_EQUAL(fullPool.fixture.starts.size(), fullPoolRow.fullUpstreams);
    fullPool.since();
    for (std::uint64_t number = 0; number < measuredEvents; ++number) {
        eventRow.happen(fullPool, number);
    }
    const auto [examined, placements] = fullPool.since();
    BOOST_TEST(examined
        <= examinedPerEvent * measuredEvents + (examinedPerPlacement + examinedPerSize * sizes) * placements);
}

} // namespace

} // namespace wasabiroad::scheduling::test
