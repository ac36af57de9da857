#include "wasabiroad/scheduling/fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

/** A list that does not contain a run, and the stops ordered after it. */
struct UnlistedRow {
    const char* title;
    const bool longRunning;
    /** @brief When the call for the list was sent; the start is answered at 1000 ms. */
    const std::int64_t sent;
    const bool moreEnds;
    const std::size_t stops;

    friend std::ostream& operator<<(std::ostream& out, const UnlistedRow& row) { return out << row.title; }
};

const std::vector<UnlistedRow> unlistedRows {
    { "list requested after the answer", false, 1100, false, 1 },
    { "list of a long-running task", true, 1100, false, 1 },
    { "list requested before the answer", true, 900, false, 0 },
    { "truncated list", true, 1100, true, 0 },
};

/** Guards against a run that no upstream lists any more and that counts as running forever. */
BOOST_DATA_TEST_CASE(run_that_is_not_listed_any_more_is_started_again, data::make(unlistedRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    const jobs::Step step { .count = 1, .resources = { 1000, 100, 0 }, .longRunning = row.longRunning };
    fixture.apply(JobAdded { makeJob("j", { step }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Started }, 1000);
    fixture.apply(TasksListed { first.upstream, { 1 }, { row.sent }, {}, {}, row.moreEnds }, 1200);
    BOOST_TEST(fixture.stops.size() == row.stops);
    // The run may still be carried out until its stop is answered.
    BOOST_TEST(fixture.starts.size() == 1);
    fixture.apply(StopAnswered { first.upstream, first.task, first.run, true }, 1300);
    fixture.apply(TasksListed { first.upstream, { 1 }, { 1400 }, {}, {}, row.moreEnds }, 1500);
    BOOST_TEST(fixture.starts.size() == 1 + row.stops);
}

} // namespace

} // namespace wasabiroad::scheduling::test
