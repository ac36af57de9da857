#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiroad::jobs {

using JobId = model::Identifier<struct JobTag>;
using QueueId = model::Identifier<struct QueueTag>;

/** @brief Resources that a VM offers or a task occupies. */
struct Resources {
    /** @brief Thousandths of a core. */
    const std::int64_t cpu { 0 };
    /** @brief Memory in MiB. */
    const std::int64_t memory { 0 };
    const std::int64_t accelerators { 0 };

    friend auto operator<=>(const Resources&, const Resources&) = default;
};

/** @brief A set of identical tasks of a job. */
struct Step {
    /** @brief Number of tasks. */
    const std::uint32_t count { 1 };
    /** @brief Resources that one task occupies. */
    const Resources resources {};
    /** @brief Run time of a task as the caller estimated it, which is often far off. */
    const kernel::Duration estimate {};
    /** @brief Indices of the earlier steps that this step depends on: all their tasks must be done first. */
    const std::vector<std::uint32_t> after {};
    /** @brief Whether the tasks checkpoint their progress. */
    const bool savesProgress { false };
    /** @brief Whether all tasks start together and end together. */
    const bool gang { false };
    /** @brief Whether the tasks are slower when they run on more than one rack. */
    const bool sameRack { false };
    /** @brief Label that the upstream must have; empty for any. */
    const std::string label {};
    /** @brief Rack that holds the data; tasks on other racks are slower. Empty for any. */
    const std::string dataRack {};
    /** @brief Maximum number of tasks of one occurrence on one upstream; 0 for no limit. */
    const std::uint32_t maxPerUpstream { 0 };
    /** @brief Whether copies of a task may run in parallel. */
    const bool speculative { false };
    /** @brief Whether the tasks run until the job is cancelled. */
    const bool longRunning { false };
    /** @brief Program of the tasks; tasks with the same image behave alike. */
    const std::string image {};
    /** @brief Upper bound for the tail latency of a serving task; 0 for none. */
    const kernel::Duration tailLatencyTarget {};
    /** @brief Whether the tasks use only capacity that others leave idle; their CPU is not counted. */
    const bool filler { false };
    /** @brief Maximum number of tasks of a long-running step that the system may interrupt at the same time;
     * 0 for no limit. */
    const std::uint32_t maxUnavailable { 0 };

    friend bool operator==(const Step&, const Step&) = default;
};

/** @brief A job as accepted; immutable. */
struct Job {
    const JobId id {};
    const QueueId queue {};
    /** @brief Service whose upstreams run the job. */
    const model::ServiceId service {};
    /** @brief Input of each task. */
    const std::string payload {};
    const std::vector<Step> steps {};
    /** @brief Number of times that the steps run. */
    const std::uint32_t occurrences { 1 };
    /** @brief Wall clock time at which the first occurrence is due; 0 for immediately. */
    const kernel::Instant firstDue {};
    /** @brief Time between two occurrences. */
    const kernel::Duration interval {};
    /** @brief Time of acceptance by the wall clock of the entry VM. */
    const kernel::Instant accepted {};
    /** @brief 0 is the highest priority. */
    const std::uint32_t priority { 0 };
    /** @brief Failed runs of a task after which the job fails. */
    const std::uint32_t maxAttempts { 1 };
    /** @brief Factor of the deadline, which is `stretch` times the longest chain plus `allowance`. */
    const double stretch { 1 };
    const kernel::Duration allowance {};

    friend bool operator==(const Job&, const Job&) = default;
};

enum class JobState : unsigned char { Pending = 0, Running = 1, Completed = 2, Failed = 3, Cancelled = 4 };

/** @return Whether a job in this state has ended. */
constexpr bool isFinal(JobState state) { return state >= JobState::Completed; }

/** @return The name of the state in logs. */
std::string_view name(JobState state);

/** @brief Position of a task in a job. */
struct TaskPosition {
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::uint32_t index { 0 };

    friend auto operator<=>(const TaskPosition&, const TaskPosition&) = default;
};

/** @brief Identity of a task. */
struct TaskId {
    JobId job {};
    TaskPosition position {};

    friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/** @return The task id for logs, as "JOB.OCCURRENCE.STEP.INDEX". */
std::string toText(const TaskId& task);

/** @brief Number of a run of a task; later runs of the same task have higher numbers. */
struct Run {
    std::uint64_t value { 0 };

    friend auto operator<=>(const Run&, const Run&) = default;
};

/** @brief Durable progress of a task. */
struct TaskProgress {
    const TaskPosition position {};
    const bool done { false };
    /** @brief Runs that failed, in ascending order. */
    const std::vector<Run> failedRuns {};
    const std::string checkpoint {};

    friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

/** @brief Consecutive occurrences of a job, from the first to the last. */
struct OccurrenceRange {
    const std::uint32_t first { 0 };
    const std::uint32_t last { 0 };

    friend auto operator<=>(const OccurrenceRange&, const OccurrenceRange&) = default;
};

/** @brief Durable state of a job. */
struct Record {
    const JobState state { JobState::Pending };
    /** @brief Tasks that have made progress, in occurrences that are not completed. */
    const std::vector<TaskProgress> tasks {};
    /** @brief Wall clock time at which the job reached its final state. */
    const kernel::Instant finished {};
    /** @brief Occurrences with all tasks done, unless the job has ended. */
    const std::vector<OccurrenceRange> completed {};

    friend bool operator==(const Record&, const Record&) = default;
};

/**
 * @brief Computes the length of the longest chain of dependent steps.
 * @param steps Steps; each depends on earlier ones only.
 * @param lengthOf Returns the length of the step at an index.
 * @return The sum of the lengths along that chain.
 */
template <typename LengthOf> kernel::Duration longestChain(const std::vector<Step>& steps, LengthOf lengthOf)
{
    kernel::Duration longest {};
    std::vector<kernel::Duration> ends;
    ends.reserve(steps.size());
    for (std::size_t index = 0; index < steps.size(); ++index) {
        kernel::Duration start {};
        for (const auto before : steps[index].after) {
            start = std::max(start, ends.at(before));
        }
        ends.push_back(start + lengthOf(index));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

/** @return The length of the longest chain of dependent steps by their estimated run times. */
kernel::Duration longestChain(const std::vector<Step>& steps);

} // namespace wasabiroad::jobs
