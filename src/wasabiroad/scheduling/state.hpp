#pragma once

#include "wasabiroad/scheduling/event.hpp"
#include "wasabiroad/scheduling/room_index.hpp"
#include "wasabiroad/scheduling/waiting_index.hpp"

#include <limits>
#include <map>
#include <optional>
#include <set>

namespace wasabiroad::scheduling::internal {

enum class Phase : unsigned char {
    Waiting,
    /** @brief The start was ordered and has not been answered. */
    Starting,
    Running,
    /** @brief A stop was ordered, also after a start with an unknown outcome. */
    Stopping,
    Done,
};

/** @brief Scheduling state of a task. */
struct Task {
    Phase phase { Phase::Waiting };
    /** @brief A run completed; another run may still be stopping. */
    bool done { false };
    /** @brief A previous owner may have started it; it is not started until all upstreams are reconciled. */
    bool unresolved { false };
    UpstreamId upstream {};
    jobs::Run run {};
    std::string checkpoint {};
    std::set<jobs::Run> failedRuns {};
    /** @brief Upstreams on which it failed. */
    std::set<UpstreamId> failedOn {};
    std::int64_t percent { 0 };
    std::int64_t measurement { 0 };
    std::int64_t pace { 100 };
    kernel::Instant paceChanged {};
    kernel::Instant notBefore {};
    kernel::Instant lastProgress {};
    kernel::Instant started {};
    /** @brief The run began at a checkpoint or was adopted, so its duration is not that of the whole task. */
    bool resumed { false };
    kernel::Instant readySince {};
    kernel::Instant stopSent {};
    std::optional<kernel::Instant> stopAnswered {};
};

/** @brief Key of a step in the index of waiting steps. */
struct WaitingKey {
    const Rank rank {};
    const Requirements requirements {};

    friend auto operator<=>(const WaitingKey&, const WaitingKey&) = default;
};

/** @brief Tasks of one step of one occurrence. */
struct StepEntry {
    std::vector<Task> tasks {};
    std::uint32_t done { 0 };
    std::optional<WaitingKey> waiting {};
    /** @brief Next times, on the wall clock and the monotonic clock, at which the key has to be recomputed.
     */
    std::optional<kernel::Instant> wallWake {};
    std::optional<kernel::Instant> steadyWake {};
};

/** @brief Scheduling state of a job. */
struct JobEntry {
    jobs::Job job;
    jobs::JobState state { jobs::JobState::Pending };
    /** @brief Steps by occurrence. */
    std::vector<std::vector<StepEntry>> occurrences {};
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
    kernel::Instant leaseEnd {};
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

/** @return Whether the state of the task allows a start now. */
inline bool isStartable(const Task& task, Moment now)
{
    return task.phase == Phase::Waiting && !task.unresolved && task.notBefore <= now.steady;
}

/** @return Whether a task may still run only on the rack of its data. */
inline bool waitsForRack(const jobs::Step& step, const Task& task, Moment now)
{
    return !step.dataRack.empty() && now.steady - task.readySince < step.estimate;
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
