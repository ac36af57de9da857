#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>

namespace wasabiroad::scheduling {

using internal::Phase;
using jobs::JobState;
using jobs::TaskId;
using kernel::Duration;

namespace {

/** Maximum number of times that Policy::suspectDuration is doubled. */
constexpr std::int64_t maxDoublings = 2;

/** Jobs with failed tasks, without a completed task in between, that make an upstream suspect; one faulty job
 * must not. */
constexpr std::size_t failedJobsLimit = 2;

bool isActive(const internal::Task& task)
{
    return task.phase == Phase::Starting || task.phase == Phase::Running || task.phase == Phase::Stopping;
}

template <typename Visit> void forEachTask(internal::JobEntry& entry, Visit visit)
{
    for (std::uint32_t occurrence = 0; occurrence < entry.occurrences.size(); ++occurrence) {
        for (std::uint32_t step = 0; step < entry.occurrences[occurrence].size(); ++step) {
            auto& tasks = entry.occurrences[occurrence][step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                visit(TaskId { entry.job.id, { occurrence, step, index } }, tasks[index]);
            }
        }
    }
}

std::uint64_t tasksLeft(const internal::JobEntry& entry)
{
    std::uint64_t left = 0;
    for (const auto& steps : entry.occurrences) {
        for (const auto& step : steps) {
            left += step.tasks.size() - step.done;
        }
    }
    return left;
}

/** @return Expected work of a job without long-running and filler steps, in millicores times milliseconds. */
std::int64_t expectedWork(const internal::JobEntry& entry)
{
    std::int64_t work = 0;
    for (std::size_t index = 0; index < entry.expected.size(); ++index) {
        const auto& step = entry.job.steps[index];
        if (!step.longRunning && !step.filler) {
            work += step.count * step.resources.cpu * entry.expected[index].milliseconds;
        }
    }
    return work;
}

kernel::Instant dueTime(const internal::JobEntry& entry)
{
    const auto& job = entry.job;
    const auto begin = job.firstDue.milliseconds > 0 ? job.firstDue : job.accepted;
    const auto chain
        = jobs::longestChain(job.steps, [&](std::size_t index) { return entry.expected[index]; });
    const auto stretched = job.stretch * static_cast<double>(chain.milliseconds);
    return begin + Duration { static_cast<std::int64_t>(stretched) } + job.allowance;
}

} // namespace

PoolScheduler::PoolScheduler(
    Policy limits, std::uint64_t ownTerm, Moment started, const std::vector<UpstreamId>& used)
    : policy(limits)
    , term(ownTerm)
    , termStart(started)
    , unreconciled(used.begin(), used.end())
{
}

std::vector<Order> PoolScheduler::apply(const Event& event, Moment now)
{
    std::visit([&](const auto& happened) { on(happened, now); }, event);
    if (this->schedulingNeeded && this->active) {
        this->schedulingNeeded = false;
        schedule(now);
    }
    return std::exchange(this->orders, {});
}

void PoolScheduler::on(const JobAdded& event, Moment now)
{
    if (this->jobEntries.contains(event.job.id) || jobs::isFinal(event.record.state)) {
        return;
    }
    JobEntry entry { .job = event.job, .state = event.record.state };
    for (const auto& step : event.job.steps) {
        entry.expected.push_back(this->runTimes.expected(event.job.queue, step.estimate));
    }
    entry.due = dueTime(entry);
    entry.occurrences.resize(std::max(event.job.occurrences, 1U));
    for (auto& steps : entry.occurrences) {
        steps.resize(event.job.steps.size());
        for (std::size_t step = 0; step < steps.size(); ++step) {
            Task task { .unresolved = event.mayHaveStarted && !this->unreconciled.empty(),
                .notBefore = {},
                .readySince = now.steady };
            steps[step].tasks.assign(event.job.steps[step].count, task);
        }
    }
    for (const auto& progress : event.record.tasks) {
        const auto& at = progress.position;
        if (at.occurrence >= entry.occurrences.size() || at.step >= event.job.steps.size()
            || at.index >= event.job.steps[at.step].count) {
            continue;
        }
        auto& step = entry.occurrences[at.occurrence][at.step];
        auto& task = step.tasks[at.index];
        task.failedRuns.insert(progress.failedRuns.begin(), progress.failedRuns.end());
        task.checkpoint = progress.checkpoint;
        if (progress.done && !task.done) {
            task.done = true;
            task.phase = Phase::Done;
            ++step.done;
        }
    }
    // Jobs taken over from a previous owner do not count towards the current rate.
    if (!event.mayHaveStarted && event.job.firstDue == kernel::Instant {}) {
        this->arrivals.add(expectedWork(entry), now.steady);
    }
    markDirty(this->jobEntries.emplace(event.job.id, std::move(entry)).first->second);
    this->schedulingNeeded = true;
}

void PoolScheduler::on(const JobCancelled& event, Moment now)
{
    const auto found = this->jobEntries.find(event.job);
    if (found == this->jobEntries.end() || jobs::isFinal(found->second.state)) {
        return;
    }
    auto& entry = found->second;
    entry.state = JobState::Cancelled;
    entry.written = true;
    this->changed.erase(event.job);
    forEachTask(entry, [&](const TaskId& id, Task& task) { stop(id, task, now, "cancelled"); });
    markDirty(entry);
    eraseIfEnded(event.job);
    this->schedulingNeeded = true;
}

void PoolScheduler::on(const MembersListed& event, Moment now)
{
    std::set<UpstreamId> present;
    for (const auto& facts : event.members) {
        present.insert(facts.id);
        auto& upstream = this->upstreams[facts.id];
        if (!upstream.member || upstream.facts != facts) {
            upstream.facts.emplace(facts);
            upstream.member = true;
            this->racks.clear();
            markDirty(facts.id);
        }
    }
    std::vector<UpstreamId> unused;
    for (auto& [id, upstream] : this->upstreams) {
        if (upstream.member && !present.contains(id)) {
            upstream.member = false;
            markDirty(id);
        }
        if (!upstream.member && !upstream.listed && upstream.tasks.empty()) {
            unused.push_back(id);
        }
    }
    for (const auto& id : unused) {
        eraseUpstream(id);
    }
    drainUpstreams(now);
    this->schedulingNeeded = true;
}

void PoolScheduler::on(const DrainsChanged& event, Moment now)
{
    std::map<UpstreamId, internal::DrainState> wanted;
    for (const auto& drain : event.drains) {
        const auto known = this->drains.find(drain.upstream);
        const auto since = known != this->drains.end() ? known->second.since : now.steady;
        wanted.emplace(drain.upstream, internal::DrainState { since, drain.stopsTasks });
        markDirty(drain.upstream);
    }
    for (const auto& [id, drain] : this->drains) {
        markDirty(id);
    }
    this->drains = std::move(wanted);
    drainUpstreams(now);
    this->schedulingNeeded = true;
}

void PoolScheduler::on(const TasksListed& event, Moment now)
{
    auto& upstream = this->upstreams[event.upstream];
    if (upstream.born != event.born) {
        if (upstream.born != kernel::Instant {}) {
            releaseAll(event.upstream, now, true);
        }
        upstream.born = event.born;
        upstream.lastEndNumber = 0;
        upstream.failedJobs.clear();
    }
    upstream.listed = true;
    upstream.listedAt = event.sent;
    upstream.hasUnknownTasks = false;
    markDirty(event.upstream);
    upstream.leaseEnd = std::max(upstream.leaseEnd, now.steady + this->policy.maxLeaseDuration);
    for (const auto& end : event.ended) {
        if (end.number > upstream.lastEndNumber) {
            upstream.lastEndNumber = end.number;
            applyEnd(event.upstream, end, now);
        }
    }
    for (const auto& running : event.running) {
        applyRunning(event.upstream, running, now);
    }
    adjustPace(upstream, now);
    if (!event.moreEnds) {
        releaseStopped(event, now);
        markReconciled(event.upstream);
    }
    this->schedulingNeeded = true;
}

void PoolScheduler::applyEnd(const UpstreamId& id, const EndedTask& end, Moment now)
{
    const auto [entry, task] = find(end.task);
    const bool current = task != nullptr && isActive(*task) && task->upstream == id && task->run == end.run;
    if (task == nullptr || (task->done && !current)) {
        return;
    }
    if (!end.checkpoint.empty() && (current || !isActive(*task))) {
        task->checkpoint = end.checkpoint;
    }
    if (current) {
        if (end.kind == EndKind::Done && !task->resumed) {
            learnRunTime(*entry, end.task.position.step, now.steady - task->started);
        }
        detach(end.task, *task);
        requeue(end.task, *task, now);
    }
    if (jobs::isFinal(entry->state) || task->done) {
        eraseIfEnded(end.task.job);
        return;
    }
    markRunning(*entry);
    switch (end.kind) {
    case EndKind::Done:
        taskDone(*entry, end.task, *task, now);
        break;
    case EndKind::Failed:
        if (task->failedRuns.insert(end.run).second) {
            taskFailed(*entry, end.task, *task, id, now);
        }
        break;
    case EndKind::Stopped:
    case EndKind::LeaseExpired:
    case EndKind::PeerEnded:
    case EndKind::GangIncomplete:
        break;
    }
    // Completion of one member completes the whole gang.
    const auto& step = stepOf(end.task);
    if (step.gang && end.kind == EndKind::Done) {
        auto& tasks = entry->occurrences[end.task.position.occurrence][end.task.position.step].tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            auto& member = tasks[index];
            const TaskId memberId { end.task.job,
                { end.task.position.occurrence, end.task.position.step, index } };
            if (!member.done && !jobs::isFinal(entry->state)) {
                taskDone(*entry, memberId, member, now);
            }
        }
    }
}

