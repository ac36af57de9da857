#include "wasabiroad/agent/stall_log.hpp"

#include "wasabiroad/agent/revision_clock.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace wasabiroad::agent {

using kernel::Duration;
using kernel::Instant;
using scheduling::UpstreamCondition;
using scheduling::WaitingReasons;
using scheduling::WaitReason;

namespace {

/** Interval of reports, in ms; it bounds the volume of the log. */
constexpr Duration reportInterval { 1000 };

/** Time in ms for which ready tasks wait, and no task is started, before a stall is logged. */
constexpr Duration stallThreshold { 2000 };

constexpr std::array waitReasons { WaitReason::Unresolved, WaitReason::Delayed, WaitReason::Gang,
    WaitReason::Blocked, WaitReason::Startable };

constexpr std::array upstreamConditions { UpstreamCondition::Indexed, UpstreamCondition::Drained,
    UpstreamCondition::NotMember, UpstreamCondition::Unlisted, UpstreamCondition::OutdatedFacts,
    UpstreamCondition::Reopening, UpstreamCondition::UnknownTasks, UpstreamCondition::Draining,
    UpstreamCondition::Suspect, UpstreamCondition::StartLimit, UpstreamCondition::Unindexed };

UpstreamCondition mostFrequentCondition(const WaitingReasons& waiting)
{
    return *std::ranges::max_element(
        upstreamConditions, {}, [&](UpstreamCondition condition) { return waiting.count(condition); });
}

/** @return Reason of the task that has waited longest; a task must wait. */
WaitReason longestWaitReason(const WaitingReasons& waiting)
{
    return std::ranges::max_element(waiting.tasks, {}, [](const auto& entry) {
        return entry.second.waited;
    })->first;
}

} // namespace

StallCause findStallCause(const OwnerState& owner, const WaitingReasons& waiting)
{
    if (const auto* const held = std::get_if<StartsHeld>(&owner.permission)) {
        return *held;
    }
    if (owner.members == 0) {
        return NoMembers {};
    }
    if (owner.answering == 0) {
        return UpstreamsSilent {};
    }
    if (owner.recorded == 0) {
        return waiting.count(UpstreamCondition::Drained) < owner.answering
            ? StallCause { UpstreamsNotRecorded {} }
            : StallCause { UpstreamsExcluded { UpstreamCondition::Drained } };
    }
    const auto reason = longestWaitReason(waiting);
    if (reason == WaitReason::Startable && waiting.atStartLimit) {
        return StartsUnanswered {};
    }
    if (reason == WaitReason::Blocked && waiting.count(UpstreamCondition::Indexed) == 0
        && !waiting.upstreams.empty()) {
        return UpstreamsExcluded { mostFrequentCondition(waiting) };
    }
    return TasksWait { reason };
}

std::string describe(const StallCause& cause)
{
    return std::visit(
        kernel::Overloaded {
            [](const StartsHeld& held) { return "starts-held-" + std::string { reasonOf(held) }; },
            [](const NoMembers&) { return std::string { "no-members" }; },
            [](const UpstreamsSilent&) { return std::string { "upstreams-silent" }; },
            [](const UpstreamsNotRecorded&) { return std::string { "upstreams-not-recorded" }; },
            [](const UpstreamsExcluded& excluded) {
                return "upstreams-" + std::string { scheduling::name(excluded.condition) };
            },
            [](const StartsUnanswered&) { return std::string { "starts-unanswered" }; },
            [](const TasksWait& tasks) { return "tasks-" + std::string { scheduling::name(tasks.reason) }; },
        },
        cause);
}

StallLog::StallLog(model::ServiceId ownPool, std::shared_ptr<metrics::Metrics> poolMetrics, Instant begun)
    : pool(std::move(ownPool))
    , metrics(std::move(poolMetrics))
    , lastStart(begun)
    , lastTick(begun)
    , lastReport(begun)
{
}

bool StallLog::tick(Instant now)
{
    this->longestTickGap = std::max(this->longestTickGap, now - this->lastTick);
    this->lastTick = now;
    return !this->closed && now - this->lastReport >= reportInterval;
}

