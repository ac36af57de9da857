#include "wasabiroad/scheduling/model.hpp"

#include "wasabiroad/scheduling/fixture.hpp"

#include <algorithm>

namespace wasabiroad::scheduling::test {

using jobs::JobState;
using jobs::TaskId;

namespace {

constexpr std::int64_t timeStep = 20;
constexpr std::int64_t duration = 20000;
constexpr std::int64_t tickInterval = 200;
constexpr std::int64_t lease = 4000;
/** Longest duration of a lease on the clock of the owner, as the clock of an upstream may be 2% slow. */
constexpr std::int64_t maxLease = lease + lease * 2 / 100;
/** Margin of the policy over the longest lease. */
constexpr std::int64_t leaseMargin = 400;
constexpr std::int64_t previousOwnerActiveTime = 3000;
constexpr std::int64_t callTimeout = 800;
constexpr std::int64_t stopTime = 300;
constexpr std::int64_t cancelLimit = 3000;
/** A start order sent before a completion was recorded may still arrive within this time. */
constexpr std::int64_t startToleranceAfterRecord = 1000;
constexpr std::size_t upstreamCount = 3;
constexpr std::int64_t upstreamCpu = 3000;

const Policy policy { .maxLeaseDuration = { maxLease + leaseMargin },
    .takeoverTimeout = { maxLease + leaseMargin + previousOwnerActiveTime },
    .maxWaitingStepsPerJob = 1 };

} // namespace

Model::Model(std::uint64_t seed, Faults modelFaults)
    : faults(modelFaults)
    , random(seed)
{
    for (std::size_t index = 0; index < upstreamCount; ++index) {
        this->upstreams.push_back(
            Upstream { .facts = makeUpstream("u" + std::to_string(index), upstreamCpu) });
    }
}

bool Model::chance(unsigned perThousand) { return this->random(1000) < perThousand; }

std::int64_t Model::between(std::int64_t least, std::int64_t most)
{
    return least + static_cast<std::int64_t>(this->random(static_cast<std::uint32_t>(most - least + 1)));
}

Moment Model::moment() const { return test::at(this->now); }

void Model::after(std::int64_t delay, std::function<void()> action)
{
    this->scheduledActions.emplace(this->now + delay, std::move(action));
}

void Model::runScheduledActions()
{
    while (!this->scheduledActions.empty() && this->scheduledActions.begin()->first <= this->now) {
        const auto action = std::move(this->scheduledActions.begin()->second);
        this->scheduledActions.erase(this->scheduledActions.begin());
        action();
    }
}

void Model::reportViolation(const std::string& what)
{
    if (!this->violation) {
        this->violation = std::to_string(this->now) + " ms: " + what;
    }
}

std::optional<std::string> Model::run()
{
    replaceOwner();
    while (this->now < duration && !this->violation) {
        this->now += timeStep;
        runScheduledActions();
        advanceUpstreams();
        if (chance(30)) {
            addJob();
        }
        if (chance(4)) {
            cancelRandomJob();
        }
        if (chance(this->faults.ownerChanges)) {
            replaceOwner();
        }
        for (const auto& owner : this->owners) {
            if (this->now % tickInterval == 0) {
                applyEvent(owner, Tick {});
            }
            writeRecords(owner);
        }
        std::erase_if(this->owners, [&](const auto& owner) {
            return owner->terminated || (owner != this->owners.back() && owner->activeUntil < this->now);
        });
    }
    return this->violation;
}

void Model::addJob()
{
    const jobs::JobId id { "job" + std::to_string(this->jobs.size()) };
    std::vector<jobs::Step> steps { makeStep(static_cast<std::uint32_t>(between(1, 4)), between(500, 1500)) };
    if (chance(500)) {
        steps.push_back({ .count = 2, .resources = { 700, 100, 0 }, .estimate = { 400 }, .after = { 0 } });
    }
    const bool periodic = chance(150);
    const auto job = periodic
        ? makePeriodicJob(id.text(), steps, static_cast<std::uint32_t>(between(2, 4)),
            moment().wall + kernel::Duration { between(0, 1500) }, kernel::Duration { between(0, 600) })
        : makeJob(id.text(), steps, 4);
    this->jobs.emplace(id, job);
    this->records.emplace(id, jobs::Record {});
    after(between(1, 100), [this, id] {
        for (const auto& owner : this->owners) {
            if (!this->cancelled.contains(id)) {
                applyEvent(owner, JobAdded { this->jobs.at(id) });
            }
        }
    });
}

void Model::cancelRandomJob()
{
    for (const auto& [known, record] : this->records) {
        if (jobs::isFinal(record.state) || !chance(200)) {
            continue;
        }
        const auto id = known;
        this->records.erase(id);
        this->records.emplace(id, jobs::Record { JobState::Cancelled });
        this->cancelled.emplace(id, this->now);
        after(between(1, 300), [this, id] {
            for (const auto& owner : this->owners) {
                applyEvent(owner, JobCancelled { id });
            }
        });
        return;
    }
}

void Model::replaceOwner()
{
    if (!this->owners.empty()) {
        this->owners.back()->activeUntil = this->faults.previousOwnersStayActive
            ? this->now + between(0, previousOwnerActiveTime)
            : this->now;
        this->owners.back()->terminated = !this->faults.previousOwnersStayActive;
        this->owners.back()->scheduler.setActive(false);
    }
    ++this->term;
    std::vector<UpstreamId> used;
    std::vector<UpstreamFacts> members;
    for (const auto& upstream : this->upstreams) {
        used.push_back(upstream.facts.id);
        members.push_back(upstream.facts);
    }
    const auto owner
        = std::make_shared<Owner>(Owner { PoolScheduler { policy, this->term, moment(), used }, this->term });
    this->owners.push_back(owner);
    for (const auto& [id, record] : this->records) {
        if (!jobs::isFinal(record.state)) {
            applyEvent(owner, JobAdded { this->jobs.at(id), record, true });
        }
    }
    applyEvent(owner, MembersListed { members });
    for (const auto& id : used) {
        poll(owner, id);
    }
}

void Model::applyEvent(const OwnerPointer& owner, const Event& event)
{
    if (owner->terminated) {
        return;
    }
    for (const auto& order : owner->scheduler.apply(event, moment())) {
        send(owner, order);
    }
}

void Model::send(const OwnerPointer& owner, const Order& order)
{
    if (const auto* const start = std::get_if<StartTask>(&order)) {
        sendStart(owner, *start);
    } else if (const auto* const stop = std::get_if<StopTask>(&order)) {
        sendStop(owner, *stop);
    }
}

void Model::sendStart(const OwnerPointer& owner, const StartTask& order)
{
    const auto until = this->now + maxLease;
    const auto answer = [this, owner, order](std::int64_t delay, StartResult result) {
        after(delay, [this, owner, order, result] {
            applyEvent(owner, StartAnswered { order.upstream, order.task, order.run, result });
        });
    };
    const bool partitioned = at(order.upstream).partitionedUntil > this->now;
    if (partitioned || chance(this->faults.lostCalls)) {
        answer(callTimeout, StartResult::Unknown);
        return;
    }
    const bool late = chance(this->faults.lateOrders);
    const bool lost = late || chance(this->faults.lostAnswers);
    const auto delay = late ? between(2000, 12000) : between(1, 60);
    after(delay, [this, owner, order, until, lost, answer] {
        auto& upstream = at(order.upstream);
        if (!upstream.up) {
            lost ? void() : answer(callTimeout, StartResult::Unknown);
            return;
        }
        const auto result = start(upstream, order, owner->term, until);
        lost ? void() : answer(between(1, 60), result);
    });
    if (lost) {
        answer(callTimeout, StartResult::Unknown);
    }
}

void Model::sendStop(const OwnerPointer& owner, const StopTask& order)
{
    const auto answer = [this, owner, order](std::int64_t delay, bool answered) {
        after(delay, [this, owner, order, answered] {
            applyEvent(owner, StopAnswered { order.upstream, order.task, order.run, answered });
        });
    };
    const bool partitioned = at(order.upstream).partitionedUntil > this->now;
    if (partitioned || chance(this->faults.lostCalls)) {
        answer(callTimeout, false);
        return;
    }
    const bool lost = chance(this->faults.lostAnswers);
    after(between(1, 60), [this, owner, order, lost, answer] {
        auto& upstream = at(order.upstream);
        const bool stopped = upstream.up && stop(upstream, order, owner->term);
        answer(stopped && !lost ? between(1, 60) : callTimeout, stopped && !lost);
    });
}

void Model::poll(const OwnerPointer& owner, const UpstreamId& id)
{
    if (owner->terminated) {
        return;
    }
    const auto sent = this->now;
    // Polls of an unresponsive upstream do not renew its lease, so that the lease can expire.
    const bool renews = !owner->unresponsive.contains(id);
    if (renews) {
        owner->lastRenewal[id] = sent;
    }
    const auto reportUnresponsive = [this, owner, id] {
        after(callTimeout, [this, owner, id] {
            owner->unresponsive.insert(id);
            applyEvent(owner, UpstreamUnresponsive { id, { owner->lastRenewal[id] } });
            after(300, [this, owner, id] { poll(owner, id); });
        });
    };
    if (at(id).partitionedUntil > this->now || chance(this->faults.lostCalls)) {
        reportUnresponsive();
        return;
    }
    after(between(1, 60), [this, owner, id, sent, renews, reportUnresponsive] {
        auto& upstream = at(id);
        if (!upstream.up) {
            reportUnresponsive();
            return;
        }
        if (owner->term < upstream.highestTerm) {
            owner->terminated = true;
            return;
        }
        upstream.highestTerm = owner->term;
        if (renews) {
            upstream.leaseEnd = std::max(upstream.leaseEnd, sent + maxLease);
        }
        const auto& [incarnation, number] = owner->acknowledged[id];
        if (incarnation == upstream.born) {
            checkAcknowledged(upstream, number);
            upstream.ends.erase(upstream.ends.begin(), upstream.ends.upper_bound(number));
        }
        std::vector<RunningTask> running;
        // Progress changes with each list unless the task hangs.
        for (const auto& [task, state] : upstream.running) {
            running.push_back({ task, state.run, "", state.hangs ? 5 : this->now / timeStep % 97 });
        }
        std::vector<EndedTask> ended;
        for (const auto& [endNumber, end] : upstream.ends) {
            if (ended.size() < this->faults.endsPerList) {
                ended.push_back(end.ended);
            }
        }
        const bool moreEnds = ended.size() >= this->faults.endsPerList;
        const TasksListed listed { id, { upstream.born }, { sent }, running, ended, moreEnds };
        if (chance(this->faults.lostAnswers)) {
            reportUnresponsive();
            return;
        }
        after(between(1, 60), [this, owner, id, listed] {
            owner->unresponsive.erase(id);
            applyEvent(owner, listed);
            after(between(50, 400), [this, owner, id] { poll(owner, id); });
        });
    });
}

void Model::writeRecords(const OwnerPointer& owner)
{
    if (owner->terminated || (!owner->scheduler.hasChange() && chance(700))) {
        return;
    }
    std::map<UpstreamId, std::pair<std::int64_t, std::uint64_t>> lastEnds;
    for (const auto& upstream : this->upstreams) {
        lastEnds[upstream.facts.id] = { upstream.born, owner->scheduler.lastEndNumber(upstream.facts.id) };
    }
    const auto changes = owner->scheduler.takeChanges();
    if (owner != this->owners.back()) {
        // The store rejects writes of an earlier term.
        return;
    }
    for (const auto& change : changes) {
        const auto found = this->records.find(change.job);
        if (found->second.state == JobState::Cancelled) {
            continue;
        }
        if (change.record.state == JobState::Completed) {
            ++this->completedCount;
            recordCompletion(change.job, { 0, this->jobs.at(change.job).occurrences - 1 });
        }
        for (const auto& range : change.record.completed) {
            recordCompletion(change.job, range);
        }
        this->records.erase(found);
        this->records.emplace(change.job, change.record);
        for (const auto& progress : change.record.tasks) {
            if (progress.done) {
                this->recordedDone.try_emplace({ change.job, progress.position }, this->now);
            }
        }
        owner->scheduler.recordWritten(change.job);
    }
    owner->acknowledged = std::move(lastEnds);
}

void Model::recordCompletion(const jobs::JobId& id, jobs::OccurrenceRange occurrences)
{
    const auto& job = this->jobs.at(id);
    for (auto occurrence = occurrences.first; occurrence <= occurrences.last; ++occurrence) {
        for (std::uint32_t number = 0; number < job.steps.size(); ++number) {
            for (std::uint32_t index = 0; index < job.steps[number].count; ++index) {
                const TaskId task { id, { occurrence, number, index } };
                this->recordedDone.try_emplace(task, this->now);
                if (!this->done.contains(task)) {
                    reportViolation("completion recorded before the end of " + jobs::toText(task));
                }
            }
        }
    }
}

void Model::checkAcknowledged(const Upstream& upstream, std::uint64_t number)
{
    for (const auto& [endNumber, end] : upstream.ends) {
        const auto started = this->lastStart.find(end.ended.task);
        if (endNumber <= number && end.ended.kind == EndKind::Done && !end.leaseExpiredSince
            && started->second > end.time) {
            reportViolation("task started after its acknowledged end: " + jobs::toText(end.ended.task));
        }
    }
}

Model::Upstream& Model::at(const UpstreamId& id)
{
    return *std::ranges::find(
        this->upstreams, id, [](const Upstream& upstream) { return upstream.facts.id; });
}

StartResult Model::start(Upstream& upstream, const StartTask& order, std::uint64_t ofTerm, std::int64_t until)
{
    if (ofTerm < upstream.highestTerm) {
        return StartResult::Refused;
    }
    upstream.highestTerm = ofTerm;
    const auto running = upstream.running.find(order.task);
    if (running != upstream.running.end()) {
        return running->second.run == order.run ? StartResult::Started : StartResult::StaleRun;
    }
    const auto lastEndedRun = upstream.lastEndedRuns.find(order.task);
    if (lastEndedRun != upstream.lastEndedRuns.end() && order.run <= lastEndedRun->second) {
        return StartResult::StaleRun;
    }
    if (until <= this->now) {
        return StartResult::Refused;
    }
    checkStart(upstream, order);
    upstream.leaseEnd = std::max(upstream.leaseEnd, until);
    this->lastStart[order.task] = this->now;
    upstream.running[order.task] = { order.run, this->now + between(200, 1500), chance(60), chance(5) };
    ++this->starts;
    return StartResult::Started;
}

void Model::checkStart(const Upstream& upstream, const StartTask& order)
{
    const auto& job = this->jobs.at(order.task.job);
    const auto& declared = job.steps[order.task.position.step];
    const auto name = jobs::toText(order.task);
    std::int64_t cpu = declared.resources.cpu;
    for (const auto& [task, running] : upstream.running) {
        cpu += this->jobs.at(task.job).steps[task.position.step].resources.cpu;
    }
    if (cpu > upstream.facts.capacity.cpu) {
        reportViolation("capacity exceeded by " + name);
    }
    for (const auto& other : this->upstreams) {
        if (&other != &upstream && other.up && other.running.contains(order.task)) {
            reportViolation("concurrent runs of " + name);
        }
    }
    const auto& record = this->records.at(order.task.job);
    const auto recorded = this->recordedDone.find(order.task);
    if (recorded != this->recordedDone.end() && this->now > recorded->second + startToleranceAfterRecord) {
        reportViolation("start after the recorded completion of " + name);
    }
    for (const auto before : declared.after) {
        for (std::uint32_t index = 0; index < job.steps[before].count; ++index) {
            const jobs::TaskPosition earlier { order.task.position.occurrence, before, index };
            if (!this->done.contains({ order.task.job, earlier })) {
                reportViolation("start before completion of a preceding step of " + name);
            }
        }
    }
    for (const auto& progress : record.tasks) {
        if (progress.position == order.task.position && progress.failedRuns.size() >= job.maxAttempts) {
            reportViolation("too many attempts of " + name);
        }
    }
    const auto begin
        = job.firstDue + job.interval * static_cast<std::int64_t>(order.task.position.occurrence);
    if (moment().wall < begin) {
        reportViolation("start before the scheduled time of " + name);
    }
    const auto cancellation = this->cancelled.find(order.task.job);
    if (this->faults.lateOrders == 0 && cancellation != this->cancelled.end()
        && this->now > cancellation->second + cancelLimit) {
        reportViolation("start after the cancellation of " + name);
    }
}

bool Model::stop(Upstream& upstream, const StopTask& order, std::uint64_t ofTerm)
{
    if (ofTerm < upstream.highestTerm) {
        return false;
    }
    upstream.highestTerm = ofTerm;
    auto& lastEndedRun = upstream.lastEndedRuns[order.task];
    const auto running = upstream.running.find(order.task);
    if (running != upstream.running.end() && running->second.run == order.run) {
        upstream.stopping.try_emplace(order.task, this->now + between(10, stopTime));
    }
    lastEndedRun = std::max(lastEndedRun, order.run);
    return true;
}

void Model::end(Upstream& upstream, const TaskId& task, EndKind kind)
{
    const auto running = upstream.running.at(task);
    upstream.running.erase(task);
    upstream.stopping.erase(task);
    auto& lastEndedRun = upstream.lastEndedRuns[task];
    lastEndedRun = std::max(lastEndedRun, running.run);
    const auto number = upstream.nextEnd++;
    upstream.ends.emplace(number, End { { number, task, running.run, kind, "" }, this->now });
    if (kind == EndKind::Done) {
        this->done.insert(task);
    }
}

void Model::advanceUpstreams()
{
    for (auto& upstream : this->upstreams) {
        if (!upstream.up) {
            if (upstream.restartTime <= this->now) {
                upstream.up = true;
                upstream.born = this->now;
            }
            continue;
        }
        if (chance(this->faults.crashes)) {
            crash(upstream);
            continue;
        }
        if (chance(this->faults.partitions)) {
            upstream.partitionedUntil = this->now + between(1000, 7000);
        }
        if (upstream.leaseEnd <= this->now) {
            for (auto& [number, end] : upstream.ends) {
                end.leaseExpiredSince = true;
            }
        }
        const auto running = upstream.running;
        for (const auto& [task, state] : running) {
            const auto stopping = upstream.stopping.find(task);
            if (upstream.leaseEnd <= this->now) {
                end(upstream, task, EndKind::LeaseExpired);
            } else if (stopping != upstream.stopping.end() && stopping->second <= this->now) {
                end(upstream, task, EndKind::Stopped);
            } else if (state.ends <= this->now && !state.hangs) {
                end(upstream, task, state.fails ? EndKind::Failed : EndKind::Done);
            }
        }
    }
}

void Model::crash(Upstream& upstream)
{
    upstream.up = false;
    upstream.restartTime = this->now + between(500, 6000);
    upstream.highestTerm = 0;
    upstream.running.clear();
    upstream.stopping.clear();
    upstream.lastEndedRuns.clear();
    upstream.ends.clear();
    upstream.nextEnd = 1;
    upstream.leaseEnd = 0;
}

} // namespace wasabiroad::scheduling::test