void PoolScheduler::learnRunTime(JobEntry& entry, std::uint32_t step, Duration actual)
{
    // Tasks of a step have similar run times, so only the first is recorded.
    if (entry.job.steps[step].longRunning || !entry.measured.insert(step).second) {
        return;
    }
    this->runTimes.observe(entry.job.queue, entry.job.steps[step].estimate, actual);
    entry.expected[step] = actual;
    entry.due = dueTime(entry);
    markDirty(entry);
}

void PoolScheduler::applyRunning(const UpstreamId& id, const RunningTask& running, Moment now)
{
    const auto [entry, task] = find(running.task);
    auto& upstream = this->upstreams[id];
    if (task == nullptr) {
        upstream.hasUnknownTasks = true;
        stopUnexpected(id, running.task, running.run, "unknown job");
        return;
    }
    const bool current = isActive(*task) && task->upstream == id && task->run == running.run;
    if (!current) {
        if (task->phase != Phase::Waiting || jobs::isFinal(entry->state)) {
            upstream.hasUnknownTasks = true;
            stopUnexpected(id, running.task, running.run, "run is not expected on this upstream");
            return;
        }
        // The run was started by a previous owner: adopt it.
        task->upstream = id;
        task->run = running.run;
        task->unresolved = false;
        task->started = now.steady;
        task->resumed = true;
        task->lastProgress = now.steady;
        task->percent = running.percent;
        task->phase = Phase::Running;
        task->stopAnswered.reset();
        attach(running.task, *task);
        markDirty(running.task.job, running.task.position.occurrence);
    }
    if (task->phase == Phase::Starting) {
        setPhase(*task, Phase::Running);
    }
    if (running.percent != task->percent) {
        task->lastProgress = now.steady;
    }
    task->percent = running.percent;
    task->measurement = running.measurement;
    if (!running.checkpoint.empty()) {
        task->checkpoint = running.checkpoint;
    }
    markRunning(*entry);
}

