#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace wasabiroad::scheduling {

using internal::Phase;
using jobs::TaskId;
using kernel::Duration;

namespace {

/** Low bits of a run number that count the starts of one term; the term is stored above them. */
constexpr unsigned startNumberBits = 20;

/** Upstreams over which a long-running step is spread; with fewer, the loss of one stops more of its tasks.
 */
constexpr std::uint32_t longRunningSpread = 3;

std::uint32_t tasksPerVm(const jobs::Step& step)
{
    return std::max(1U, (step.count + longRunningSpread - 1) / longRunningSpread);
}

/** Upstreams that a step with a limit for each of them needs; the limit may be far above the task count. */
std::uint32_t upstreamsNeeded(const jobs::Step& step)
{
    return step.count == 0 ? 0 : (step.count - 1) / step.maxPerUpstream + 1;
}

/** Upstreams whose tasks end within this time may leave the pool; they get no new tasks while they drain. */
constexpr Duration releaseWithin { 900 };

/** Load of an upstream with one more task of the step, as a fraction of its capacity. */
double loadWith(const jobs::Step& step, const Room& room, const jobs::Resources& capacity)
{
    const auto share = [](std::int64_t left, std::int64_t taken, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(whole - left + taken) / static_cast<double>(whole) : 0.0;
    };
    const auto memoryLoad = share(room.left.memory, step.resources.memory, capacity.memory);
    const auto cpuLoad = share(room.left.cpu, step.resources.cpu, capacity.cpu);
    return step.filler ? memoryLoad : std::max(cpuLoad, memoryLoad);
}

} // namespace

bool PoolScheduler::isStepReady(
    const JobEntry& entry, std::uint32_t occurrence, std::uint32_t step, Moment now) const
{
    return internal::beginOf(entry.job, occurrence) <= now.wall
        && arePredecessorsDone(entry, occurrence, step);
}

