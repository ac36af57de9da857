#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>
#include <limits>

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

/** Stands for the next occurrence in the times at which steps have to be indexed again, apart from the steps
 * of an occurrence that is open before its time. */
constexpr std::uint32_t openingStep = std::numeric_limits<std::uint32_t>::max();

bool isActive(const internal::Task& task)
{
    return task.phase == Phase::Starting || task.phase == Phase::Running || task.phase == Phase::Stopping;
}

/** Calls `visit(id, task)` for each task of the open occurrences that is held in full. */
template <typename Visit> void forEachHeldTask(internal::JobEntry& entry, Visit visit)
{
    for (auto& [number, occurrence] : entry.open) {
        jobs::TaskPosition position { .occurrence = number };
        for (auto& step : occurrence.steps) {
            step.tasks.forEachHeld([&](std::uint32_t index, internal::Task& task) {
                position.index = index;
                visit(TaskId { entry.job.id, position }, task);
            });
            ++position.step;
        }
    }
}

/** @return Progress of the tasks of the open occurrences. */
std::vector<jobs::TaskProgress> progressOf(const internal::JobEntry& entry)
{
    std::vector<jobs::TaskProgress> progress;
    for (const auto& [number, occurrence] : entry.open) {
        jobs::TaskPosition position { .occurrence = number };
        for (const auto& step : occurrence.steps) {
            step.tasks.forEachTouched([&](std::uint32_t index, const internal::Task& task) {
                position.index = index;
                if (task.done || !task.failedRuns.empty() || !task.checkpoint.empty()) {
                    progress.push_back(
                        { position, task.done, { task.failedRuns.begin(), task.failedRuns.end() },
                            task.done ? std::string {} : task.checkpoint });
                }
            });
            ++position.step;
        }
    }
    return progress;
}

