#pragma once

#include "wasabiroad/scheduling/event.hpp"
#include "wasabiroad/scheduling/room_index.hpp"
#include "wasabiroad/scheduling/task_table.hpp"
#include "wasabiroad/scheduling/waiting_index.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>

#include <boost/icl/interval_set.hpp>

namespace wasabiroad::scheduling::internal {

/** @brief Key of a step in the index of waiting steps. */
struct WaitingKey {
    const Rank rank {};
    const Requirements requirements {};

    friend auto operator<=>(const WaitingKey&, const WaitingKey&) = default;
};

/** @brief Tasks of one step of one occurrence. */
struct StepEntry {
    TaskTable tasks;
    std::uint32_t done { 0 };
    /** @brief When a task was last done. */
    kernel::Instant lastDone {};
    std::optional<WaitingKey> waiting {};
    /** @brief Next times, on the wall clock and the monotonic clock, at which the key has to be recomputed.
     */
    std::optional<kernel::Instant> wallWake {};
    std::optional<kernel::Instant> steadyWake {};
};

/** @brief An occurrence of a job whose tasks are scheduled. */
struct OccurrenceEntry {
    std::vector<StepEntry> steps {};
    /** @brief Tasks that are not done. */
    std::uint64_t tasksLeft { 0 };
    /** @brief Tasks wait for room, and not only for those of earlier steps. */
    bool hasWaitingTasks { true };
};

/** @brief Scheduling state of a job. */
struct JobEntry {
    jobs::Job job;
    jobs::JobState state { jobs::JobState::Pending };
    /** @brief A previous owner may have started tasks of it. */
    bool mayHaveStarted { false };
    /** @brief Occurrences that are due and not completed, by number; some that are due may not be open yet.
     */
    std::map<std::uint32_t, OccurrenceEntry> open {};
    /** @brief Occurrences that are completed and closed. */
    boost::icl::interval_set<std::uint32_t> completed {};
    /** @brief Completed occurrences, also those that are not closed. */
    std::uint32_t completedCount { 0 };
    /** @brief First occurrence that has not been opened; higher ones are open only if they were reported. */
    std::uint32_t nextOccurrence { 0 };
    /** @brief Wall clock time at which the next occurrence is due. */
    std::optional<kernel::Instant> nextDue {};
    /** @brief Open occurrences with waiting tasks. */
    std::size_t waitingOccurrences { 0 };
    /** @brief Expected run time of a task of each step. */
    std::vector<kernel::Duration> expected {};
    /** @brief Steps with a completed task, so that the run time is known. */
    std::set<std::uint32_t> measured {};
    /** @brief Wall clock time by which the first occurrence is due. */
    kernel::Instant due {};
    kernel::Instant finished {};
    /** @brief Tasks that occupy resources of an upstream. */
    std::size_t activeTasks { 0 };
    /** @brief The record with its final state has been written to the store. */
    bool written { false };
};

/** @return Number of occurrences of a job. */
inline std::uint32_t occurrenceCount(const jobs::Job& job) { return std::max(job.occurrences, 1U); }

/** @return Wall clock time at which an occurrence begins; in the past if the job has no scheduled time. */
inline kernel::Instant beginOf(const jobs::Job& job, std::uint32_t occurrence)
{
    return job.firstDue.milliseconds == 0
        ? kernel::Instant {}
        : job.firstDue + job.interval * static_cast<std::int64_t>(occurrence);
}

/** @brief Ready tasks that wait for the same reason, as counted so far. */
struct WaitingTally {
    std::size_t count { 0 };
    /** @brief The task that has waited longest. */
    jobs::TaskId longest {};
    kernel::Duration waited {};
};

/** @brief State of the drain of an upstream. */
struct DrainState {
    kernel::Instant since {};
    bool stopsTasks { false };
};

/** @brief Scheduling state of an upstream. */
struct Upstream {
    std::optional<UpstreamFacts> facts {};
    bool member { false };
    /** @brief It has listed its tasks to this owner and has answered since. */
    bool listed { false };
    kernel::Instant born {};
    /** @brief When the present incarnation was first listed, unless it was the first one. */
    kernel::Instant restartListed {};
    /** @brief When the last call that may have extended its lease was sent. */
    kernel::Instant lastGrant {};
    /** @brief End of the leases that calls for an earlier incarnation, or calls of the previous owner, may
     * have obtained. */
    kernel::Instant formerLeaseEnd {};
    /** @brief When the call that returned the latest task list was sent. */
    kernel::Instant listedAt {};
    kernel::Instant suspectUntil {};
    std::int64_t suspectCount { 0 };
    /** @brief Jobs with a failed task there since a task last completed. */
    std::set<jobs::JobId> failedJobs {};
    /** @brief Resources in use by its tasks. */
    std::int64_t cpu { 0 };
    std::int64_t memory { 0 };
    std::int64_t accelerators { 0 };
    std::set<jobs::TaskId> tasks {};
    std::size_t longRunningTasks { 0 };
    std::size_t unansweredStarts { 0 };
    /** @brief Its key in the index of schedulable upstreams. */
    std::optional<Room> room {};
    /** @brief A task was removed from it since it was last indexed. */
    bool freedResources { false };
    std::uint64_t lastEndNumber { 0 };
    /** @brief It runs unexpected tasks, so its free resources are unknown. */
    bool hasUnknownTasks { false };
};

/**
 * @return Whether the facts of an upstream, which the directory gives, are those of the incarnation that has
 * listed its tasks: a later one may have other labels and another capacity. Unknown start times match.
 */
inline bool hasCurrentFacts(const Upstream& upstream)
{
    constexpr kernel::Instant unknown {};
    const auto& facts = upstream.facts;
    return facts && (facts->born == upstream.born || facts->born == unknown || upstream.born == unknown);
}

/** @brief Longest time, in ms, for which a task waits for the rack of its data while other racks have room.
 */
inline constexpr kernel::Duration maxRackWait { 2000 };

/** @return Time at which a task that was not started on the rack of its data may run on any other. */
inline kernel::Instant rackWaitEnd(const jobs::Step& step, const Task& task)
{
    return task.readySince + std::min(step.estimate, maxRackWait);
}

/** @return Whether a task may still run only on the rack of its data. */
inline bool waitsForRack(const jobs::Step& step, const Task& task, Moment now)
{
    return !step.dataRack.empty() && now.steady < rackWaitEnd(step, task);
}

/** @return Free millicores that a start requires; none for fillers, which use only cpu left over by other
 * tasks. */
inline std::int64_t requiredCpu(const jobs::Step& step)
{
    return step.filler ? std::numeric_limits<std::int64_t>::min() : step.resources.cpu;
}

/**
 * @brief Adds tasks of a step to the resources in use on an upstream.
 * @param tasks Number of tasks; negative to subtract them.
 */
inline void addUsage(Upstream& upstream, const jobs::Step& step, std::int64_t tasks)
{
    // Fillers use only cpu left over by other tasks.
    upstream.cpu += step.filler ? 0 : tasks * step.resources.cpu;
    upstream.memory += tasks * step.resources.memory;
    upstream.accelerators += tasks * step.resources.accelerators;
}

} // namespace wasabiroad::scheduling::internal
