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
    /** @brief The start was ordered and not answered. */
    Starting,
    Running,
    /** @brief The stop was ordered, or a start has an unknown outcome. */
    Stopping,
    Done,
};

/** @brief Scheduling state of a task. */
struct Task {
    Phase phase { Phase::Waiting };
    /** @brief A run has ended as done; another run may still be stopping. */
    bool done { false };
    /** @brief A former owner may have started it; it waits until that is known. */
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
    /** @brief The run began at a checkpoint, so its time says little of the whole task. */
    bool resumed { false };
    kernel::Instant readySince {};
    kernel::Instant stopSent {};
    std::optional<kernel::Instant> stopAnswered {};
};

/** @brief How a step is held in the index of waiting steps. */
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
    /** @brief When time alone changes whether and how it waits, on the wall clock and the monotonic one. */
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
    /** @brief Steps of which a task was done, so that the run time is known. */
    std::set<std::uint32_t> measured {};
    /** @brief Wall clock at which it is late. */
    kernel::Instant due {};
    kernel::Instant finished {};
    /** @brief Tasks that count against an upstream. */
    std::size_t active { 0 };
    /** @brief The record of its final state is in the store. */
    bool written { false };
};

/** @brief An upstream that is to be emptied. */
struct DrainState {
    kernel::Instant since {};
    bool stopsTasks { false };
};

/** @brief Scheduling state of an upstream. */
struct Upstream {
    std::optional<UpstreamFacts> facts {};
    bool member { false };
    /** @brief It has answered to this owner. */
    bool listed { false };
    kernel::Instant born {};
    kernel::Instant leaseEnd {};
    /** @brief When the last list that it answered with was asked for. */
    kernel::Instant listedAt {};
    kernel::Instant suspectUntil {};
    std::int64_t suspectCount { 0 };
    /** @brief Jobs whose tasks failed there since the last task that was done. */
    std::set<jobs::JobId> failedJobs {};
    std::int64_t cpu { 0 };
    std::int64_t memory { 0 };
    std::int64_t accelerators { 0 };
    std::set<jobs::TaskId> tasks {};
    std::size_t longRunningTasks { 0 };
    /** @brief Starts without an answer. */
    std::size_t starting { 0 };
    /** @brief How it is held in the index of open upstreams. */
    std::optional<Room> room {};
    /** @brief A task has left it since it was last indexed. */
    bool freedResources { false };
    std::uint64_t lastEndNumber { 0 };
    /** @brief It runs tasks of jobs that are not known here, so its room is not known. */
    bool hasUnknownTasks { false };
};

/** @return Whether a task may be started now, as far as it alone decides. */
inline bool isStartable(const Task& task, Moment now)
{
    return task.phase == Phase::Waiting && !task.unresolved && task.notBefore <= now.steady;
}

/** @return Whether a task still waits for room on the rack of its data. */
inline bool waitsForRack(const jobs::Step& step, const Task& task, Moment now)
{
    return !step.dataRack.empty() && now.steady - task.readySince < step.estimate;
}

/** @return Thousandths of a core that an upstream must have left; fillers use only cpu that others leave. */
inline std::int64_t requiredCpu(const jobs::Step& step)
{
    return step.filler ? std::numeric_limits<std::int64_t>::min() : step.resources.cpu;
}

/**
 * @brief Takes the room of tasks of a step on an upstream.
 * @param tasks Number of tasks; negative to give the room back.
 */
inline void addUsage(Upstream& upstream, const jobs::Step& step, std::int64_t tasks)
{
    // Fillers use only cpu that others leave.
    upstream.cpu += step.filler ? 0 : tasks * step.resources.cpu;
    upstream.memory += tasks * step.resources.memory;
    upstream.accelerators += tasks * step.resources.accelerators;
}

} // namespace wasabiroad::scheduling::internal