void StallLog::report(const OwnerState& owner, const WaitingReasons& waiting, Instant now)
{
    const auto sinceReport = now - this->lastReport;
    this->lastReport = now;
    setGauges(waiting);
    if (waiting.longestWait() > stallThreshold && now - this->lastStart > stallThreshold) {
        logStall(owner, waiting, now);
        constexpr double millisecondsPerSecond = 1000;
        this->metrics->count("wasabiroad_stalled_seconds_total", { { "pool", this->pool.text() } },
            static_cast<double>(sinceReport.milliseconds) / millisecondsPerSecond);
    }
    logTasks(waiting);
    this->longestTickGap = {};
}

void StallLog::logStall(const OwnerState& owner, const WaitingReasons& waiting, Instant now) const
{
    using enum UpstreamCondition;
    const auto* const held = std::get_if<StartsHeld>(&owner.permission);
    kernel::logEvent("pool-stalled",
        { { "pool", this->pool.text() }, { "term", owner.term },
            { "cause", describe(findStallCause(owner, waiting)) },
            { "waited_ms", waiting.longestWait().milliseconds },
            { "since_start_ms", (now - this->lastStart).milliseconds },
            { "lease_valid", held != nullptr && held->leaseInvalid ? "no" : "yes" },
            { "view_age_ms", ageText(owner.viewAge) }, { "members_age_ms", owner.membersAge.milliseconds },
            { "tick_gap_ms", this->longestTickGap.milliseconds }, { "ready", waiting.readyCount() },
            { "unresolved", waiting.count(WaitReason::Unresolved) },
            { "delayed", waiting.count(WaitReason::Delayed) }, { "gang", waiting.count(WaitReason::Gang) },
            { "blocked", waiting.count(WaitReason::Blocked) },
            { "startable", waiting.count(WaitReason::Startable) }, { "members", owner.members },
            { "recorded", owner.recorded }, { "answering", owner.answering },
            { "indexed", waiting.count(Indexed) }, { "not_member", waiting.count(NotMember) },
            { "unlisted", waiting.count(Unlisted) }, { "outdated_facts", waiting.count(OutdatedFacts) },
            { "reopening", waiting.count(Reopening) }, { "unknown_tasks", waiting.count(UnknownTasks) },
            { "drained", waiting.count(Drained) }, { "draining", waiting.count(Draining) },
            { "suspect", waiting.count(Suspect) }, { "start_limit", waiting.count(StartLimit) },
            { "not_indexed", waiting.count(Unindexed) }, { "unreconciled", waiting.unreconciled },
            { "starting", waiting.phases.starting }, { "running", waiting.phases.running },
            { "stopping", waiting.phases.stopping }, { "unanswered_starts", waiting.unansweredStarts },
            { "writing_used", owner.writingRecordedUpstreams ? "yes" : "no" },
            { "unwritten_records", owner.unwrittenRecords } });
}

void StallLog::logTasks(const WaitingReasons& waiting) const
{
    for (const auto& [reason, tasks] : waiting.tasks) {
        if (tasks.waited > stallThreshold) {
            kernel::logEvent("task-waiting",
                { { "task", jobs::toText(tasks.longest) }, { "pool", this->pool.text() },
                    { "reason", scheduling::name(reason) }, { "waited_ms", tasks.waited.milliseconds },
                    { "alike", tasks.count }, { "cpu", tasks.required.cpu },
                    { "memory", tasks.required.memory }, { "accelerators", tasks.required.accelerators },
                    { "label", tasks.label }, { "fitting", tasks.fitting } });
        }
    }
}

void StallLog::setGauges(const WaitingReasons& waiting)
{
    const auto set = [&](const char* metric, const char* label, std::string_view value, std::size_t count) {
        this->metrics->set(metric, { { "pool", this->pool.text() }, { label, std::string { value } } },
            static_cast<double>(count));
    };
    for (const auto reason : waitReasons) {
        set("wasabiroad_waiting_tasks", "reason", scheduling::name(reason), waiting.count(reason));
    }
    for (const auto condition : upstreamConditions) {
        set("wasabiroad_pool_upstreams", "state", scheduling::name(condition), waiting.count(condition));
    }
}

void StallLog::close()
{
    // Another term of this daemon may set the gauges after the first call.
    if (!std::exchange(this->closed, true)) {
        setGauges({});
    }
}

} // namespace wasabiroad::agent