std::vector<jobs::OccurrenceRange> completedOccurrences(const internal::JobEntry& entry)
{
    std::vector<jobs::OccurrenceRange> ranges;
    for (const auto& interval : entry.completed) {
        ranges.push_back({ boost::icl::first(interval), boost::icl::last(interval) });
    }
    return ranges;
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

PoolScheduler::PoolScheduler(Policy limits, std::uint64_t ownTerm, Moment started,
    const std::vector<UpstreamId>& used, const std::map<UpstreamId, Duration>& leaseLeft)
    : policy(limits)
    , term(ownTerm)
{
    for (const auto& id : used) {
        const auto left = leaseLeft.find(id);
        this->unreconciled.emplace(
            id, started.steady + (left != leaseLeft.end() ? left->second : this->policy.takeoverTimeout));
    }
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
    JobEntry entry { .job = event.job, .state = event.record.state, .mayHaveStarted = event.mayHaveStarted };
    for (const auto& step : event.job.steps) {
        entry.expected.push_back(this->runTimes.expected(event.job.queue, step.estimate));
    }
    entry.due = dueTime(entry);
    auto& added = this->jobEntries.emplace(event.job.id, std::move(entry)).first->second;
    restore(added, event.record, now);
    // Jobs taken over from a previous owner do not count towards the current rate.
    if (!event.mayHaveStarted && event.job.firstDue == kernel::Instant {}) {
        this->arrivals.add(expectedWork(added), now.steady);
    }
    openDueOccurrences(added, now);
    this->schedulingNeeded = true;
}

void PoolScheduler::restore(JobEntry& entry, const jobs::Record& record, Moment now)
{
    const auto last = internal::occurrenceCount(entry.job) - 1;
    for (const auto& range : record.completed) {
        if (range.first <= range.last && range.last <= last) {
            entry.completed.add(boost::icl::interval<std::uint32_t>::closed(range.first, range.last));
        }
    }
    entry.completedCount = static_cast<std::uint32_t>(boost::icl::cardinality(entry.completed));
    for (const auto& progress : record.tasks) {
        const auto& at = progress.position;
        if (at.occurrence > last || boost::icl::contains(entry.completed, at.occurrence)
            || at.step >= entry.job.steps.size() || at.index >= entry.job.steps[at.step].count) {
            continue;
        }
        auto& step = openOccurrence(entry, at.occurrence, now).steps[at.step];
        auto& task = step.tasks.at(at.index);
        task.failedRuns.insert(progress.failedRuns.begin(), progress.failedRuns.end());
        task.checkpoint = progress.checkpoint;
        if (progress.done && !task.done) {
            task.done = true;
            task.phase = Phase::Done;
            countDone(entry, at, now);
            step.tasks.releaseDone();
            closeIfCompleted(entry, at.occurrence);
        }
    }
}

internal::OccurrenceEntry& PoolScheduler::openOccurrence(JobEntry& entry, std::uint32_t number, Moment now)
{
    const auto [found, isNew] = entry.open.try_emplace(number);
    auto& occurrence = found->second;
    if (isNew) {
        Task initial { .unresolved = entry.mayHaveStarted && !this->unreconciled.empty(),
            .notBefore = {},
            .readySince = now.steady };
        for (const auto& step : entry.job.steps) {
            occurrence.steps.push_back({ .tasks = { step.count, initial } });
            occurrence.tasksLeft += step.count;
        }
        entry.completedCount += occurrence.tasksLeft == 0 ? 1 : 0;
        ++entry.waitingOccurrences;
        markDirty(entry.job.id, number);
    }
    return occurrence;
}

void PoolScheduler::openDueOccurrences(JobEntry& entry, Moment now)
{
    cancelOpening(entry);
    const auto count = internal::occurrenceCount(entry.job);
    const bool hasTasks
        = std::ranges::any_of(entry.job.steps, [](const jobs::Step& step) { return step.count > 0; });
    while (!jobs::isFinal(entry.state) && entry.nextOccurrence < count) {
        const auto next = entry.nextOccurrence;
        if (!entry.open.contains(next) && !boost::icl::contains(entry.completed, next)) {
            const auto begin = internal::beginOf(entry.job, next);
            if (begin > now.wall) {
                entry.nextDue = begin;
                this->wallWakes.emplace(begin, StepId { entry.job.id, next, openingStep });
                return;
            }
            // It is opened once the tasks of another occurrence have started.
            const auto waitingSteps = (entry.waitingOccurrences + 1) * entry.job.steps.size();
            if (entry.waitingOccurrences > 0 && waitingSteps > this->policy.maxWaitingStepsPerJob) {
                return;
            }
            if (hasTasks) {
                openOccurrence(entry, next, now);
            } else {
                // Nothing limits how many of these end at once, so they are not opened.
                entry.completed.add(next);
                ++entry.completedCount;
            }
        }
        ++entry.nextOccurrence;
    }
    if (!jobs::isFinal(entry.state) && entry.completedCount == count) {
        finish(entry, JobState::Completed, now, "all tasks are completed");
    }
}

void PoolScheduler::cancelOpening(JobEntry& entry)
{
    if (entry.nextDue) {
        this->wallWakes.erase({ *entry.nextDue, StepId { entry.job.id, entry.nextOccurrence, openingStep } });
        entry.nextDue.reset();
    }
}

void PoolScheduler::openReported(const TaskId& id, Moment now)
{
    const auto found = this->jobEntries.find(id.job);
    const auto number = id.position.occurrence;
    if (found != this->jobEntries.end() && !jobs::isFinal(found->second.state)
        && number < internal::occurrenceCount(found->second.job)
        && !boost::icl::contains(found->second.completed, number)) {
        openOccurrence(found->second, number, now);
    }
}

void PoolScheduler::countDone(JobEntry& entry, const jobs::TaskPosition& position, Moment now)
{
    auto& occurrence = entry.open.at(position.occurrence);
    auto& step = occurrence.steps[position.step];
    ++step.done;
    step.lastDone = now.steady;
    --occurrence.tasksLeft;
    entry.completedCount += occurrence.tasksLeft == 0 ? 1 : 0;
}

void PoolScheduler::closeIfCompleted(JobEntry& entry, std::uint32_t number)
{
    const auto found = entry.open.find(number);
    // Other runs of a task that is done may still be stopping.
    if (found->second.tasksLeft > 0 || std::ranges::any_of(found->second.steps, [](const auto& step) {
            return step.tasks.heldCount() > 0;
        })) {
        return;
    }
    entry.waitingOccurrences -= found->second.hasWaitingTasks ? 1 : 0;
    entry.open.erase(found);
    entry.completed.add(number);
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
    forEachHeldTask(entry, [&](const TaskId& id, Task& task) { stop(id, task, now, "cancelled"); });
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
        if (!wanted.contains(id)) {
            this->reopening.insert_or_assign(id, now.steady);
        }
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
            releaseRestarted(event, now);
            upstream.restartListed = now.steady;
            upstream.formerLeaseEnd = now.steady + this->policy.maxGrantedLease;
        } else if (const auto previous = this->unreconciled.find(event.upstream);
                   previous != this->unreconciled.end()) {
            upstream.formerLeaseEnd = previous->second;
        }
        upstream.born = event.born;
        upstream.lastEndNumber = 0;
        upstream.failedJobs.clear();
    }
    upstream.listed = true;
    upstream.listedAt = event.sent;
    if (const auto ended = this->reopening.find(event.upstream);
        ended != this->reopening.end() && event.sent > ended->second) {
        this->reopening.erase(ended);
    }
    upstream.hasUnknownTasks = false;
    markDirty(event.upstream);
    upstream.lastGrant = now.steady;
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
        resolveUnlisted(event, now);
        markReconciled(event.upstream);
    }
    this->schedulingNeeded = true;
}