void PoolScheduler::releaseStopped(const TasksListed& event, Moment now)
{
    std::set<TaskId> present;
    for (const auto& running : event.running) {
        present.insert(running.task);
    }
    const auto tasks = this->upstreams[event.upstream].tasks;
    for (const auto& id : tasks) {
        const auto [entry, task] = find(id);
        if (task != nullptr && task->phase == Phase::Stopping && task->stopAnswered
            && *task->stopAnswered <= event.sent && !present.contains(id)) {
            detach(id, *task);
            requeue(id, *task, now);
            eraseIfEnded(id.job);
        }
    }
}

void PoolScheduler::on(const StartAnswered& event, Moment now)
{
    const auto [entry, task] = find(event.task);
    if (task == nullptr || task->phase != Phase::Starting || task->run != event.run) {
        return;
    }
    switch (event.result) {
    case StartResult::Started:
        setPhase(*task, Phase::Running);
        task->lastProgress = now.steady;
        markRunning(*entry);
        return;
    case StartResult::Unknown:
        this->upstreams[event.upstream].suspectUntil = now.steady + this->policy.refusalRetryDelay;
        markDirty(event.upstream);
        stop(event.task, *task, now, "start was not answered");
        return;
    case StartResult::NoRoom:
    case StartResult::Refused:
    case StartResult::NotSent:
        markSuspect(event.upstream, now);
        [[fallthrough]];
    case StartResult::NotTried:
    case StartResult::StaleRun:
        detach(event.task, *task);
        requeue(event.task, *task, now);
        task->notBefore = now.steady + this->policy.refusalRetryDelay;
        eraseIfEnded(event.task.job);
        this->schedulingNeeded = true;
        return;
    }
}

