#include "wasabiroad/scheduling/task_table.hpp"

#include <algorithm>
#include <utility>

namespace wasabiroad::scheduling::internal {

namespace {

const Task& doneTask()
{
    static const Task task { .phase = Phase::Done, .done = true };
    return task;
}

} // namespace

TaskTable::TaskTable(std::uint32_t taskCount, Task initialState)
    : count(taskCount)
    , initial(std::move(initialState))
{
}

const Task& TaskTable::peek(std::uint32_t index) const
{
    if (isDone(index)) {
        return doneTask();
    }
    const auto found = this->held.find(index);
    return found != this->held.end() ? found->second : this->initial;
}

Task& TaskTable::at(std::uint32_t index)
{
    const auto found = this->held.find(index);
    if (found != this->held.end()) {
        return found->second;
    }
    auto& task = this->held.emplace(index, peek(index)).first->second;
    if (isDone(index)) {
        this->done[index] = false;
        --this->doneCount;
    }
    while (this->firstUntouched < this->count && isTouched(this->firstUntouched)) {
        ++this->firstUntouched;
    }
    return task;
}

void TaskTable::releaseDone()
{
    std::erase_if(this->held, [&](const auto& entry) {
        if (entry.second.phase != Phase::Done) {
            return false;
        }
        this->done.resize(this->count);
        this->done[entry.first] = true;
        ++this->doneCount;
        return true;
    });
}

void TaskTable::resolve()
{
    this->initial.unresolved = false;
    forEachHeld([](std::uint32_t, Task& task) { task.unresolved = false; });
}

std::size_t TaskTable::waitingCount() const
{
    const auto waits = [](const auto& entry) { return entry.second.phase == Phase::Waiting; };
    return untouchedCount() + static_cast<std::size_t>(std::ranges::count_if(this->held, waits));
}

std::optional<std::uint32_t> TaskTable::nextStartable(std::uint32_t from, Moment now) const
{
    std::optional<std::uint32_t> first;
    if (this->firstUntouched < this->count && isStartable(this->initial, now)) {
        first = this->firstUntouched;
    }
    const auto startable = std::find_if(this->held.lower_bound(from), this->held.end(),
        [&](const auto& entry) { return isStartable(entry.second, now); });
    if (startable != this->held.end() && (!first || startable->first < *first)) {
        first = startable->first;
    }
    return first;
}

bool TaskTable::areAllStartable(Moment now) const
{
    return this->doneCount == 0 && (untouchedCount() == 0 || isStartable(this->initial, now))
        && std::ranges::all_of(this->held, [&](const auto& entry) { return isStartable(entry.second, now); });
}

} // namespace wasabiroad::scheduling::internal
