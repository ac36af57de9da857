#include "wasabiroad/agent/stall_log.hpp"

#include "wasabiroad/agent/log_capture.hpp"

#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;
using scheduling::UpstreamCondition;
using scheduling::WaitingReasons;
using scheduling::WaitingTasks;
using scheduling::WaitReason;

const model::ServiceId pool { "checks" };

/** The age of a view, whether the lease is valid, and the reason for which starts are held. */
struct PermissionRow {
    const bool leaseValid;
    const std::optional<kernel::Duration> viewAge;
    const char* reason;

    friend std::ostream& operator<<(std::ostream& out, const PermissionRow& row)
    {
        return out << (row.leaseValid ? "valid lease" : "no lease") << ", view of "
                   << (row.viewAge ? std::to_string(row.viewAge->milliseconds) : "unknown") << " ms";
    }
};

const std::vector<PermissionRow> permissions {
    { true, kernel::Duration { 2000 }, "" },
    { true, kernel::Duration { 2001 }, "view" },
    { true, std::nullopt, "view" },
    { false, kernel::Duration { 0 }, "lease" },
    { false, kernel::Duration { 2001 }, "lease-and-view" },
    { false, std::nullopt, "lease-and-view" },
};

/** Guards against held starts whose log names the wrong reason. */
BOOST_DATA_TEST_CASE(reason_for_held_starts, data::make(permissions), row)
{
    const auto permission = decideStarts(row.leaseValid, row.viewAge, { 2000 });
    BOOST_TEST(reasonOf(permission) == row.reason);
    BOOST_TEST(std::holds_alternative<StartsAllowed>(permission) == std::string_view { row.reason }.empty());
}

/** @return Waiting tasks, the longest for `milliseconds`. */
WaitingTasks waitFor(std::int64_t milliseconds)
{
    return { .count = 2, .longest = { jobs::JobId { "j" }, {} }, .waited = { milliseconds } };
}

constexpr OwnerState able { .term = 7, .members = 4, .recorded = 4, .answering = 4 };

/** The state of an owner and of its scheduler, and the cause in the log. */
struct CauseRow {
    const char* cause;
    const OwnerState owner;
    const WaitingReasons waiting;

    friend std::ostream& operator<<(std::ostream& out, const CauseRow& row) { return out << row.cause; }
};

const WaitingReasons blocked { { { WaitReason::Blocked, waitFor(3000) } },
    { { UpstreamCondition::Indexed, 1 }, { UpstreamCondition::Suspect, 3 } } };

const std::vector<CauseRow> causes {
    { "starts-held-lease", { .permission = StartsHeld { true, false }, .members = 4 }, blocked },
    { "starts-held-view", { .permission = StartsHeld { false, true } }, blocked },
    { "starts-held-lease-and-view", { .permission = StartsHeld { true, true } }, blocked },
    { "no-members", {}, blocked },
    { "upstreams-silent", { .members = 4, .recorded = 4 }, blocked },
    { "upstreams-not-recorded", { .members = 4, .answering = 4 }, blocked },
    { "upstreams-drained", { .members = 4, .answering = 4 },
        { { { WaitReason::Blocked, waitFor(3000) } }, { { UpstreamCondition::Drained, 4 } } } },
    { "upstreams-drained", able,
        { { { WaitReason::Blocked, waitFor(3000) } },
            { { UpstreamCondition::Drained, 3 }, { UpstreamCondition::Suspect, 1 } } } },
    { "upstreams-unknown-tasks", able,
        { { { WaitReason::Blocked, waitFor(3000) } }, { { UpstreamCondition::UnknownTasks, 1 } } } },
    { "starts-unanswered", able,
        { .tasks = { { WaitReason::Startable, waitFor(3000) } }, .atStartLimit = true } },
    { "tasks-startable", able, { { { WaitReason::Startable, waitFor(3000) } } } },
    { "tasks-blocked", able, blocked },
    { "tasks-unresolved", able,
        { { { WaitReason::Blocked, waitFor(2500) }, { WaitReason::Unresolved, waitFor(3000) } } } },
    { "tasks-delayed", able,
        { { { WaitReason::Blocked, waitFor(2500) }, { WaitReason::Delayed, waitFor(3000) } } } },
    { "tasks-gang", able, { { { WaitReason::Gang, waitFor(3000) } } } },
};

