#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include <algorithm>

namespace wasabiroad::scheduling {

using internal::JobRun;
using internal::StepRun;
using internal::Task;
using internal::Waiting;
using kernel::Duration;
using kernel::Instant;

namespace {

/** Share of the expected remaining chain that must fit before a job is late. */
constexpr double feasibleShare = 0.8;

/** Clocks are read in ms, so a bound that must be exceeded is exceeded this much later. */
constexpr Duration clockStep { 1 };

/** Expected run time of the steps that are not done, along the longest chain of an occurrence. */
Duration remainingChain(const JobRun& run, const std::vector<StepRun>& steps)
{
    return jobs::longestChain(run.job.steps, [&](std::size_t index) {
        const bool done = steps[index].done == steps[index].tasks.size();
        return done ? Duration {} : run.expected[index];
    });
}

/** Last wall clock at which an occurrence is not late. */
Instant lastInTime(const JobRun& run, std::uint32_t occurrence)
{
    const auto left = remainingChain(run, run.occurrences[occurrence]).milliseconds;
    const auto due = run.due + run.job.interval * static_cast<std::int64_t>(occurrence);
    return due - Duration { static_cast<std::int64_t>(feasibleShare * static_cast<double>(left)) };
}

std::optional<Instant> earlier(std::optional<Instant> left, Instant right)
{
    return left && *left < right ? left : right;
}

/** Whether a step has what a start takes: one task, or all tasks of a gang. */
bool hasStartable(const jobs::Step& declared, const StepRun& step, Moment now)
{
    const auto startable = [&](const Task& task) { return internal::isStartable(task, now); };
    return declared.gang ? std::ranges::all_of(step.tasks, startable)
                         : std::ranges::any_of(step.tasks, startable);
}

/** Tasks that decide where a step may start next: the first to start, or all of a gang. */
template <typename Visit>
void eachDeciding(const jobs::Step& declared, const StepRun& step, Moment now, Visit visit)
{
    for (const auto& task : step.tasks) {
        if (internal::isStartable(task, now)) {
            visit(task);
            if (!declared.gang) {
                return;
            }
        }
    }
}

/** When a refused task may be tried again, or a task stops waiting for the rack of its data. */
std::optional<Instant> steadyWake(const jobs::Step& declared, const StepRun& step, Moment now)
{
    std::optional<Instant> wake;
    for (const auto& task : step.tasks) {
        if (task.phase == internal::Phase::Waiting && task.notBefore > now.steady) {
            wake = earlier(wake, task.notBefore);
        }
    }
    eachDeciding(declared, step, now, [&](const Task& task) {
        if (internal::waitsForRack(declared, task, now)) {
            wake = earlier(wake, task.readySince + declared.estimate);
        }
    });
    return wake;
}

} // namespace

void PoolScheduler::touch(const JobRun& run)
{
    for (std::uint32_t occurrence = 0; occurrence < run.occurrences.size(); ++occurrence) {
        touch(run.job.id, occurrence);
    }
}

void PoolScheduler::wake(Moment now)
{
    const auto wakeSteps = [&](auto& wakes, Instant time) {
        while (!wakes.empty() && wakes.begin()->first <= time) {
            const auto& step = wakes.begin()->second;
            touch(step.job, step.occurrence);
            wakes.erase(wakes.begin());
        }
    };
    wakeSteps(this->wallWakes, now.wall);
    wakeSteps(this->steadyWakes, now.steady);
    while (!this->suspicionEnds.empty() && this->suspicionEnds.begin()->first <= now.steady) {
        touch(this->suspicionEnds.begin()->second);
        this->suspicionEnds.erase(this->suspicionEnds.begin());
    }
}

void PoolScheduler::refresh(Moment now)
{
    for (const auto& [job, occurrence] : std::exchange(this->touchedSteps, {})) {
        ++this->jobLooks;
        if (const auto found = this->jobRuns.find(job); found != this->jobRuns.end()) {
            refreshSteps(found->second, occurrence, now);
        }
    }
    for (const auto& id : std::exchange(this->touchedUpstreams, {})) {
        ++this->upstreamLooks;
        refreshUpstream(id, now);
    }
}

void PoolScheduler::refreshSteps(JobRun& run, std::uint32_t occurrence, Moment now)
{
    const auto inTimeUntil = lastInTime(run, occurrence);
    const auto begins = run.job.firstDue + run.job.interval * static_cast<std::int64_t>(occurrence);
    const bool begun = run.job.firstDue.milliseconds == 0 || begins <= now.wall;
    for (std::uint32_t number = 0; number < run.job.steps.size(); ++number) {
        ++this->stepLooks;
        const auto& declared = run.job.steps[number];
        auto& step = run.occurrences[occurrence][number];
        const StepId id { run.job.id, occurrence, number };
        if (jobs::isFinal(run.state) || !areEarlierDone(run, occurrence, number)) {
            setWaiting(step, std::nullopt);
            setWakes(id, step, std::nullopt, std::nullopt);
            continue;
        }
        const bool waits = begun && hasStartable(declared, step, now);
        const bool late = now.wall > inTimeUntil;
        const Rank rank { !declared.longRunning, late, run.job.priority, run.due, id };
        setWaiting(step, waits ? std::optional { Waiting { rank, needsOf(run, id, now) } } : std::nullopt);
        const auto wall = !begun ? std::optional { begins }
            : waits && !late     ? std::optional { inTimeUntil + clockStep }
                                 : std::nullopt;
        setWakes(id, step, wall, steadyWake(declared, step, now));
    }
}

Needs PoolScheduler::needsOf(const JobRun& run, const StepId& id, Moment now) const
{
    const auto& declared = run.job.steps[id.step];
    bool nearOnly = false;
    eachDeciding(declared, run.occurrences[id.occurrence][id.step], now,
        [&](const Task& task) { nearOnly = nearOnly || internal::waitsForRack(declared, task, now); });
    const bool limitsItself = declared.maxPerUpstream > 0 && !declared.gang;
    return { { internal::countedCpu(declared), declared.resources.memory, declared.resources.accelerators },
        declared.gang ? declared.count : 1, declared.maxPerUpstream, declared.sameRack, declared.label,
        nearOnly ? declared.dataRack : std::string {}, limitsItself ? std::optional { id } : std::nullopt };
}

void PoolScheduler::setWaiting(StepRun& step, const std::optional<Waiting>& waits)
{
    if (step.waiting == waits) {
        return;
    }
    if (step.waiting) {
        this->waiting.erase(step.waiting->rank, step.waiting->needs);
    }
    step.waiting.reset();
    if (waits) {
        step.waiting.emplace(*waits);
        this->waiting.insert(waits->rank, waits->needs);
    }
}

void PoolScheduler::setWakes(
    const StepId& id, StepRun& step, std::optional<Instant> wall, std::optional<Instant> steady)
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
    index(id, upstream, now);
    const bool gaveRoom = std::exchange(upstream.gaveRoom, false);
    if (upstream.room && (!before || gaveRoom || before->kind != upstream.room->kind)) {
        this->stepLooks += this->waiting.takeBack(upstream.room->left);
    }
    if (upstream.suspectUntil > now.steady) {
        this->suspicionEnds.emplace(upstream.suspectUntil, id);
    }
}

void PoolScheduler::index(const UpstreamId& id, Upstream& upstream, Moment now)
{
    if (upstream.room) {
        this->rooms.erase(id, *upstream.room);
        upstream.room.reset();
    }
    if (!isOpen(id, upstream, now) || upstream.starting >= this->policy.startsInFlightPerUpstream) {
        return;
    }
    const auto& facts = *upstream.facts;
    upstream.room.emplace(Room { { facts.capacity.cpu - upstream.cpu, facts.capacity.memory - upstream.memory,
                                     facts.capacity.accelerators - upstream.accelerators },
        this->rooms.kindOf({ facts.capacity, facts.rack, facts.labels }), upstream.longRunningTasks > 0 });
    this->rooms.insert(id, *upstream.room);
}

} // namespace wasabiroad::scheduling
