#pragma once

#include "wasabiroad/jobs/job.hpp"
#include "wasabiroad/kernel/clock.hpp"

#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace wasabiroad::scheduling {

/** @brief Why a ready task has not been started. */
enum class WaitReason : unsigned char {
    /** @brief A previous owner may have started it, and not all upstreams are reconciled. */
    Unresolved,
    /** @brief It is retried later, after a start that failed. */
    Delayed,
    /** @brief Another task of its gang may not start. */
    Gang,
    /** @brief No upstream in the index meets its requirements. */
    Blocked,
    /** @brief Nothing in its own state; starts are held, or limited in number. */
    Startable,
};

/** @return The reason for logs and metrics. */
std::string_view name(WaitReason reason);

/** @brief Whether an upstream may get tasks; if several conditions apply, the first except `Indexed`. */
enum class UpstreamCondition : unsigned char {
    /** @brief It is in the index of schedulable upstreams. */
    Indexed,
    /** @brief It is to be drained for a move or a wave. */
    Drained,
    /** @brief It has left the pool, or its use is not recorded. */
    NotMember,
    /** @brief It has not listed its tasks to this owner, or does not answer. */
    Unlisted,
    /** @brief It has restarted, and the directory gives the facts of another incarnation. */
    OutdatedFacts,
    /** @brief Its drain has ended, and it has not answered a call since. */
    Reopening,
    /** @brief It runs tasks that this owner does not expect there. */
    UnknownTasks,
    /** @brief It reports that it is draining. */
    Draining,
    Suspect,
    /** @brief It has the maximum number of unanswered starts. */
    StartLimit,
    /** @brief It may get tasks and is not indexed yet. */
    Unindexed,
};

/** @return The condition for logs and metrics. */
std::string_view name(UpstreamCondition condition);

/** @brief Ready tasks that wait for the same reason. */
struct WaitingTasks {
    const std::size_t count { 0 };
    /** @brief The task that has waited longest, the time for which it has, and what it requires. */
    const jobs::TaskId longest {};
    const kernel::Duration waited {};
    const jobs::Resources required {};
    const std::string label {};
    /** @brief Indexed upstreams with the label and with enough free resources for it; its rack and its limit
     * per upstream may still exclude them. */
    const std::size_t fitting { 0 };

    friend auto operator<=>(const WaitingTasks&, const WaitingTasks&) = default;
};

/** @brief Tasks with an order that is not finished. */
struct TaskPhases {
    const std::size_t starting { 0 };
    const std::size_t running { 0 };
    const std::size_t stopping { 0 };

    friend auto operator<=>(const TaskPhases&, const TaskPhases&) = default;
};

/** @brief Why the ready tasks of a pool wait, from the state of its scheduler. */
struct WaitingReasons {
    /** @brief Ready tasks that wait; reasons without tasks are absent. */
    const std::map<WaitReason, WaitingTasks> tasks {};
    /** @brief Number of upstreams by condition; conditions without upstreams are absent. */
    const std::map<UpstreamCondition, std::size_t> upstreams {};
    const TaskPhases phases {};
    /** @brief Upstreams that may have tasks or ends of a previous owner. */
    const std::size_t unreconciled { 0 };
    const std::size_t unansweredStarts { 0 };
    /** @brief The pool has the maximum number of unanswered starts. */
    const bool atStartLimit { false };

    /** @return Number of ready tasks that wait for a reason. */
    std::size_t count(WaitReason reason) const;

    /** @return Number of upstreams in a condition. */
    std::size_t count(UpstreamCondition condition) const;

    /** @return Number of ready tasks that wait. */
    std::size_t readyCount() const;

    /** @return Longest time for which a ready task has waited; 0 if none waits. */
    kernel::Duration longestWait() const;

    friend auto operator<=>(const WaitingReasons&, const WaitingReasons&) = default;
};

} // namespace wasabiroad::scheduling
