#include "wasabiroad/scheduling/fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

/** Time in ms at which the owner learns of an order that an upstream has carried out. */
constexpr std::int64_t answered = 1000;

/** When a list without the run was requested, and whether the upstream must have carried out the order by
 * then. Two events of one millisecond have no order that the clock shows. */
struct Row {
    const char* title;
    const std::int64_t requested;
    const bool isLater;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "before the answer", answered - 1, false },
    { "in the millisecond of the answer", answered, false },
    { "after the answer", answered + 1, true },
};

/** Guards against stopping a run that has just started, as a list from before its start lacks it (AVAIL). */
BOOST_DATA_TEST_CASE(run_counts_as_missing_only_from_a_later_list, data::make(rows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, answered - 2);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Started }, answered);
    fixture.apply(TasksListed { first.upstream, { 1 }, { row.requested }, {}, {} }, answered + 2);
    BOOST_TEST(fixture.stops.size() == (row.isLater ? 1 : 0));
}

/** Guards against a second run while the first is stopping: a list from before the stop lacks a run that was
 * started after it (TWICE). */
BOOST_DATA_TEST_CASE(stopped_run_is_released_only_by_a_later_list, data::make(rows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Unknown }, 900);
    fixture.apply(StopAnswered { first.upstream, first.task, first.run, true }, answered);
    fixture.apply(TasksListed { first.upstream, { 1 }, { row.requested }, {}, {} }, answered + 2);
    // The upstream is not used for a while after a start without an answer.
    fixture.apply(Tick {}, 900 + Policy {}.refusalRetryDelay.milliseconds + 100);
    BOOST_TEST(fixture.starts.size() == (row.isLater ? 2 : 1));
}

/** Guards against a second run of a task that a new incarnation of its upstream has started after it listed
 * its tasks (TWICE). */
BOOST_DATA_TEST_CASE(restart_ends_only_runs_from_before_its_list, data::make(rows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, answered - 2);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Started }, answered);
    fixture.apply(TasksListed { first.upstream, { 2 }, { row.requested }, {}, {} }, answered + 2);
    fixture.applyIncarnation("u1", 2, answered + 3);
    BOOST_TEST(fixture.starts.size() == (row.isLater ? 2 : 1));
    BOOST_TEST(fixture.stops.empty());
}

} // namespace

} // namespace wasabiroad::scheduling::test
