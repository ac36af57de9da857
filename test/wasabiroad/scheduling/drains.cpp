#include "wasabiroad/scheduling/fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

/** When the call for the list after the end of a drain was sent, and the starts after its answer. */
struct ReopeningRow {
    const char* title;
    const std::optional<std::int64_t> sent;
    const std::size_t starts;

    friend std::ostream& operator<<(std::ostream& out, const ReopeningRow& row) { return out << row.title; }
};

constexpr std::int64_t drainEnd = 1000;

const std::vector<ReopeningRow> reopeningRows {
    { "no answer", std::nullopt, 0 },
    { "answer to an earlier call", drainEnd - 1, 0 },
    { "answer to a call of the same time", drainEnd, 0 },
    { "answer to a later call", drainEnd + 1, 1 },
};

/** Guards against tasks that start on an upstream whose VM was moved or maintained at the end of its drain.
 */
BOOST_DATA_TEST_CASE(
    drained_upstream_gets_tasks_only_after_it_has_answered_again, data::make(reopeningRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(DrainsChanged { { { UpstreamId { "u1" } } } }, 500);
    fixture.apply(DrainsChanged {}, drainEnd);
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, drainEnd + 10);
    if (row.sent) {
        fixture.apply(TasksListed { UpstreamId { "u1" }, { 1 }, { *row.sent } }, drainEnd + 20);
    }
    constexpr std::int64_t end = 15000;
    for (std::int64_t time = drainEnd + 100; time < end; time += 100) {
        fixture.apply(MembersListed { { makeUpstream("u1") } }, time);
        fixture.apply(Tick {}, time);
    }
    BOOST_TEST(fixture.starts.size() == row.starts);
}

} // namespace

} // namespace wasabiroad::scheduling::test
