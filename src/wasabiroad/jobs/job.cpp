#include "wasabiroad/jobs/job.hpp"

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
    return longestChain(steps, [&](std::size_t index) { return steps[index].estimate; });
}

} // namespace wasabiroad::jobs