void PoolScheduler::applyEnd(const UpstreamId& id, const EndedTask& end, Moment now)
{
    openReported(end.task, now);
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
        auto& tasks = entry->open.at(end.task.position.occurrence).steps[end.task.position.step].tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
            auto& member = tasks.at(index);
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
    openReported(running.task, now);
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
        task->confirmed = now.steady;
        task->resumed = true;
        task->lastProgress = now.steady;
        task->percent = running.percent;
        task->phase = Phase::Running;
        task->stopAnswered.reset();
        attach(running.task, *task);
        markDirty(running.task.job, running.task.position.occurrence);
    }
    task->runsOn = upstream.born;
    task->orderedTo = upstream.born;
    // A start that was not answered and has been carried out needs no stop, unless one may have taken effect.
    const bool wasCarriedOut = task->phase == Phase::Stopping && task->stopsUnansweredStart
        && !task->stopAnswered && !task->done && !jobs::isFinal(entry->state);
    task->unansweredFence.reset();
    if (task->phase == Phase::Starting || wasCarriedOut) {
        setPhase(*task, Phase::Running);
        task->confirmed = now.steady;
        task->lastProgress = now.steady;
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

void PoolScheduler::resolveUnlisted(const TasksListed& event, Moment now)
{
    // A call that was sent in the millisecond of an answer may have been sent before it.
    std::set<TaskId> present;
    for (const auto& running : event.running) {
        present.insert(running.task);
    }
    const auto tasks = this->upstreams[event.upstream].tasks;
    for (const auto& id : tasks) {
        const auto [entry, task] = find(id);
        if (task == nullptr || present.contains(id)) {
            continue;
        }
        if (task->phase == Phase::Running && task->confirmed < event.sent) {
            stop(id, *task, now, "run is not listed any more");
        } else if (task->phase == Phase::Starting
            && event.sent - task->started > this->policy.startAnswerTimeout) {
            stopUnanswered(id, *task, now);
        } else if (task->phase == Phase::Stopping) {
            // By then the lease in the start order has expired, so the upstream rejects the order; but not if
            // it has restarted, since its clock began anew.
            const auto expiry = task->orderedTo == event.born
                ? this->policy.startAnswerTimeout + this->policy.maxLeaseDuration
                : this->policy.maxOrderDelay;
            const bool isRejected = task->started + expiry < event.sent;
            const bool isFenced = task->unansweredFence && *task->unansweredFence < event.fence;
            if ((task->stopAnswered && *task->stopAnswered < event.sent) || isRejected || isFenced) {
                release(id, *task, now);
            } else if (awaitsList(id, *task) && !task->unansweredFence
                && now.steady - event.sent <= this->policy.taskListMaxAge) {
                sendStop(id, *task, now, "start was not answered");
            }
        }
    }
}

void PoolScheduler::on(const StartAnswered& event, Moment now)
{
    const auto [entry, task] = find(event.task);
    if (task == nullptr || task->run != event.run) {
        return;
    }
    const bool isGivenUp = task->phase == Phase::Stopping && task->stopsUnansweredStart;
    if ((task->phase == Phase::Starting || isGivenUp) && event.result == StartResult::Unknown
        && event.fence != 0) {
        task->unansweredFence = event.fence;
    }
    if (task->phase != Phase::Starting) {
        return;
    }
    switch (event.result) {
    case StartResult::Started:
        setPhase(*task, Phase::Running);
        if (!event.restarted) {
            task->runsOn = task->orderedTo;
        }
        task->confirmed = now.steady;
        task->lastProgress = now.steady;
        markRunning(*entry);
        return;
    case StartResult::Unknown:
        this->upstreams[event.upstream].suspectUntil = now.steady + this->policy.refusalRetryDelay;
        markDirty(event.upstream);
        stopUnanswered(event.task, *task, now);
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
    const auto upstream = this->upstreams.find(event.upstream);
    // The present incarnation does not know of a stop that an earlier one has answered.
    const bool isCurrent = upstream == this->upstreams.end() || event.sent >= upstream->second.restartListed;
    if (task != nullptr && task->phase == Phase::Stopping && task->run == event.run && event.answered
        && isCurrent && !task->stopAnswered) {
        task->stopAnswered = now.steady;
    }
}

void PoolScheduler::on(const UpstreamUnresponsive& event, Moment)
{
    auto& upstream = this->upstreams[event.upstream];
    upstream.listed = false;
    upstream.lastGrant = std::max(upstream.lastGrant, event.lastRenewal);
    markDirty(event.upstream);
}

void PoolScheduler::on(const UpstreamReplaced& event, Moment now)
{
    releaseAll(event.upstream, now);
    eraseUpstream(event.upstream);
    markReconciled(event.upstream);
    this->schedulingNeeded = true;
}

void PoolScheduler::on(const UpstreamDown& event, Moment now)
{
    const auto found = this->upstreams.find(event.upstream);
    if (found != this->upstreams.end()) {
        if (found->second.listed) {
            return;
        }
        const auto tasks = found->second.tasks;
        for (const auto& id : tasks) {
            auto& task = *find(id).second;
            // Without an answer, a delayed start may still reach its next incarnation until the lease has
            // expired.
            if (task.phase == Phase::Running || task.stopAnswered) {
                release(id, task, now);
            }
        }
    }
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
        for (auto& [number, occurrence] : entry.open) {
            for (auto& step : occurrence.steps) {
                step.tasks.resolve();
            }
        }
        markDirty(entry);
    }
    this->schedulingNeeded = true;
}

void PoolScheduler::on(const Tick&, Moment now)
{
    checkTaskLists(now);
    // An upstream that answers has ends that it has not listed yet.
    const auto expired = std::erase_if(this->unreconciled, [&](const auto& entry) {
        const auto upstream = this->upstreams.find(entry.first);
        return now.steady > entry.second
            && (upstream == this->upstreams.end()
                || (!upstream->second.listed
                    && now.steady > upstream->second.lastGrant + this->policy.maxLeaseDuration
                    && now.steady > upstream->second.formerLeaseEnd));
    });
    if (expired > 0 && this->unreconciled.empty()) {
        resolveTasks();
    }
    releaseExpired(now);
    // Drops upstreams that are not known any more, once no call from before the end of their drain can be
    // answered.
    std::erase_if(this->reopening, [&](const auto& entry) {
        return now.steady - entry.second > this->policy.taskListTimeout
            && !this->upstreams.contains(entry.first);
    });
    checkStalls(now);
    drainUpstreams(now);
    this->schedulingNeeded = true;
}

Duration PoolScheduler::maxLease(const Upstream& upstream, const Task& task) const
{
    // A restart ends the tasks that ran before it. So a later incarnation can extend only the lease of a task
    // whose start it may have carried out itself.
    return task.runsOn == upstream.born ? this->policy.maxLeaseDuration : this->policy.maxGrantedLease;
}

kernel::Instant PoolScheduler::leaseEnd(const Upstream& upstream, const Task& task) const
{
    return std::max(upstream.lastGrant + maxLease(upstream, task), upstream.formerLeaseEnd);
}

void PoolScheduler::releaseExpired(Moment now)
{
    for (auto& [id, upstream] : this->upstreams) {
        if (upstream.listed || upstream.tasks.empty()
            || now.steady <= upstream.lastGrant + this->policy.maxLeaseDuration) {
            continue;
        }
        std::vector<TaskId> expired;
        for (const auto& task : upstream.tasks) {
            if (now.steady > leaseEnd(upstream, *find(task).second)) {
                expired.push_back(task);
            }
        }
        if (expired.empty()) {
            continue;
        }
        this->expiries.push_back({ id, upstream.born, expired.size(), upstream.tasks.size() - expired.size(),
            now.steady - upstream.listedAt, now.steady - upstream.lastGrant });
        for (const auto& task : expired) {
            release(task, *find(task).second, now);
        }
    }
}

void PoolScheduler::checkTaskLists(Moment now)
{
    for (auto& [id, upstream] : this->upstreams) {
        // Without tasks, the first start that gets no answer shows that it is unresponsive.
        if (upstream.listed && !upstream.tasks.empty()
            && now.steady - upstream.listedAt > this->policy.taskListTimeout) {
            upstream.listed = false;
            // A call without an answer may have renewed the lease until now.
            upstream.lastGrant = now.steady;
            markDirty(id);
        }
    }
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
            if (task->phase == Phase::Stopping && !task->stopAnswered && !awaitsList(id, *task)
                && now.steady - task->stopSent > this->policy.stopRetryInterval) {
                sendStop(id, *task, now, "stop was not answered");
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
        // A long-running task without another place is stopped only if the upstream can be emptied: otherwise
        // the task would wait for a maintenance that does not begin.
        const bool mustStop = drainRequested && !withinTimeout;
        const bool mayLeaveTasksWaiting = mustStop && mayStopAll(upstream, now);
        for (const auto& id : upstream.tasks) {
            const auto [entry, task] = find(id);
            if (task->phase != Phase::Running) {
                continue;
            }
            const auto& step = stepOf(id);
            if (step.longRunning) {
                const bool mayStop = step.maxUnavailable == 0 || draining
                    || countOtherUnavailable(*entry, id, now) < step.maxUnavailable;
                if (mayStop && (mayLeaveTasksWaiting || hasDestination(*entry, id))) {
                    stop(id, *task, now, "upstream is being drained");
                }
            } else if (mustStop) {
                stop(id, *task, now, "upstream is being drained");
            }
        }
    }
}

bool PoolScheduler::mayStopAll(const Upstream& upstream, Moment now) const
{
    return std::ranges::all_of(upstream.tasks, [&](const TaskId& id) {
        const auto& step = stepOf(id);
        if (!step.longRunning || step.maxUnavailable == 0) {
            return true;
        }
        const auto& entry = this->jobEntries.at(id.job);
        const auto& tasks = entry.open.at(id.position.occurrence).steps[id.position.step].tasks;
        auto unavailable = tasks.size();
        tasks.forEachHeld([&](std::uint32_t index, const Task& task) {
            const TaskId other { id.job, { id.position.occurrence, id.position.step, index } };
            unavailable -= !upstream.tasks.contains(other) && !isUnavailable(task, now) ? 1 : 0;
        });
        return unavailable <= step.maxUnavailable;
    });
}

bool PoolScheduler::hasDestination(const JobEntry& entry, const TaskId& id) const
{
    const auto& step = entry.job.steps[id.position.step];
    const auto& tasks = entry.open.at(id.position.occurrence).steps[id.position.step].tasks;
    auto unplaced = tasks.waitingCount();
    tasks.forEachHeld(
        [&](std::uint32_t, const Task& task) { unplaced += task.phase == Phase::Stopping ? 1 : 0; });
    std::size_t places = 0;
    for (const auto& [other, upstream] : this->upstreams) {
        if (!mayHost(other, upstream, step)) {
            continue;
        }
        if (step.maxPerUpstream == 0) {
            return true;
        }
        const auto count = countOfStep(upstream, { id.job, id.position.occurrence, id.position.step });
        places += step.maxPerUpstream - std::min(count, step.maxPerUpstream);
    }
    return places > unplaced;
}

bool PoolScheduler::mayHost(const UpstreamId& id, const Upstream& upstream, const jobs::Step& step) const
{
    if (!hasCurrentFacts(upstream) || !upstream.member || !upstream.listed || upstream.facts->draining
        || this->drains.contains(id) || this->reopening.contains(id)) {
        return false;
    }
    const auto& capacity = upstream.facts->capacity;
    const auto& labels = upstream.facts->labels;
    return internal::requiredCpu(step) <= capacity.cpu && step.resources.memory <= capacity.memory
        && step.resources.accelerators <= capacity.accelerators
        && (step.label.empty() || std::ranges::find(labels, step.label) != labels.end());
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
    const auto& tasks = entry.open.at(id.position.occurrence).steps[id.position.step].tasks;
    auto unavailable = tasks.size() - 1;
    tasks.forEachHeld([&](std::uint32_t index, const Task& task) {
        unavailable -= index != id.position.index && !isUnavailable(task, now) ? 1 : 0;
    });
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
    countDone(entry, id.position, now);
    markDirty(id.job, id.position.occurrence);
    if (const auto upstream = this->upstreams.find(task.upstream); upstream != this->upstreams.end()) {
        upstream->second.failedJobs.clear();
        upstream->second.suspectCount = 0;
    }
    if (entry.completedCount == internal::occurrenceCount(entry.job)) {
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
    forEachHeldTask(entry, [&](const TaskId& id, Task& task) { stop(id, task, now, reason); });
    markDirty(entry);
    markChanged(entry.job.id, true);
}

void PoolScheduler::markSuspect(const UpstreamId& id, Moment now)
{
    auto& upstream = this->upstreams[id];
    if (upstream.suspectUntil > now.steady) {
        return;
    }
    if (!admitsSuspect(now)) {
        upstream.suspectUntil = now.steady + this->policy.refusalRetryDelay;
        upstream.failedJobs.clear();
        markDirty(id);
        return;
    }
    const auto doublings = std::min(upstream.suspectCount, maxDoublings);
    upstream.suspectUntil = now.steady + this->policy.suspectDuration * (std::int64_t { 1 } << doublings);
    ++upstream.suspectCount;
    upstream.failedJobs.clear();
    markDirty(id);
}

bool PoolScheduler::admitsSuspect(Moment now) const
{
    std::size_t members = 0;
    std::size_t suspects = 0;
    for (const auto& [id, upstream] : this->upstreams) {
        members += upstream.member ? 1 : 0;
        suspects += upstream.member && upstream.suspectUntil > now.steady ? 1 : 0;
    }
    return (suspects + 1) * 100 <= members * this->policy.maxSuspectPercent;
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
    task.unansweredFence.reset();
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
    if (task.phase != Phase::Starting && task.phase != Phase::Running && !awaitsList(id, task)) {
        return;
    }
    setPhase(task, Phase::Stopping);
    task.stopsUnansweredStart = false;
    task.stopAnswered.reset();
    sendStop(id, task, now, reason);
}

void PoolScheduler::sendStop(const TaskId& id, Task& task, Moment now, std::string_view reason)
{
    task.stopSent = now.steady;
    this->orders.push_back(StopTask { task.upstream, id, task.run, std::string { reason } });
}

void PoolScheduler::stopUnanswered(const TaskId& id, Task& task, Moment now)
{
    setPhase(task, Phase::Stopping);
    task.stopsUnansweredStart = true;
    task.stopAnswered.reset();
    if (!awaitsList(id, task)) {
        sendStop(id, task, now, "start was not answered");
    }
}

bool PoolScheduler::awaitsList(const TaskId& id, const Task& task) const
{
    return task.phase == Phase::Stopping && task.stopsUnansweredStart && !task.stopAnswered
        && stepOf(id).maxUnavailable > 0;
}

void PoolScheduler::stopUnexpected(
    const UpstreamId& upstream, const TaskId& id, jobs::Run run, std::string_view reason)
{
    this->orders.push_back(StopTask { upstream, id, run, std::string { reason } });
}

void PoolScheduler::releaseAll(const UpstreamId& id, Moment now)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end()) {
        return;
    }
    const auto tasks = found->second.tasks;
    for (const auto& taskId : tasks) {
        release(taskId, *find(taskId).second, now);
    }
}

