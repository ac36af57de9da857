#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace wasabiroad::scheduling {

using internal::Phase;
using jobs::TaskId;
using kernel::Duration;

namespace {

/** Starts of one term; the run number is the term above these bits. */
constexpr unsigned runBits = 20;

/** Upstreams over which the tasks of a long-running step are spread; fewer would lose more of it at once. */
constexpr std::uint32_t longRunningSpread = 3;

std::uint32_t tasksPerVm(const jobs::Step& step)
{
    return std::max(1U, (step.count + longRunningSpread - 1) / longRunningSpread);
}

/** Upstreams whose tasks end within this time can leave the pool: a drain keeps their room from new tasks. */
constexpr Duration releaseWithin { 900 };

/** Share of the expected remaining chain that must fit before a job is late. */
constexpr double feasibleShare = 0.8;

/** Expected run time of the steps that are not done, along the longest chain of an occurrence. */
Duration remainingChain(const internal::JobRun& run, const std::vector<internal::StepRun>& steps)
{
    return jobs::longestChain(run.job.steps, [&](std::size_t index) {
        const bool done = steps[index].done == steps[index].tasks.size();
        return done ? Duration {} : run.expected[index];
    });
}

/** Whether a task may be started now, as far as it alone decides. */
bool isStartable(const internal::Task& task, Moment now)
{
    return task.phase == Phase::Waiting && !task.unresolved && task.notBefore <= now.steady;
}

/** Order of steps: the smallest goes first. */
auto rankOf(const PoolScheduler::Ready& item)
{
    const auto& job = item.job->job;
    const bool longRunning = job.steps[item.step].longRunning;
    return std::tuple<bool, bool, std::uint32_t, kernel::Instant, const jobs::JobId&, std::uint32_t,
        std::uint32_t> { !longRunning, item.late, job.priority, item.job->due, job.id, item.occurrence,
        item.step };
}

} // namespace

bool PoolScheduler::isStepReady(
    const JobRun& run, std::uint32_t occurrence, std::uint32_t step, Moment now) const
{
    if (run.job.firstDue.milliseconds > 0
        && now.wall < run.job.firstDue + run.job.interval * static_cast<std::int64_t>(occurrence)) {
        return false;
    }
    return std::ranges::all_of(run.job.steps[step].after, [&](auto before) {
        const auto& earlier = run.occurrences[occurrence][before];
        return earlier.done == earlier.tasks.size();
    });
}

PoolDemand PoolScheduler::demand(Moment now) const
{
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
    std::int64_t longRunningCpu = 0;
    std::uint32_t spread = 0;
    for (const auto& [id, run] : this->jobRuns) {
        for (std::uint32_t occurrence = 0; occurrence < run.occurrences.size(); ++occurrence) {
            for (std::uint32_t number = 0; number < run.job.steps.size(); ++number) {
                const auto& step = run.job.steps[number];
                const auto& tasks = run.occurrences[occurrence][number].tasks;
                const bool ready = !jobs::isFinal(run.state) && isStepReady(run, occurrence, number, now);
                const auto counted = std::ranges::count_if(tasks, [&](const Task& task) {
                    return task.phase != Phase::Done && (ready || task.phase != Phase::Waiting);
                });
                cpu += step.filler ? 0 : counted * step.resources.cpu;
                longRunningCpu += step.longRunning && !step.filler ? counted * step.resources.cpu : 0;
                memory += counted * step.resources.memory;
                accelerators += counted * step.resources.accelerators;
                if (step.longRunning && step.maxPerUpstream > 0 && !jobs::isFinal(run.state)) {
                    spread = std::max(spread, (step.count + step.maxPerUpstream - 1) / step.maxPerUpstream);
                }
            }
        }
    }
    std::vector<std::pair<std::int64_t, UpstreamId>> releasable;
    std::int64_t roomCpu = 0;
    std::int64_t roomMemory = 0;
    std::int64_t takenCpu = 0;
    std::int64_t takenMemory = 0;
    for (const auto& [id, upstream] : this->upstreams) {
        if (isOpen(upstream, now)) {
            roomCpu += upstream.facts->capacity.cpu;
            roomMemory += upstream.facts->capacity.memory;
            takenCpu += upstream.cpu;
            takenMemory += upstream.memory;
        }
        if (upstream.member && upstream.listed && !upstream.hasForeign && !this->drains.contains(id)
            && !hasLongRunning(upstream)) {
            const auto left = timeToEmpty(upstream, now);
            if (left < releaseWithin) {
                releasable.emplace_back(left.milliseconds, id);
            }
        }
    }
    std::ranges::sort(releasable);
    std::vector<UpstreamId> ids;
    ids.reserve(releasable.size());
    for (const auto& [used, id] : releasable) {
        ids.push_back(id);
    }
    return { { cpu, memory, accelerators }, { roomCpu, roomMemory }, { takenCpu, takenMemory }, spread,
        std::move(ids), longRunningCpu + this->arrivals.cpu(now.steady) };
}