void PoolScheduler::on(const StopAnswered& event, Moment now)
{
    const auto [entry, task] = find(event.task);
    if (task != nullptr && task->phase == Phase::Stopping && task->run == event.run && event.answered
        && !task->stopAnswered) {
        task->stopAnswered = now.steady;
    }
}

void PoolScheduler::on(const UpstreamUnresponsive& event, Moment)
{
    auto& upstream = this->upstreams[event.upstream];
    upstream.listed = false;
    upstream.leaseEnd = std::max(upstream.leaseEnd, event.lastRenewal + this->policy.maxLeaseDuration);
    markDirty(event.upstream);
}

void PoolScheduler::on(const UpstreamReplaced& event, Moment now)
{
    releaseAll(event.upstream, now, false);
    eraseUpstream(event.upstream);
    markReconciled(event.upstream);
    this->schedulingNeeded = true;
}

void PoolScheduler::markReconciled(const UpstreamId& id)
{
    if (this->unreconciled.erase(id) != 0 && this->unreconciled.empty()) {
        resolveTasks();
    }
}

void PoolScheduler::resolveTasks()
{
    for (auto& [id, entry] : this->jobEntries) {
        forEachTask(entry, [](const TaskId&, Task& task) { task.unresolved = false; });
        markDirty(entry);
    }
    this->schedulingNeeded = true;
}

void PoolScheduler::on(const Tick&, Moment now)
{
    if (!this->unreconciled.empty() && now.steady - this->termStart.steady > this->policy.takeoverTimeout) {
        // An upstream that answers has ends that it has not listed yet.
        std::erase_if(this->unreconciled, [&](const UpstreamId& id) {
            const auto upstream = this->upstreams.find(id);
            return upstream == this->upstreams.end()
                || (!upstream->second.listed && now.steady > upstream->second.leaseEnd);
        });
        if (this->unreconciled.empty()) {
            resolveTasks();
        }
    }
    std::vector<UpstreamId> lapsed;
    for (const auto& [id, upstream] : this->upstreams) {
        if (!upstream.listed && !upstream.tasks.empty() && now.steady > upstream.leaseEnd) {
            lapsed.push_back(id);
        }
    }
    for (const auto& id : lapsed) {
        releaseAll(id, now, false);
    }
    checkStalls(now);
    drainUpstreams(now);
    this->schedulingNeeded = true;
}

void PoolScheduler::checkStalls(Moment now)
{
    for (auto& [upstreamId, upstream] : this->upstreams) {
        if (!upstream.listed) {
            continue;
        }
        for (const auto& id : upstream.tasks) {
            const auto [entry, task] = find(id);
            const auto& step = entry->job.steps[id.position.step];
            if (task->phase == Phase::Stopping && !task->stopAnswered
                && now.steady - task->stopSent > this->policy.stopRetryInterval) {
                task->stopSent = now.steady;
                this->orders.push_back(StopTask { task->upstream, id, task->run, "stop was not answered" });
            }
            if (task->phase != Phase::Running || step.gang) {
                continue;
            }
            const bool stalled = !step.longRunning && task->pace > 0
                && now.steady - task->lastProgress > this->policy.stallTimeout;
            const bool startupOverdue = step.longRunning && task->percent < 100 && task->pace == 100
                && now.steady - task->started > this->policy.startupTimeout
                && now.steady - task->lastProgress > this->policy.stallTimeout;
            if (stalled || startupOverdue) {
                task->failedOn.insert(upstreamId);
                markSuspect(upstreamId, now);
                stop(id, *task, now, "no progress");
            }
        }
    }
}

