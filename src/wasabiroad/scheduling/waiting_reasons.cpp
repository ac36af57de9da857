#include "wasabiroad/scheduling/waiting_reasons.hpp"

#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include <algorithm>

namespace wasabiroad::scheduling {

using internal::JobEntry;
using internal::Phase;
using internal::StepEntry;
using internal::Task;
using internal::Upstream;
using kernel::Duration;
using kernel::Instant;

namespace {

/** @return Time for which the occurrence has been due and the steps before this one have been completed. */
Duration readyFor(const JobEntry& entry, std::uint32_t occurrence, std::uint32_t number, Moment now)
{
    auto ready = now.wall - internal::beginOf(entry.job, occurrence);
    for (const auto before : entry.job.steps[number].after) {
        ready = std::min(ready, now.steady - entry.open.at(occurrence).steps[before].lastDone);
    }
    return ready;
}

} // namespace

std::string_view name(WaitReason reason)
{
    switch (reason) {
    case WaitReason::Unresolved:
        return "unresolved";
    case WaitReason::Delayed:
        return "delayed";
    case WaitReason::Gang:
        return "gang";
    case WaitReason::Blocked:
        return "blocked";
    case WaitReason::Startable:
        return "startable";
    }
    return "unknown";
}

std::string_view name(UpstreamCondition condition)
{
    switch (condition) {
    case UpstreamCondition::Indexed:
        return "indexed";
    case UpstreamCondition::Drained:
        return "drained";
    case UpstreamCondition::NotMember:
        return "not-member";
    case UpstreamCondition::Unlisted:
        return "unlisted";
    case UpstreamCondition::OutdatedFacts:
        return "outdated-facts";
    case UpstreamCondition::Reopening:
        return "reopening";
    case UpstreamCondition::UnknownTasks:
        return "unknown-tasks";
    case UpstreamCondition::Draining:
        return "draining";
    case UpstreamCondition::Suspect:
        return "suspect";
    case UpstreamCondition::StartLimit:
        return "start-limit";
    case UpstreamCondition::Unindexed:
        return "not-indexed";
    }
    return "unknown";
}

std::size_t WaitingReasons::count(WaitReason reason) const
{
    const auto found = this->tasks.find(reason);
    return found != this->tasks.end() ? found->second.count : 0;
}

std::size_t WaitingReasons::count(UpstreamCondition condition) const
{
    const auto found = this->upstreams.find(condition);
    return found != this->upstreams.end() ? found->second : 0;
}

std::size_t WaitingReasons::readyCount() const
{
    std::size_t ready = 0;
    for (const auto& [reason, waiting] : this->tasks) {
        ready += waiting.count;
    }
    return ready;
}

Duration WaitingReasons::longestWait() const
{
    Duration longest {};
    for (const auto& [reason, waiting] : this->tasks) {
        longest = std::max(longest, waiting.waited);
    }
    return longest;
}

WaitingReasons PoolScheduler::waitingReasons(Moment now) const
{
    std::map<WaitReason, internal::WaitingTally> tallies;
    std::map<Phase, std::size_t> phases;
    for (const auto& [id, entry] : this->jobEntries) {
        for (const auto& [occurrence, open] : entry.open) {
            for (std::uint32_t step = 0; step < entry.job.steps.size(); ++step) {
                open.steps[step].tasks.forEachHeld(
                    [&](std::uint32_t, const Task& task) { ++phases[task.phase]; });
                if (!jobs::isFinal(entry.state) && isStepReady(entry, occurrence, step, now)) {
                    tallyWaiting(entry, { id, occurrence, step }, now, tallies);
                }
            }
        }
    }
    std::map<WaitReason, WaitingTasks> tasks;
    for (const auto& [reason, tally] : tallies) {
        const auto& step = stepOf(tally.longest);
        tasks.emplace(reason,
            WaitingTasks {
                tally.count, tally.longest, tally.waited, step.resources, step.label, countFitting(step) });
    }
    std::map<UpstreamCondition, std::size_t> conditions;
    for (const auto& [id, upstream] : this->upstreams) {
        ++conditions[conditionOf(id, upstream, now)];
    }
    return { std::move(tasks), std::move(conditions),
        { phases[Phase::Starting], phases[Phase::Running], phases[Phase::Stopping] },
        this->unreconciled.size(), this->unansweredStarts, !mayStartMore() };
}

void PoolScheduler::tallyWaiting(const JobEntry& entry, const StepId& id, Moment now,
    std::map<WaitReason, internal::WaitingTally>& tallies) const
{
    const auto& step = entry.open.at(id.occurrence).steps[id.step];
    const bool gangIncomplete = entry.job.steps[id.step].gang && !step.tasks.areAllStartable(now);
    const bool blocked = step.waiting && this->waiting.isBlocked(step.waiting->requirements);
    const auto reasonOf = [&](const Task& task) {
        using enum WaitReason;
        return task.unresolved            ? Unresolved
            : task.notBefore > now.steady ? Delayed
            : gangIncomplete              ? Gang
            : blocked                     ? Blocked
                                          : Startable;
    };
    const auto stepReady = readyFor(entry, id.occurrence, id.step, now);
    step.tasks.forEachWaiting([&](std::uint32_t index, const Task& task, std::size_t count) {
        auto& tally = tallies[reasonOf(task)];
        const auto waited = std::min(stepReady, now.steady - task.readySince);
        if (tally.count == 0 || waited > tally.waited) {
            tally.longest = { id.job, { id.occurrence, id.step, index } };
            tally.waited = waited;
        }
        tally.count += count;
    });
}

std::size_t PoolScheduler::countFitting(const jobs::Step& step) const
{
    std::size_t fitting = 0;
    for (auto group = this->rooms.firstWithCpu(internal::requiredCpu(step)); group != this->rooms.end();
         ++group) {
        fitting += admits(step, group->first) ? group->second.size() : 0;
    }
    return fitting;
}

UpstreamCondition PoolScheduler::conditionOf(const UpstreamId& id, const Upstream& upstream, Moment now) const
{
    using enum UpstreamCondition;
    // A drained upstream leaves the record of used ones, and with it the members.
    return this->drains.contains(id)                                             ? Drained
        : !upstream.facts || !upstream.member                                    ? NotMember
        : !upstream.listed                                                       ? Unlisted
        : !hasCurrentFacts(upstream)                                             ? OutdatedFacts
        : this->reopening.contains(id)                                           ? Reopening
        : upstream.hasUnknownTasks                                               ? UnknownTasks
        : upstream.facts->draining                                               ? Draining
        : upstream.suspectUntil > now.steady                                     ? Suspect
        : upstream.room                                                          ? Indexed
        : upstream.unansweredStarts >= this->policy.maxStartsInFlightPerUpstream ? StartLimit
                                                                                 : Unindexed;
}

} // namespace wasabiroad::scheduling