std::vector<PoolScheduler::Ready> PoolScheduler::readySteps(Moment now)
{
    std::vector<Ready> ready;
    for (auto& [id, run] : this->jobRuns) {
        ++this->jobLooks;
        if (jobs::isFinal(run.state)) {
            continue;
        }
        for (std::uint32_t occurrence = 0; occurrence < run.occurrences.size(); ++occurrence) {
            for (std::uint32_t step = 0; step < run.job.steps.size(); ++step) {
                ++this->stepLooks;
                const auto& tasks = run.occurrences[occurrence][step].tasks;
                const bool waiting
                    = std::ranges::any_of(tasks, [&](const Task& task) { return isStartable(task, now); });
                if (!waiting || !isStepReady(run, occurrence, step, now)) {
                    continue;
                }
                const auto left = remainingChain(run, run.occurrences[occurrence]).milliseconds;
                const auto needed
                    = Duration { static_cast<std::int64_t>(feasibleShare * static_cast<double>(left)) };
                const auto due = run.due + run.job.interval * static_cast<std::int64_t>(occurrence);
                ready.push_back({ &run, occurrence, step, now.wall + needed > due });
            }
        }
    }
    std::ranges::sort(
        ready, [](const Ready& left, const Ready& right) { return rankOf(left) < rankOf(right); });
    return ready;
}

void PoolScheduler::schedule(Moment now)
{
    for (const auto& ready : readySteps(now)) {
        if (ready.job->job.steps[ready.step].gang) {
            placeGang(ready, now);
        } else {
            place(ready, now);
        }
    }
}

void PoolScheduler::place(const Ready& ready, Moment now)
{
    auto& tasks = ready.job->occurrences[ready.occurrence][ready.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        auto& task = tasks[index];
        if (!isStartable(task, now)) {
            continue;
        }
        auto* const upstream = choose(ready, task, now, nullptr);
        if (upstream == nullptr) {
            return;
        }
        startOn(ready, index, *upstream, { (this->term << runBits) + ++this->starts }, now);
    }
}

void PoolScheduler::placeGang(const Ready& ready, Moment now)
{
    auto& step = ready.job->occurrences[ready.occurrence][ready.step];
    const auto& declared = ready.job->job.steps[ready.step];
    if (!std::ranges::all_of(step.tasks, [&](const Task& task) { return isStartable(task, now); })) {
        return;
    }
    std::vector<const model::RackId*> racks;
    if (declared.sameRack) {
        for (const auto& entry : this->upstreams) {
            const auto& facts = entry.second.facts;
            const auto known = [&](const auto* rack) { return *rack == facts->rack; };
            if (facts && std::ranges::none_of(racks, known)) {
                racks.push_back(&facts->rack);
            }
        }
    }
    racks.push_back(nullptr);
    for (const auto* const rack : racks) {
        std::vector<Upstream*> chosen;
        for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
            auto* const upstream = choose(ready, step.tasks[index], now, rack);
            if (upstream == nullptr) {
                break;
            }
            // The room is taken while the rest of the gang is placed.
            internal::takeRoom(*upstream, declared, 1);
            chosen.push_back(upstream);
        }
        for (auto* const upstream : chosen) {
            internal::takeRoom(*upstream, declared, -1);
        }
        if (chosen.size() == step.tasks.size()) {
            const jobs::Run run { (this->term << runBits) + ++this->starts };
            for (std::uint32_t index = 0; index < chosen.size(); ++index) {
                startOn(ready, index, *chosen[index], run, now);
            }
            return;
        }
    }
}

void PoolScheduler::startOn(
    const Ready& ready, std::uint32_t index, Upstream& upstream, jobs::Run run, Moment now)
{
    auto& task = ready.job->occurrences[ready.occurrence][ready.step].tasks[index];
    const TaskId id { ready.job->job.id, { ready.occurrence, ready.step, index } };
    task.phase = Phase::Starting;
    task.upstream = upstream.facts->id;
    task.run = run;
    task.started = now.steady;
    task.lastProgress = now.steady;
    task.resumed = !task.checkpoint.empty();
    task.percent = 0;
    task.pace = 100;
    task.stopAnswered.reset();
    attach(id, upstream);
    upstream.leaseEnd = std::max(upstream.leaseEnd, now.steady + this->policy.leaseSpan);
    this->orders.push_back(StartTask { task.upstream, id, run, ready.job->job.payload, task.checkpoint });
}

