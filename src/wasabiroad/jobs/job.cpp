#include "wasabiroad/jobs/job.hpp"

#include <algorithm>

namespace wasabiroad::jobs {

std::string_view name(JobState state)
{
    switch (state) {
    case JobState::Pending:
        return "pending";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unlisted";
}

std::string toText(const TaskId& task)
{
    return task.job.text() + "." + std::to_string(task.position.occurrence) + "."
        + std::to_string(task.position.step) + "." + std::to_string(task.position.index);
}

kernel::Duration longestChain(const std::vector<Step>& steps)
{
    kernel::Duration longest {};
    std::vector<kernel::Duration> ends;
    ends.reserve(steps.size());
    for (const auto& step : steps) {
        kernel::Duration start {};
        for (const auto before : step.after) {
            start = std::max(start, ends.at(before));
        }
        ends.push_back(start + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace wasabiroad::jobs