void PoolScheduler::releaseRestarted(const TasksListed& event, Moment now)
{
    const auto tasks = this->upstreams[event.upstream].tasks;
    for (const auto& id : tasks) {
        auto& task = *find(id).second;
        constexpr auto reason = "start on an earlier incarnation was not answered";
        if (task.phase == Phase::Starting && stepOf(id).maxUnavailable > 0) {
            stopUnanswered(id, task, now);
        } else if (task.phase == Phase::Starting) {
            // The new incarnation may still carry out a delayed start until it has answered a stop.
            stop(id, task, now, reason);
        } else if (task.phase == Phase::Stopping && !task.runsOn) {
            // The same, and only the earlier incarnation may have answered a stop.
            task.stopAnswered.reset();
            if (!awaitsList(id, task)) {
                sendStop(id, task, now, reason);
            }
        } else if (task.confirmed < event.sent) {
            // The run ended with the earlier incarnation, unless the list shows that the new one has started
            // it.
            release(id, task, now);
        }
    }
}

void PoolScheduler::release(const TaskId& id, Task& task, Moment now)
{
    detach(id, task);
    requeue(id, task, now);
    eraseIfEnded(id.job);
}

void PoolScheduler::eraseIfEnded(const jobs::JobId& job)
{
    const auto found = this->jobEntries.find(job);
    ++this->jobsExamined;
    if (found == this->jobEntries.end() || !jobs::isFinal(found->second.state) || !found->second.written
        || found->second.activeTasks > 0) {
        return;
    }
    for (auto& [number, occurrence] : found->second.open) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            setWaiting(occurrence.steps[step], std::nullopt);
            setWakes({ found->first, number, step }, occurrence.steps[step], std::nullopt, std::nullopt);
        }
    }
    cancelOpening(found->second);
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
        const auto& entry = found->second;
        const bool ended = jobs::isFinal(entry.state);
        changes.push_back({ id,
            { entry.state, ended ? std::vector<jobs::TaskProgress> {} : progressOf(entry), entry.finished,
                ended ? std::vector<jobs::OccurrenceRange> {} : completedOccurrences(entry) } });
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

