#include "wasabiroad/scheduling/fixture.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

/** Tail latencies of a serving task with a target of 100 ms, and the resulting pace of a filler next to it.
 */
struct PaceRow {
    const char* title;
    const std::vector<std::int64_t> tails;
    const std::int64_t pace;

    friend std::ostream& operator<<(std::ostream& out, const PaceRow& row) { return out << row.title; }
};

const std::vector<PaceRow> rows {
    { "well below the target", { 30, 40, 50 }, 100 },
    { "near the target", { 85 }, 50 },
    { "near the target for long", { 85, 85, 85, 85, 85 }, 0 },
    { "over the target", { 120 }, 0 },
    { "between the bounds nothing changes", { 85, 70, 70, 70 }, 50 },
    { "recovers in steps", { 120, 40, 40, 40 }, 60 },
};

/** Guards against fillers that keep the tail latency of a serving task over its target. */
BOOST_DATA_TEST_CASE(filler_yields_to_the_serving_task, data::make(rows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    const jobs::Step serving {
        .count = 1, .resources = { 1000, 100, 0 }, .longRunning = true, .tailLatencyTarget = { 100 }
    };
    const jobs::Step filler {
        .count = 1, .resources = { 1000, 100, 0 }, .longRunning = true, .filler = true
    };
    fixture.apply(JobAdded { makeJob("j", { serving, filler }) }, 10);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 2);
    std::int64_t time = 1000;
    for (const auto tail : row.tails) {
        fixture.applyTaskList("u1",
            { { fixture.starts[0].task, fixture.starts[0].run, "", 100, tail },
                { fixture.starts[1].task, fixture.starts[1].run, "", 100, 500 } },
            {}, time);
        time += 1600;
    }
    BOOST_TEST((fixture.paces.empty() ? 100 : fixture.paces.back().percent) == row.pace);
    BOOST_TEST(fixture.scheduler.needsFrequentPolling(UpstreamId { "u1" }));
}

/** Guards against a drain that never ends because no two upstreams of a step have listed their tasks
 * recently. */
BOOST_DATA_TEST_CASE(
    upstreams_of_limited_steps_are_polled_often_during_a_drain, data::make({ 0U, 1U }), maxUnavailable)
{
    SchedulerFixture fixture { { makeUpstream("u1", 2000), makeUpstream("u2", 2000) } };
    const jobs::Step step {
        .count = 4, .resources = { 1000, 100, 0 }, .longRunning = true, .maxUnavailable = maxUnavailable
    };
    fixture.apply(JobAdded { makeJob("j", { step }) }, 10);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 4);
    BOOST_TEST(!fixture.scheduler.needsFrequentPolling(UpstreamId { "u2" }));
    fixture.apply(DrainsChanged { { { UpstreamId { "u1" }, true } } }, 20);
    BOOST_TEST(fixture.scheduler.needsFrequentPolling(UpstreamId { "u2" }) == (maxUnavailable > 0));
    fixture.apply(DrainsChanged {}, 30);
    BOOST_TEST(!fixture.scheduler.needsFrequentPolling(UpstreamId { "u2" }));
}

} // namespace

} // namespace wasabiroad::scheduling::test