void PoolScheduler::drainUpstreams(Moment now)
{
    for (auto& [upstreamId, upstream] : this->upstreams) {
        const bool draining = upstream.facts && upstream.facts->draining;
        const auto drain = this->drains.find(upstreamId);
        const bool drainRequested = drain != this->drains.end();
        if (!drainRequested && !draining) {
            continue;
        }
        const bool withinTimeout = drainRequested
            && (!drain->second.stopsTasks || now.steady - drain->second.since < this->policy.drainTimeout);
        for (const auto& id : upstream.tasks) {
            const auto [entry, task] = find(id);
            if (task->phase != Phase::Running) {
                continue;
            }
            const auto& step = stepOf(id);
            if (step.longRunning) {
                if (step.maxUnavailable == 0 || draining
                    || countOtherUnavailable(*entry, id, now) < step.maxUnavailable) {
                    stop(id, *task, now, "upstream is being drained");
                }
            } else if (drainRequested && !withinTimeout) {
                stop(id, *task, now, "upstream is being drained");
            }
        }
    }
}

bool PoolScheduler::isUnavailable(const Task& task, Moment now) const
{
    if (task.phase != Phase::Running || task.percent < 100) {
        return true;
    }
    const auto& upstream = this->upstreams.at(task.upstream);
    return !upstream.listed || now.steady - upstream.listedAt > this->policy.taskListMaxAge;
}

std::uint32_t PoolScheduler::countOtherUnavailable(const JobEntry& entry, const TaskId& id, Moment now) const
{
    const auto& tasks = entry.occurrences[id.position.occurrence][id.position.step].tasks;
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        unavailable += index != id.position.index && isUnavailable(tasks[index], now) ? 1 : 0;
    }
    return unavailable;
}

void PoolScheduler::taskDone(JobEntry& entry, const TaskId& id, Task& task, Moment now)
{
    if (stepOf(id).longRunning) {
        return;
    }
    task.done = true;
    task.unresolved = false;
    if (isActive(task)) {
        stop(id, task, now, "completed by another run");
    } else {
        task.phase = Phase::Done;
    }
    ++entry.occurrences[id.position.occurrence][id.position.step].done;
    markDirty(id.job, id.position.occurrence);
    if (const auto upstream = this->upstreams.find(task.upstream); upstream != this->upstreams.end()) {
        upstream->second.failedJobs.clear();
        upstream->second.suspectCount = 0;
    }
    if (tasksLeft(entry) == 0) {
        finish(entry, JobState::Completed, now, "all tasks are completed");
    } else {
        markChanged(entry.job.id, false);
    }
}

void PoolScheduler::taskFailed(
    JobEntry& entry, const TaskId& id, Task& task, const UpstreamId& where, Moment now)
{
    task.failedOn.insert(where);
    markChanged(entry.job.id, false);
    if (const auto upstream = this->upstreams.find(where); upstream != this->upstreams.end()) {
        upstream->second.failedJobs.insert(id.job);
        if (upstream->second.failedJobs.size() >= failedJobsLimit) {
            markSuspect(where, now);
        }
    }
    if (!stepOf(id).longRunning && task.failedRuns.size() >= entry.job.maxAttempts) {
        finish(entry, JobState::Failed, now, "a task used up its attempts");
    }
}

void PoolScheduler::finish(JobEntry& entry, JobState state, Moment now, std::string_view reason)
{
    entry.state = state;
    entry.finished = now.wall;
    forEachTask(entry, [&](const TaskId& id, Task& task) { stop(id, task, now, reason); });
    markDirty(entry);
    markChanged(entry.job.id, true);
}

void PoolScheduler::markSuspect(const UpstreamId& id, Moment now)
{
    auto& upstream = this->upstreams[id];
    if (upstream.suspectUntil > now.steady) {
        return;
    }
    const auto doublings = std::min(upstream.suspectCount, maxDoublings);
    upstream.suspectUntil = now.steady + this->policy.suspectDuration * (std::int64_t { 1 } << doublings);
    ++upstream.suspectCount;
    upstream.failedJobs.clear();
    markDirty(id);
}

