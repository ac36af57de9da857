#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include <algorithm>

namespace wasabiroad::scheduling {

using internal::JobEntry;
using internal::StepEntry;
using internal::Task;
using internal::WaitingKey;
using kernel::Duration;
using kernel::Instant;

namespace {

/** A job is late when less than this share of its expected remaining chain fits before it is due. */
constexpr double requiredChainShare = 0.8;

/** Resolution of the clocks; a limit is exceeded this long after it is reached. */
constexpr Duration clockStep { 1 };

/** Expected run time of the longest chain of unfinished steps of an occurrence. */
Duration remainingChainTime(const JobEntry& entry, const std::vector<StepEntry>& steps)
{
    return jobs::longestChain(entry.job.steps, [&](std::size_t index) {
        const bool done = steps[index].done == steps[index].tasks.size();
        return done ? Duration {} : entry.expected[index];
    });
}

/** Latest wall clock time at which an occurrence is not late. */
Instant latestFeasibleTime(const JobEntry& entry, std::uint32_t occurrence)
{
    const auto left = remainingChainTime(entry, entry.open.at(occurrence).steps).milliseconds;
    const auto due = entry.due + entry.job.interval * static_cast<std::int64_t>(occurrence);
    return due - Duration { static_cast<std::int64_t>(requiredChainShare * static_cast<double>(left)) };
}

std::optional<Instant> earlier(std::optional<Instant> left, Instant right)
{
    return left && *left < right ? left : right;
}

/** Whether a step can be started: one startable task, or all tasks of a gang that has any. */
bool hasStartable(const jobs::Step& declared, const StepEntry& step, Moment now)
{
    return declared.gang ? step.tasks.size() > 0 && step.tasks.areAllStartable(now)
                         : step.tasks.nextStartable(0, now).has_value();
}

/** Visits the tasks that the next start concerns: the first startable one, or all of a gang. */
template <typename Visit>
void forEachDeciding(const jobs::Step& declared, const StepEntry& step, Moment now, Visit visit)
{
    if (!declared.gang) {
        if (const auto index = step.tasks.nextStartable(0, now)) {
            visit(step.tasks.peek(*index));
        }
        return;
    }
    step.tasks.forEachHeld([&](std::uint32_t, const Task& task) {
        if (internal::isStartable(task, now)) {
            visit(task);
        }
    });
    // The other tasks of the gang are all alike.
    if (const auto other = step.tasks.nextStartable(step.tasks.size(), now)) {
        visit(step.tasks.peek(*other));
    }
}

/** Next time at which a refused task may be retried or a task may run outside the rack of its data. */
std::optional<Instant> steadyWake(const jobs::Step& declared, const StepEntry& step, Moment now)
{
    std::optional<Instant> wake;
    step.tasks.forEachHeld([&](std::uint32_t, const Task& task) {
        if (task.phase == internal::Phase::Waiting && task.notBefore > now.steady) {
            wake = earlier(wake, task.notBefore);
        }
    });
    forEachDeciding(declared, step, now, [&](const Task& task) {
        if (internal::waitsForRack(declared, task, now)) {
            wake = earlier(wake, internal::rackWaitEnd(declared, task));
        }
    });
    return wake;
}

} // namespace

void PoolScheduler::markDirty(const JobEntry& entry)
{
    if (entry.nextOccurrence < internal::occurrenceCount(entry.job)) {
        // Examining the next occurrence opens it if it is due.
        markDirty(entry.job.id, entry.nextOccurrence);
    }
    for (const auto& [number, occurrence] : entry.open) {
        markDirty(entry.job.id, number);
    }
}

void PoolScheduler::processWakes(Moment now)
{
    const auto wakeSteps = [&](auto& wakes, Instant time) {
        while (!wakes.empty() && wakes.begin()->first <= time) {
            const auto& step = wakes.begin()->second;
            markDirty(step.job, step.occurrence);
            wakes.erase(wakes.begin());
        }
    };
    wakeSteps(this->wallWakes, now.wall);
    wakeSteps(this->steadyWakes, now.steady);
    while (!this->suspicionEnds.empty() && this->suspicionEnds.begin()->first <= now.steady) {
        markDirty(this->suspicionEnds.begin()->second);
        this->suspicionEnds.erase(this->suspicionEnds.begin());
    }
}

void PoolScheduler::refresh(Moment now)
{
    refreshDirtySteps(now);
    for (const auto& id : std::exchange(this->dirtyUpstreams, {})) {
        ++this->upstreamsExamined;
        refreshUpstream(id, now);
    }
}

void PoolScheduler::refreshDirtySteps(Moment now)
{
    // Occurrences that are opened meanwhile are refreshed in the next round.
    while (!this->dirtySteps.empty()) {
        for (const auto& [job, occurrence] : std::exchange(this->dirtySteps, {})) {
            ++this->jobsExamined;
            if (const auto found = this->jobEntries.find(job); found != this->jobEntries.end()) {
                refreshSteps(found->second, occurrence, now);
                openDueOccurrences(found->second, now);
            }
        }
    }
}

void PoolScheduler::refreshSteps(JobEntry& entry, std::uint32_t occurrence, Moment now)
{
    const auto found = entry.open.find(occurrence);
    if (found == entry.open.end()) {
        return;
    }
    auto& open = found->second;
    const auto inTimeUntil = latestFeasibleTime(entry, occurrence);
    const auto begins = internal::beginOf(entry.job, occurrence);
    const bool begun = begins <= now.wall;
    bool hasWaitingTasks = false;
    for (std::uint32_t number = 0; number < entry.job.steps.size(); ++number) {
        ++this->stepsExamined;
        const auto& declared = entry.job.steps[number];
        auto& step = open.steps[number];
        step.tasks.releaseDone();
        const StepId id { entry.job.id, occurrence, number };
        if (jobs::isFinal(entry.state) || !arePredecessorsDone(entry, occurrence, number)) {
            setWaiting(step, std::nullopt);
            setWakes(id, step, std::nullopt, std::nullopt);
            continue;
        }
        hasWaitingTasks = hasWaitingTasks || step.tasks.waitingCount() > 0;
        const bool waits = begun && hasStartable(declared, step, now);
        const bool late = now.wall > inTimeUntil;
        const Rank rank { !declared.longRunning, late, entry.job.priority, entry.due, id };
        setWaiting(step,
            waits ? std::optional { WaitingKey { rank, requirementsOf(entry, id, now) } } : std::nullopt);
        const auto wall = !begun ? std::optional { begins }
            : waits && !late     ? std::optional { inTimeUntil + clockStep }
                                 : std::nullopt;
        setWakes(id, step, wall, steadyWake(declared, step, now));
    }
    entry.waitingOccurrences += hasWaitingTasks ? 1 : 0;
    entry.waitingOccurrences -= open.hasWaitingTasks ? 1 : 0;
    open.hasWaitingTasks = hasWaitingTasks;
    closeIfCompleted(entry, occurrence);
}

Requirements PoolScheduler::requirementsOf(const JobEntry& entry, const StepId& id, Moment now) const
{
    const auto& declared = entry.job.steps[id.step];
    bool rackOnly = false;
    forEachDeciding(declared, entry.open.at(id.occurrence).steps[id.step], now,
        [&](const Task& task) { rackOnly = rackOnly || internal::waitsForRack(declared, task, now); });
    const bool limitsPerUpstream = declared.maxPerUpstream > 0 && !declared.gang;
    return { { internal::requiredCpu(declared), declared.resources.memory, declared.resources.accelerators },
        declared.gang ? declared.count : 1, declared.maxPerUpstream, declared.sameRack, declared.label,
        rackOnly ? declared.dataRack : std::string {},
        limitsPerUpstream ? std::optional { id } : std::nullopt };
}

void PoolScheduler::setWaiting(StepEntry& step, const std::optional<WaitingKey>& waits)
{
    if (step.waiting == waits) {
        return;
    }
    if (step.waiting) {
        this->waiting.erase(step.waiting->rank, step.waiting->requirements);
    }
    step.waiting.reset();
    if (waits) {
        step.waiting.emplace(*waits);
        this->waiting.insert(waits->rank, waits->requirements);
    }
}

void PoolScheduler::setWakes(
    const StepId& id, StepEntry& step, std::optional<Instant> wall, std::optional<Instant> steady)
{
    const auto replace = [&](auto& wakes, std::optional<Instant>& held, std::optional<Instant> wanted) {
        if (held) {
            wakes.erase({ *held, id });
        }
        if (wanted) {
            wakes.emplace(*wanted, id);
        }
        held = wanted;
    };
    replace(this->wallWakes, step.wallWake, wall);
    replace(this->steadyWakes, step.steadyWake, steady);
}

void PoolScheduler::refreshUpstream(const UpstreamId& id, Moment now)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end()) {
        return;
    }
    auto& upstream = found->second;
    const auto before = upstream.room;
    indexUpstream(id, upstream, now);
    const bool freedResources = std::exchange(upstream.freedResources, false);
    if (upstream.room && (!before || freedResources || before->kind != upstream.room->kind)) {
        this->stepsExamined += this->waiting.unblock(upstream.room->left);
    }
    if (upstream.suspectUntil > now.steady) {
        this->suspicionEnds.emplace(upstream.suspectUntil, id);
    }
}

void PoolScheduler::indexUpstream(const UpstreamId& id, Upstream& upstream, Moment now)
{
    if (upstream.room) {
        this->rooms.erase(id, *upstream.room);
        upstream.room.reset();
    }
    if (!isSchedulable(id, upstream, now)
        || upstream.unansweredStarts >= this->policy.maxStartsInFlightPerUpstream) {
        return;
    }
    const auto& facts = *upstream.facts;
    upstream.room.emplace(Room { { facts.capacity.cpu - upstream.cpu, facts.capacity.memory - upstream.memory,
                                     facts.capacity.accelerators - upstream.accelerators },
        this->rooms.kindNumber({ facts.capacity, facts.rack, facts.labels }),
        upstream.longRunningTasks > 0 });
    this->rooms.insert(id, *upstream.room);
}

} // namespace wasabiroad::scheduling