bool PoolScheduler::fits(const Upstream& upstream, const jobs::Step& step) const
{
    const auto& capacity = upstream.facts->capacity;
    return (step.filler || upstream.cpu + step.resources.cpu <= capacity.cpu)
        && upstream.memory + step.resources.memory <= capacity.memory
        && upstream.accelerators + step.resources.accelerators <= capacity.accelerators;
}

bool PoolScheduler::isOpen(const Upstream& upstream, Moment now) const
{
    return upstream.facts && upstream.member && upstream.listed && !upstream.hasForeign
        && !this->drains.contains(upstream.facts->id) && !upstream.facts->draining
        && upstream.suspectUntil <= now.steady;
}

bool PoolScheduler::usable(const Upstream& upstream, const Ready& ready, Moment now) const
{
    if (!isOpen(upstream, now)) {
        return false;
    }
    const auto& step = ready.job->job.steps[ready.step];
    const auto& labels = upstream.facts->labels;
    if (!step.label.empty() && std::ranges::find(labels, step.label) == labels.end()) {
        return false;
    }
    return fits(upstream, step)
        && (step.maxPerUpstream == 0 || countOfStep(upstream, ready) < step.maxPerUpstream);
}

Duration PoolScheduler::timeToEmpty(const Upstream& upstream, Moment now) const
{
    Duration longest {};
    for (const auto& id : upstream.tasks) {
        const auto& task = this->jobRuns.at(id.job)
                               .occurrences[id.position.occurrence][id.position.step]
                               .tasks[id.position.index];
        const auto seen = task.lastProgress - task.started;
        const auto whole = task.percent > 0 ? Duration { seen.milliseconds * 100 / task.percent }
                                            : std::max(stepOf(id).estimate, seen * 2);
        longest = std::max(longest, task.started + whole - now.steady);
    }
    return longest;
}

bool PoolScheduler::hasLongRunning(const Upstream& upstream) const
{
    return std::ranges::any_of(upstream.tasks, [&](const TaskId& id) { return stepOf(id).longRunning; });
}

std::uint32_t PoolScheduler::countOfStep(const Upstream& upstream, const Ready& ready) const
{
    const TaskId first { ready.job->job.id, { ready.occurrence, ready.step, 0 } };
    const TaskId last { ready.job->job.id,
        { ready.occurrence, ready.step, std::numeric_limits<std::uint32_t>::max() } };
    return static_cast<std::uint32_t>(
        std::distance(upstream.tasks.lower_bound(first), upstream.tasks.upper_bound(last)));
}

internal::Upstream* PoolScheduler::choose(
    const Ready& ready, const Task& task, Moment now, const model::RackId* onlyRack)
{
    const auto& step = ready.job->job.steps[ready.step];
    const bool waitForRack = !step.dataRack.empty() && now.steady - task.readySince < step.estimate;
    Upstream* best = nullptr;
    std::tuple<bool, bool, std::uint32_t, bool, double> bestKey {};
    for (auto& [id, upstream] : this->upstreams) {
        ++this->upstreamLooks;
        if (!usable(upstream, ready, now)) {
            continue;
        }
        const auto& facts = *upstream.facts;
        const bool far = !step.dataRack.empty() && facts.rack.text() != step.dataRack;
        if ((onlyRack != nullptr && facts.rack != *onlyRack) || (far && waitForRack)) {
            continue;
        }
        const auto share = [](std::int64_t used, std::int64_t room) {
            return room > 0 ? static_cast<double>(used) / static_cast<double>(room) : 0.0;
        };
        const auto memoryLoad = share(upstream.memory + step.resources.memory, facts.capacity.memory);
        const auto cpuLoad = share(upstream.cpu + step.resources.cpu, facts.capacity.cpu);
        const auto load = step.filler ? memoryLoad : std::max(cpuLoad, memoryLoad);
        const std::tuple key { task.failedOn.contains(id), far,
            step.longRunning ? countOfStep(upstream, ready) / tasksPerVm(step) : 0U,
            // Long-running tasks share VMs, so that the other VMs can change their pool.
            step.longRunning && !hasLongRunning(upstream),
            // Other tasks fill the most loaded VMs first, so that the rest can be released.
            step.longRunning || step.filler ? load : -load };
        if (best == nullptr || key < bestKey) {
            best = &upstream;
            bestKey = key;
        }
    }
    return best;
}

} // namespace wasabiroad::scheduling