Footprint PoolScheduler::footprint() const
{
    std::size_t steps = 0;
    std::size_t tasks = 0;
    for (const auto& [id, entry] : this->jobEntries) {
        for (const auto& [number, occurrence] : entry.open) {
            steps += occurrence.steps.size();
            for (const auto& step : occurrence.steps) {
                tasks += step.tasks.heldCount();
            }
        }
    }
    return { steps, tasks };
}

bool PoolScheduler::isDrained(const UpstreamId& upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return this->drains.contains(upstream) && !this->unreconciled.contains(upstream)
        && (found == this->upstreams.end() || found->second.tasks.empty());
}

std::vector<UpstreamId> PoolScheduler::unreconciledUpstreams() const
{
    std::vector<UpstreamId> ids;
    for (const auto& [id, expiry] : this->unreconciled) {
        ids.push_back(id);
    }
    return ids;
}

std::vector<UpstreamId> PoolScheduler::unheardUpstreams() const
{
    std::vector<UpstreamId> ids;
    for (const auto& [id, expiry] : this->unreconciled) {
        const auto upstream = this->upstreams.find(id);
        if (upstream == this->upstreams.end() || !upstream->second.listed) {
            ids.push_back(id);
        }
    }
    for (const auto& [id, upstream] : this->upstreams) {
        if (!upstream.listed && !upstream.tasks.empty() && !this->unreconciled.contains(id)) {
            ids.push_back(id);
        }
    }
    return ids;
}