/** Guards against two kinds of stall that the log does not tell apart. */
BOOST_DATA_TEST_CASE(each_kind_of_stall_has_a_cause_of_its_own, data::make(causes), row)
{
    LogCapture capture;
    StallLog log { pool, std::make_shared<metrics::Metrics>(), { 0 } };
    log.report(row.owner, row.waiting, { 5000 });
    const auto lines = capture.linesOf("pool-stalled");
    BOOST_REQUIRE(lines.size() == 1);
    BOOST_TEST(LogCapture::fieldOf(lines[0], "cause") == row.cause);
    BOOST_TEST(LogCapture::fieldOf(lines[0], "members") == std::to_string(row.owner.members));
    BOOST_TEST(LogCapture::fieldOf(lines[0], "since_start_ms") == "5000");
}

/** The longest wait and the last start, 10 s after the term began, and whether the pool is stalled. */
struct StallRow {
    const std::int64_t waited;
    const std::int64_t lastStart;
    const bool stalled;

    friend std::ostream& operator<<(std::ostream& out, const StallRow& row)
    {
        return out << "waited " << row.waited << ", last start at " << row.lastStart;
    }
};

const std::vector<StallRow> stalls {
    { 0, 0, false },
    { 2000, 0, false },
    { 2001, 0, true },
    { 2001, 7999, true },
    { 9000, 8000, false },
    { 9000, 10000, false },
};

/** Guards against stalls that are reported for a busy pool, or not at all. */
BOOST_DATA_TEST_CASE(pool_is_stalled_when_tasks_wait_and_none_starts, data::make(stalls), row)
{
    LogCapture capture;
    const auto metrics = std::make_shared<metrics::Metrics>();
    StallLog log { pool, metrics, { 0 } };
    log.recordStart({ row.lastStart });
    const WaitingReasons waiting { { { WaitReason::Blocked, waitFor(row.waited) } } };
    log.report(able, waiting, { 10000 });
    BOOST_TEST(capture.linesOf("pool-stalled").size() == (row.stalled ? 1 : 0));
    const auto counted = metrics->text().find("wasabiroad_stalled_seconds_total{pool=\"checks\"} 10");
    BOOST_TEST((counted != std::string::npos) == row.stalled);
}

/** Guards against a log whose volume grows with the number of ticks or tasks. */
BOOST_AUTO_TEST_CASE(reports_and_their_lines_are_bounded)
{
    LogCapture capture;
    StallLog log { pool, std::make_shared<metrics::Metrics>(), { 0 } };
    const WaitingReasons waiting { {
        { WaitReason::Unresolved, { .count = 5000, .waited = { 3000 } } },
        { WaitReason::Delayed, { .count = 5000, .waited = { 3000 } } },
        { WaitReason::Gang, { .count = 5000, .waited = { 3000 } } },
        { WaitReason::Blocked, { .count = 5000, .waited = { 3000 } } },
        { WaitReason::Startable, { .count = 5000, .waited = { 100 } } },
    } };
    for (std::int64_t time = 0; time <= 10000; time += 100) {
        if (log.tick({ time })) {
            log.report(able, waiting, { time });
        }
    }
    // A process that stood for 4 s reports once when it goes on.
    BOOST_REQUIRE(log.tick({ 14000 }));
    log.report(able, waiting, { 14000 });
    BOOST_TEST(!log.tick({ 14100 }));
    const auto stalled = capture.linesOf("pool-stalled");
    BOOST_REQUIRE(stalled.size() == 9);
    BOOST_TEST(LogCapture::fieldOf(stalled[0], "tick_gap_ms") == "100");
    BOOST_TEST(LogCapture::fieldOf(stalled[8], "tick_gap_ms") == "4000");
    BOOST_TEST(capture.linesOf("task-waiting").size() == 4 * 11);
}

/** Guards against gauges that stay when this daemon has lost the pool. */
BOOST_AUTO_TEST_CASE(gauges_are_zero_after_the_term)
{
    const auto metrics = std::make_shared<metrics::Metrics>();
    const auto shows
        = [&](const std::string& line) { return metrics->text().find(line + "\n") != std::string::npos; };
    const std::string tasks { "wasabiroad_waiting_tasks{pool=\"checks\",reason=\"blocked\"} " };
    const std::string upstreams { "wasabiroad_pool_upstreams{pool=\"checks\",state=\"suspect\"} " };
    StallLog log { pool, metrics, { 0 } };
    log.report(able, blocked, { 1000 });
    BOOST_TEST(shows(tasks + "2"));
    BOOST_TEST(shows(upstreams + "3"));
    log.close();
    BOOST_TEST(shows(tasks + "0"));
    BOOST_TEST(shows(upstreams + "0"));
    BOOST_TEST(!log.tick({ 60000 }));
    // The next term of the same daemon begins before the end of this one is noted again.
    StallLog next { pool, metrics, { 1000 } };
    next.report(able, blocked, { 2000 });
    log.close();
    BOOST_TEST(shows(tasks + "2"));
}

} // namespace

} // namespace wasabiroad::agent::test
