#pragma once

#include "wasabiroad/agent/start_permission.hpp"
#include "wasabiroad/metrics/metrics.hpp"
#include "wasabiroad/model/identifier.hpp"
#include "wasabiroad/scheduling/waiting_reasons.hpp"

#include <memory>
#include <string>
#include <variant>

namespace wasabiroad::agent {

/** @brief State of the owner of a pool that decides whether tasks start, beside that of its scheduler. */
struct OwnerState {
    const std::uint64_t term { 0 };
    const StartPermission permission {};
    /** @brief Upper bound for the age of its view of the pool, or nothing if it is not known. */
    const std::optional<kernel::Duration> viewAge {};
    /** @brief Time since the list of upstreams was last answered. */
    const kernel::Duration membersAge {};
    /** @brief Upstreams of the pool, those of them that are recorded as used, and those that answer. */
    const std::size_t members { 0 };
    const std::size_t recorded { 0 };
    const std::size_t answering { 0 };
    /** @brief The record of used upstreams is being written. */
    const bool writingRecordedUpstreams { false };
    /** @brief Jobs whose records are queued or being written. */
    const std::size_t unwrittenRecords { 0 };

    friend auto operator<=>(const OwnerState&, const OwnerState&) = default;
};

/** @brief The pool has no upstreams. */
struct NoMembers {
    friend auto operator<=>(const NoMembers&, const NoMembers&) = default;
};

/** @brief No upstream of the pool answers. */
struct UpstreamsSilent {
    friend auto operator<=>(const UpstreamsSilent&, const UpstreamsSilent&) = default;
};

/** @brief No upstream is recorded as used, so the next owner would not know of tasks there. */
struct UpstreamsNotRecorded {
    friend auto operator<=>(const UpstreamsNotRecorded&, const UpstreamsNotRecorded&) = default;
};

/** @brief No upstream may get tasks. */
struct UpstreamsExcluded {
    /** @brief Condition of most upstreams. */
    const scheduling::UpstreamCondition condition {};

    friend auto operator<=>(const UpstreamsExcluded&, const UpstreamsExcluded&) = default;
};

/** @brief Too many starts have not been answered. */
struct StartsUnanswered {
    friend auto operator<=>(const StartsUnanswered&, const StartsUnanswered&) = default;
};

/** @brief Tasks wait for a reason of their own. */
struct TasksWait {
    /** @brief Reason of the task that has waited longest. */
    const scheduling::WaitReason reason {};

    friend auto operator<=>(const TasksWait&, const TasksWait&) = default;
};

/** @brief Why no task of a pool is started. */
using StallCause = std::variant<StartsHeld, NoMembers, UpstreamsSilent, UpstreamsNotRecorded,
    UpstreamsExcluded, StartsUnanswered, TasksWait>;

/** @return The first cause that suffices, of the owner before those of the upstreams and the tasks. */
StallCause findStallCause(const OwnerState& owner, const scheduling::WaitingReasons& waiting);

/** @return The cause for logs. */
std::string describe(const StallCause& cause);

/** @brief Logs and counts why the tasks of a pool wait, for one term of its owner. */
class StallLog {
public:
    /**
     * @param pool The pool.
     * @param metrics Receives the gauges of the pool; they are zero once the log is closed.
     * @param begun Boot clock time at which the term began.
     */
    StallLog(model::ServiceId pool, std::shared_ptr<metrics::Metrics> metrics, kernel::Instant begun);

    /** @brief Notes that a task is started. */
    void recordStart(kernel::Instant now) { this->lastStart = now; }

    /**
     * @brief Notes that the owner's process runs; called at short intervals.
     * @return Whether a report is due; never after the end of the term.
     */
    bool tick(kernel::Instant now);

    /** @brief Sets the metrics, and logs a stall and the tasks that wait long. */
    void report(const OwnerState& owner, const scheduling::WaitingReasons& waiting, kernel::Instant now);

    /** @brief Ends the term. */
    void close();

private:
    void setGauges(const scheduling::WaitingReasons& waiting);
    void logStall(
        const OwnerState& owner, const scheduling::WaitingReasons& waiting, kernel::Instant now) const;
    void logTasks(const scheduling::WaitingReasons& waiting) const;

    const model::ServiceId pool;
    const std::shared_ptr<metrics::Metrics> metrics;
    kernel::Instant lastStart;
    kernel::Instant lastTick;
    kernel::Instant lastReport;
    /** @brief Longest time between two ticks since the last report. */
    kernel::Duration longestTickGap {};
    bool closed { false };
};

} // namespace wasabiroad::agent