bool PoolScheduler::arePredecessorsDone(
    const JobEntry& entry, std::uint32_t occurrence, std::uint32_t step) const
{
    return std::ranges::all_of(entry.job.steps[step].after, [&](auto before) {
        const auto& earlier = entry.open.at(occurrence).steps[before];
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
    for (const auto& [id, entry] : this->jobEntries) {
        for (const auto& [occurrence, open] : entry.open) {
            for (std::uint32_t number = 0; number < entry.job.steps.size(); ++number) {
                const auto& step = entry.job.steps[number];
                const auto& tasks = open.steps[number].tasks;
                const bool ready = !jobs::isFinal(entry.state) && isStepReady(entry, occurrence, number, now);
                std::int64_t counted = ready ? static_cast<std::int64_t>(tasks.waitingCount()) : 0;
                tasks.forEachHeld([&](std::uint32_t, const Task& task) {
                    counted += task.phase != Phase::Done && task.phase != Phase::Waiting ? 1 : 0;
                });
                cpu += step.filler ? 0 : counted * step.resources.cpu;
                longRunningCpu += step.longRunning && !step.filler ? counted * step.resources.cpu : 0;
                memory += counted * step.resources.memory;
                accelerators += counted * step.resources.accelerators;
                if (step.longRunning && step.maxPerUpstream > 0 && !jobs::isFinal(entry.state)) {
                    spread = std::max(spread, upstreamsNeeded(step));
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
        if (isSchedulable(id, upstream, now)) {
            roomCpu += upstream.facts->capacity.cpu;
            roomMemory += upstream.facts->capacity.memory;
            takenCpu += upstream.cpu;
            takenMemory += upstream.memory;
        }
        if (upstream.member && upstream.listed && !upstream.hasUnknownTasks && !this->drains.contains(id)
            && !this->reopening.contains(id) && upstream.longRunningTasks == 0) {
            if (const auto left = timeToDrain(upstream, now)) {
                releasable.emplace_back(left->milliseconds, id);
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

void PoolScheduler::schedule(Moment now)
{
    processWakes(now);
    refresh(now);
    while (this->waiting.first() != nullptr && mayStartMore()) {
        const auto id = *this->waiting.first();
        ++this->stepsExamined;
        const ReadyStep ready { &this->jobEntries.at(id.job), id.occurrence, id.step };
        const auto& step = ready.entry->open.at(id.occurrence).steps[id.step];
        const auto requirements = step.waiting->requirements;
        const auto ordersBefore = this->orders.size();
        const bool placed = ready.entry->job.steps[id.step].gang ? placeGang(ready, now) : place(ready, now);
        const bool started = this->orders.size() > ordersBefore;
        if (placed || started) {
            refreshSteps(*ready.entry, id.occurrence, now);
            openDueOccurrences(*ready.entry, now);
            refreshDirtySteps(now);
        }
        // A step that starts nothing is blocked unless it has left the index, so the loop ends whatever a
        // step declares.
        if (!(placed && started) && step.waiting && step.waiting->requirements == requirements) {
            this->waiting.block(requirements);
        }
    }
}

bool PoolScheduler::place(const ReadyStep& ready, Moment now)
{
    const auto& tasks = ready.entry->open.at(ready.occurrence).steps[ready.step].tasks;
    auto index = tasks.nextStartable(0, now);
    while (index && mayStartMore()) {
        const auto* const upstream = chooseUpstream(ready, tasks.peek(*index), now, nullptr, {});
        if (upstream == nullptr) {
            return false;
        }
        startOn(ready, *index, *upstream, { (this->term << startNumberBits) + ++this->assignedRuns }, now);
        index = tasks.nextStartable(*index + 1, now);
    }
    return true;
}

const std::vector<model::RackId>& PoolScheduler::racksInOrder()
{
    if (this->racks.empty()) {
        for (const auto& [id, upstream] : this->upstreams) {
            if (upstream.facts && std::ranges::find(this->racks, upstream.facts->rack) == this->racks.end()) {
                this->racks.push_back(upstream.facts->rack);
            }
        }
    }
    return this->racks;
}

bool PoolScheduler::placeGang(const ReadyStep& ready, Moment now)
{
    const auto& step = ready.entry->open.at(ready.occurrence).steps[ready.step];
    const auto& declared = ready.entry->job.steps[ready.step];
    std::vector<const model::RackId*> candidates;
    if (declared.sameRack) {
        for (const auto& rack : racksInOrder()) {
            candidates.push_back(&rack);
        }
    }
    candidates.push_back(nullptr);
    for (const auto* const rack : candidates) {
        const auto chosen = chooseGang(ready, now, rack);
        if (chosen.size() == step.tasks.size()) {
            const jobs::Run run { (this->term << startNumberBits) + ++this->assignedRuns };
            for (std::uint32_t index = 0; index < chosen.size(); ++index) {
                startOn(ready, index, chosen[index], run, now);
            }
            return true;
        }
    }
    return false;
}

std::vector<UpstreamId> PoolScheduler::chooseGang(
    const ReadyStep& ready, Moment now, const model::RackId* onlyRack)
{
    const auto& declared = ready.entry->job.steps[ready.step];
    // Resources are reserved temporarily while the rest of the gang is placed.
    const auto take = [&](const UpstreamId& id, std::int64_t tasks) {
        auto& upstream = this->upstreams.at(id);
        internal::addUsage(upstream, declared, tasks);
        indexUpstream(id, upstream, now);
    };
    std::vector<UpstreamId> chosen;
    Chosen counts;
    const auto& tasks = ready.entry->open.at(ready.occurrence).steps[ready.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const auto* const found = chooseUpstream(ready, tasks.peek(index), now, onlyRack, counts);
        if (found == nullptr) {
            break;
        }
        chosen.push_back(*found);
        ++counts[chosen.back()];
        take(chosen.back(), 1);
    }
    for (const auto& id : chosen) {
        take(id, -1);
    }
    return chosen;
}

void PoolScheduler::startOn(
    const ReadyStep& ready, std::uint32_t number, UpstreamId where, jobs::Run run, Moment now)
{
    auto& task = ready.entry->open.at(ready.occurrence).steps[ready.step].tasks.at(number);
    const TaskId id { ready.entry->job.id, { ready.occurrence, ready.step, number } };
    task.upstream = std::move(where);
    setPhase(task, Phase::Starting);
    task.run = run;
    task.runsOn.reset();
    task.started = now.steady;
    task.lastProgress = now.steady;
    task.resumed = !task.checkpoint.empty();
    task.percent = 0;
    task.pace = 100;
    task.stopAnswered.reset();
    attach(id, task);
    auto& upstream = this->upstreams.at(task.upstream);
    indexUpstream(task.upstream, upstream, now);
    upstream.lastGrant = now.steady;
    task.orderedTo = upstream.born;
    this->orders.push_back(StartTask { task.upstream, id, run, ready.entry->job.payload, task.checkpoint });
}

bool PoolScheduler::isSchedulable(const UpstreamId& id, const Upstream& upstream, Moment now) const
{
    return hasCurrentFacts(upstream) && upstream.member && upstream.listed && !upstream.hasUnknownTasks
        && !this->drains.contains(id) && !this->reopening.contains(id) && !upstream.facts->draining
        && upstream.suspectUntil <= now.steady;
}

std::optional<Duration> PoolScheduler::timeToDrain(const Upstream& upstream, Moment now) const
{
    Duration longest {};
    for (const auto& id : upstream.tasks) {
        const auto& entry = this->jobEntries.at(id.job);
        const auto& task
            = entry.open.at(id.position.occurrence).steps[id.position.step].tasks.peek(id.position.index);
        const auto elapsed = task.lastProgress - task.started;
        const auto expectedTotal = task.percent > 0
            ? Duration { elapsed.milliseconds * 100 / task.percent }
            : std::max(entry.job.steps[id.position.step].estimate, elapsed * 2);
        longest = std::max(longest, task.started + expectedTotal - now.steady);
        if (longest >= releaseWithin) {
            return std::nullopt;
        }
    }
    return longest;
}

std::uint32_t PoolScheduler::countOfStep(const Upstream& upstream, const StepId& step)
{
    const TaskId first { step.job, { step.occurrence, step.step, 0 } };
    const TaskId last { step.job, { step.occurrence, step.step, std::numeric_limits<std::uint32_t>::max() } };
    return static_cast<std::uint32_t>(
        std::distance(upstream.tasks.lower_bound(first), upstream.tasks.upper_bound(last)));
}

std::uint32_t PoolScheduler::countOfStep(
    const UpstreamId& upstream, const StepId& step, const Chosen& chosen) const
{
    const auto found = chosen.find(upstream);
    return countOfStep(this->upstreams.at(upstream), step) + (found != chosen.end() ? found->second : 0);
}

bool PoolScheduler::admits(const jobs::Step& step, const Room& room) const
{
    const auto& labels = this->rooms.kind(room.kind).labels;
    return step.resources.memory <= room.left.memory && step.resources.accelerators <= room.left.accelerators
        && (step.label.empty() || std::ranges::find(labels, step.label) != labels.end());
}

std::vector<const UpstreamId*> PoolScheduler::candidates(
    const ReadyStep& ready, const Task& task, const std::set<UpstreamId>& group, const Chosen& chosen)
{
    const auto& step = ready.entry->job.steps[ready.step];
    std::vector<const UpstreamId*> found;
    const bool counts = step.longRunning || step.maxPerUpstream > 0;
    for (const auto& id : group) {
        ++this->upstreamsExamined;
        if (step.maxPerUpstream == 0 || countOfStep(id, ready.id(), chosen) < step.maxPerUpstream) {
            found.push_back(&id);
        }
        // Upstreams of a group are equivalent, so the first on which the task has not failed stands for the
        // rest.
        if (!counts && !task.failedOn.contains(id)) {
            break;
        }
    }
    return found;
}

const UpstreamId* PoolScheduler::chooseUpstream(
    const ReadyStep& ready, const Task& task, Moment now, const model::RackId* onlyRack, const Chosen& chosen)
{
    const auto& step = ready.entry->job.steps[ready.step];
    const bool waitForRack = internal::waitsForRack(step, task, now);
    using Key = std::tuple<bool, bool, std::uint32_t, bool, double, UpstreamId>;
    const UpstreamId* best = nullptr;
    std::optional<Key> bestKey;
    for (auto group = this->rooms.firstWithCpu(internal::requiredCpu(step)); group != this->rooms.end();
         ++group) {
        ++this->upstreamsExamined;
        const auto& room = group->first;
        const auto& kind = this->rooms.kind(room.kind);
        const bool outsideDataRack = !step.dataRack.empty() && kind.rack.text() != step.dataRack;
        if (!admits(step, room) || (onlyRack != nullptr && kind.rack != *onlyRack)
            || (outsideDataRack && waitForRack)) {
            continue;
        }
        const auto load = loadWith(step, room, kind.capacity);
        for (const auto* const id : candidates(ready, task, group->second, chosen)) {
            Key key { task.failedOn.contains(*id), outsideDataRack,
                step.longRunning ? countOfStep(*id, ready.id(), chosen) / tasksPerVm(step) : 0U,
                // Long-running tasks are kept on few VMs, so that the other VMs can change their pool.
                step.longRunning && !room.hasLongRunning,
                // Other tasks are placed on the most loaded VMs first, so that the rest can be released.
                step.longRunning || step.filler ? load : -load, *id };
            if (!bestKey || key < *bestKey) {
                best = id;
                bestKey.emplace(std::move(key));
            }
        }
    }
    return best;
}

} // namespace wasabiroad::scheduling