Duration PoolScheduler::leaseLeft(const UpstreamId& id, kernel::Instant lastRenewal, Moment now) const
{
    auto end = std::max(now.steady, lastRenewal + this->policy.maxLeaseDuration);
    const auto upstream = this->upstreams.find(id);
    if (upstream != this->upstreams.end()) {
        const auto lastGrant = std::max(upstream->second.lastGrant, lastRenewal);
        end = std::max({ end, lastGrant + this->policy.maxLeaseDuration, upstream->second.formerLeaseEnd });
        for (const auto& task : upstream->second.tasks) {
            end = std::max(end, lastGrant + maxLease(upstream->second, taskAt(task)));
        }
    }
    const auto previous = this->unreconciled.find(id);
    if (previous != this->unreconciled.end()) {
        end = std::max(end, previous->second);
    }
    return std::max(Duration {}, end - now.steady);
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
    if (found == this->jobEntries.end()) {
        return { nullptr, nullptr };
    }
    const auto open = found->second.open.find(id.position.occurrence);
    if (open == found->second.open.end() || id.position.step >= open->second.steps.size()
        || id.position.index >= open->second.steps[id.position.step].tasks.size()) {
        return { nullptr, nullptr };
    }
    return { &found->second, &open->second.steps[id.position.step].tasks.at(id.position.index) };
}

const internal::Task& PoolScheduler::taskAt(const TaskId& id) const
{
    const auto& occurrence = this->jobEntries.at(id.job).open.at(id.position.occurrence);
    return occurrence.steps[id.position.step].tasks.peek(id.position.index);
}

const jobs::Step& PoolScheduler::stepOf(const TaskId& id) const
{
    return this->jobEntries.at(id.job).job.steps[id.position.step];
}

} // namespace wasabiroad::scheduling
