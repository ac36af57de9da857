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

/** Guards against starts on an upstream whose VM was ordered away at the end of its drain. */
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

/** Tasks of a step that may be unavailable at once, and the stops at the end of a drain's time-out of an
 * upstream that runs all three tasks and whose tasks no other upstream may run. */
struct OnlyPlaceRow {
    const std::uint32_t maxUnavailable;
    const std::size_t stops;

    friend std::ostream& operator<<(std::ostream& out, const OnlyPlaceRow& row)
    {
        return out << row.maxUnavailable << " may be unavailable";
    }
};

const std::vector<OnlyPlaceRow> onlyPlaceRows { { 0, 3 }, { 1, 0 }, { 2, 0 }, { 3, 3 } };

/** Guards against stopping a long-running task for a maintenance that cannot begin. */
BOOST_DATA_TEST_CASE(drain_stops_all_tasks_without_another_place_or_none, data::make(onlyPlaceRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    const jobs::Step step {
        .count = 3, .resources = { 1000, 100, 0 }, .longRunning = true, .maxUnavailable = row.maxUnavailable
    };
    fixture.apply(JobAdded { makeJob("j", { step }) }, 10);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 3);
    std::vector<RunningTask> running;
    for (const auto& start : fixture.starts) {
        running.push_back({ start.task, start.run, "", 100 });
    }
    fixture.applyTaskList("u1", running, {}, 100);
    fixture.apply(DrainsChanged { { { UpstreamId { "u1" }, true } } }, 200);
    BOOST_TEST(fixture.stops.empty());
    const auto timeout = 200 + Policy {}.drainTimeout.milliseconds;
    fixture.applyTaskList("u1", running, {}, timeout);
    fixture.apply(Tick {}, timeout);
    BOOST_TEST(fixture.stops.size() == row.stops);
}

} // namespace

} // namespace wasabiroad::scheduling::test