void PoolScheduler::setPhase(Task& task, Phase phase)
{
    const auto upstream = this->upstreams.find(task.upstream);
    const auto count = [&](std::size_t& starts) {
        starts += phase == Phase::Starting ? 1 : 0;
        starts -= task.phase == Phase::Starting ? 1 : 0;
    };
    count(this->unansweredStarts);
    if (upstream != this->upstreams.end()) {
        count(upstream->second.unansweredStarts);
        markDirty(task.upstream);
    }
    task.phase = phase;
    this->schedulingNeeded = true;
}

void PoolScheduler::requeue(const TaskId& id, Task& task, Moment now)
{
    setPhase(task, task.done ? Phase::Done : Phase::Waiting);
    task.percent = 0;
    task.pace = 100;
    task.stopAnswered.reset();
    task.readySince = now.steady;
    markDirty(id.job, id.position.occurrence);
    this->schedulingNeeded = true;
}

void PoolScheduler::markRunning(JobEntry& entry)
{
    if (entry.state == JobState::Pending) {
        entry.state = JobState::Running;
        markChanged(entry.job.id, false);
    }
}

void PoolScheduler::attach(const TaskId& id, const Task& task)
{
    auto& upstream = this->upstreams[task.upstream];
    const auto& step = stepOf(id);
    upstream.tasks.insert(id);
    upstream.longRunningTasks += step.longRunning ? 1 : 0;
    internal::addUsage(upstream, step, 1);
    ++this->jobEntries.at(id.job).activeTasks;
    markDirty(task.upstream);
}

void PoolScheduler::detach(const TaskId& id, Task& task)
{
    const auto found = this->upstreams.find(task.upstream);
    if (found != this->upstreams.end() && found->second.tasks.erase(id) != 0) {
        const auto& step = stepOf(id);
        found->second.longRunningTasks -= step.longRunning ? 1 : 0;
        found->second.freedResources = true;
        internal::addUsage(found->second, step, -1);
        --this->jobEntries.at(id.job).activeTasks;
        markDirty(task.upstream);
    }
}

void PoolScheduler::stop(const TaskId& id, Task& task, Moment now, std::string_view reason)
{
    if (task.phase != Phase::Starting && task.phase != Phase::Running) {
        return;
    }
    setPhase(task, Phase::Stopping);
    task.stopAnswered.reset();
    task.stopSent = now.steady;
    this->orders.push_back(StopTask { task.upstream, id, task.run, std::string { reason } });
}

void PoolScheduler::stopUnexpected(
    const UpstreamId& upstream, const TaskId& id, jobs::Run run, std::string_view reason)
{
    this->orders.push_back(StopTask { upstream, id, run, std::string { reason } });
}

void PoolScheduler::releaseAll(const UpstreamId& id, Moment now, bool restarted)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end()) {
        return;
    }
    const auto tasks = found->second.tasks;
    for (const auto& taskId : tasks) {
        const auto [entry, task] = find(taskId);
        if (restarted
            && (task->phase == Phase::Starting || (task->phase == Phase::Stopping && !task->stopAnswered))) {
            // The new incarnation may still carry out a delayed start until it has answered a stop.
            stop(taskId, *task, now, "start on an earlier incarnation was not answered");
            continue;
        }
        detach(taskId, *task);
        requeue(taskId, *task, now);
        eraseIfEnded(taskId.job);
    }
}

void PoolScheduler::eraseIfEnded(const jobs::JobId& job)
{
    const auto found = this->jobEntries.find(job);
    ++this->jobsExamined;
    if (found == this->jobEntries.end() || !jobs::isFinal(found->second.state) || !found->second.written
        || found->second.activeTasks > 0) {
        return;
    }
    auto& occurrences = found->second.occurrences;
    for (std::uint32_t occurrence = 0; occurrence < occurrences.size(); ++occurrence) {
        for (std::uint32_t step = 0; step < occurrences[occurrence].size(); ++step) {
            const StepId id { found->first, occurrence, step };
            setWaiting(occurrences[occurrence][step], std::nullopt);
            setWakes(id, occurrences[occurrence][step], std::nullopt, std::nullopt);
        }
    }
    this->jobEntries.erase(found);
}

