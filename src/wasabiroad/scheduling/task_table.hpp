#pragma once

#include "wasabiroad/scheduling/task.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wasabiroad::scheduling::internal {

/**
 * @brief Tasks of a step of one occurrence of a job.
 *
 * Only tasks that were accessed for a change and are not done are held in full. Callers choose the number of
 * tasks; the memory in use follows the number of running ones.
 */
class TaskTable {
public:
    /**
     * @param count Number of tasks.
     * @param initialState State of each task until it is accessed for a change.
     */
    TaskTable(std::uint32_t count, Task initialState);

    std::uint32_t size() const { return this->count; }

    /** @return Number of tasks that are held in full. */
    std::size_t heldCount() const { return this->held.size(); }

    /** @return The task at an index, which must be below `size()`. */
    const Task& peek(std::uint32_t index) const;

    /**
     * @brief Accesses a task for a change.
     * @param index Index of the task, which must be below `size()`.
     * @return The task; the reference is valid until `releaseDone()` is called.
     */
    Task& at(std::uint32_t index);

    /** @brief Reduces tasks in the phase Done to a bit each. */
    void releaseDone();

    /** @brief Marks all tasks as not started by a previous owner, unless that has reported them. */
    void resolve();

    /** @return Number of tasks in the phase Waiting. */
    std::size_t waitingCount() const;

    /**
     * @brief Finds a task to start.
     * @param from Tasks that are held in full are skipped below this index.
     * @param now Current time.
     * @return The first startable task, or nothing.
     */
    std::optional<std::uint32_t> nextStartable(std::uint32_t from, Moment now) const;

    /** @return Whether each task is startable. */
    bool areAllStartable(Moment now) const;

    /** @brief Calls `visit(index, task)` for each task that is held in full. */
    template <typename Visit> void forEachHeld(Visit visit) const
    {
        for (const auto& [index, task] : this->held) {
            visit(index, task);
        }
    }

    template <typename Visit> void forEachHeld(Visit visit)
    {
        for (auto& [index, task] : this->held) {
            visit(index, task);
        }
    }

    /**
     * @brief Calls `visit(index, task, count)` for the tasks in the phase Waiting; those that are not held in
     * full are alike and visited at once, with the index of the first.
     */
    template <typename Visit> void forEachWaiting(Visit visit) const
    {
        if (const auto alike = untouchedCount(); alike > 0) {
            visit(this->firstUntouched, this->initial, alike);
        }
        forEachHeld([&](std::uint32_t index, const Task& task) {
            if (task.phase == Phase::Waiting) {
                visit(index, task, std::size_t { 1 });
            }
        });
    }

    /** @brief Calls `visit(index, task)`, in order, for each task that is done or held in full. */
    template <typename Visit> void forEachTouched(Visit visit) const
    {
        if (this->doneCount == 0) {
            forEachHeld(visit);
            return;
        }
        for (std::uint32_t index = 0; index < this->count; ++index) {
            if (isTouched(index)) {
                visit(index, peek(index));
            }
        }
    }

private:
    bool isDone(std::uint32_t index) const { return index < this->done.size() && this->done[index]; }
    bool isTouched(std::uint32_t index) const { return isDone(index) || this->held.contains(index); }
    std::size_t untouchedCount() const { return this->count - this->doneCount - this->held.size(); }

    std::uint32_t count;
    Task initial;
    std::map<std::uint32_t, Task> held {};
    /** @brief Tasks that are done and not held; empty until there is one. */
    std::vector<bool> done {};
    std::size_t doneCount { 0 };
    std::uint32_t firstUntouched { 0 };
};

} // namespace wasabiroad::scheduling::internal