void PoolScheduler::eraseUpstream(const UpstreamId& id)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end()) {
        return;
    }
    if (found->second.room) {
        this->rooms.erase(id, *found->second.room);
    }
    this->upstreams.erase(found);
    this->racks.clear();
}

void PoolScheduler::recordWritten(const jobs::JobId& job)
{
    if (const auto found = this->jobEntries.find(job);
        found != this->jobEntries.end() && jobs::isFinal(found->second.state)) {
        found->second.written = true;
        eraseIfEnded(job);
    }
}

void PoolScheduler::markChanged(const jobs::JobId& job, bool isUrgent)
{
    this->changed.insert(job);
    this->urgent = this->urgent || isUrgent;
}

std::vector<RecordChange> PoolScheduler::takeChanges()
{
    std::vector<RecordChange> changes;
    for (const auto& id : this->changed) {
        const auto found = this->jobEntries.find(id);
        if (found == this->jobEntries.end()) {
            continue;
        }
        auto& entry = found->second;
        std::vector<jobs::TaskProgress> tasks;
        if (!jobs::isFinal(entry.state)) {
            forEachTask(entry, [&](const TaskId& task, const Task& state) {
                if (state.done || !state.failedRuns.empty() || !state.checkpoint.empty()) {
                    tasks.push_back(
                        { task.position, state.done, { state.failedRuns.begin(), state.failedRuns.end() },
                            state.done ? std::string {} : state.checkpoint });
                }
            });
        }
        changes.push_back({ id, { entry.state, std::move(tasks), entry.finished } });
    }
    this->changed.clear();
    this->urgent = false;
    return changes;
}

std::optional<JobState> PoolScheduler::stateOf(const jobs::JobId& job) const
{
    const auto found = this->jobEntries.find(job);
    if (found == this->jobEntries.end()) {
        return std::nullopt;
    }
    const auto& entry = found->second;
    return jobs::isFinal(entry.state) && !entry.written ? JobState::Running : entry.state;
}

std::optional<kernel::Instant> PoolScheduler::acceptedAt(const jobs::JobId& job) const
{
    const auto found = this->jobEntries.find(job);
    return found != this->jobEntries.end() ? std::optional { found->second.job.accepted } : std::nullopt;
}

std::vector<jobs::JobId> PoolScheduler::openJobs() const
{
    std::vector<jobs::JobId> open;
    for (const auto& [id, entry] : this->jobEntries) {
        if (!jobs::isFinal(entry.state)) {
            open.push_back(id);
        }
    }
    return open;
}

std::map<jobs::QueueId, std::uint64_t> PoolScheduler::pendingCounts() const
{
    std::map<jobs::QueueId, std::uint64_t> counts;
    for (const auto& [id, entry] : this->jobEntries) {
        counts[entry.job.queue]
            += entry.state == JobState::Pending && entry.job.firstDue.milliseconds == 0 ? 1 : 0;
    }
    return counts;
}

bool PoolScheduler::isDrained(const UpstreamId& upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return this->drains.contains(upstream) && !this->unreconciled.contains(upstream)
        && (found == this->upstreams.end() || found->second.tasks.empty());
}

bool PoolScheduler::hasTasks(const UpstreamId& upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return found != this->upstreams.end() && !found->second.tasks.empty();
}

std::uint64_t PoolScheduler::lastEndNumber(const UpstreamId& upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return found != this->upstreams.end() ? found->second.lastEndNumber : 0;
}

std::pair<internal::JobEntry*, internal::Task*> PoolScheduler::find(const TaskId& id)
{
    const auto found = this->jobEntries.find(id.job);
    if (found == this->jobEntries.end() || id.position.occurrence >= found->second.occurrences.size()) {
        return { nullptr, nullptr };
    }
    auto& steps = found->second.occurrences[id.position.occurrence];
    if (id.position.step >= steps.size() || id.position.index >= steps[id.position.step].tasks.size()) {
        return { nullptr, nullptr };
    }
    return { &found->second, &steps[id.position.step].tasks[id.position.index] };
}

const jobs::Step& PoolScheduler::stepOf(const TaskId& id) const
{
    return this->jobEntries.at(id.job).job.steps[id.position.step];
}

} // namespace wasabiroad::scheduling
