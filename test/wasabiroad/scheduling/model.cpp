#include "wasabiroad/scheduling/model.hpp"

#include "wasabiroad/scheduling/fixture.hpp"

#include <algorithm>
#include <utility>

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
/** Longest lease that an upstream grants, and its duration on the clock of the owner. */
constexpr std::int64_t longestLease = 6000;
constexpr std::int64_t maxLongestLease = longestLease + longestLease * 2 / 100;
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
constexpr std::size_t longRunningJobs = 2;
constexpr std::int64_t longRunningStartup = 300;
/** Time after the start of an upstream in which the directory gives the facts of its earlier incarnation. */
constexpr std::int64_t registrationDelay = 600;
/** Time from the last fault to the check that everything runs; exceeds the sum of the scheduler's time-outs.
 */
constexpr std::int64_t settleTime = 60000;

const Policy policy { .maxLeaseDuration = { maxLease + leaseMargin },
    .maxGrantedLease = { maxLongestLease + leaseMargin + callTimeout },
    .takeoverTimeout = { std::max(
        maxLease + leaseMargin + previousOwnerActiveTime, maxLongestLease + leaseMargin + callTimeout) },
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
    for (std::size_t index = 0; index < longRunningJobs; ++index) {
        addLongRunningJob();
    }
    replaceOwner();
    while (this->now < duration && !this->violation) {
        advance();
        if (chance(30)) {
            addJob();
        }
        if (chance(4)) {
            cancelRandomJob();
        }
        injectFaults();
    }
    endFaults();
    while (!this->violation) {
        advance();
        const auto stalled = findStalled();
        if (!stalled) {
            break;
        }
        if (this->now > duration + settleTime) {
            reportViolation(*stalled);
        }
    }
    return this->violation;
}

void Model::advance()
{
    this->now += timeStep;
    runScheduledActions();
    advanceUpstreams();
    for (const auto& owner : this->owners) {
        if (this->now % tickInterval == 0 && owner->pausedUntil <= this->now) {
            listMembers(owner);
            applyEvent(owner, Tick {});
        }
        writeRecords(owner);
    }
    std::erase_if(this->owners, [&](const auto& owner) {
        return owner->terminated || (owner != this->owners.back() && owner->activeUntil < this->now);
    });
    if (this->owners.empty()) {
        replaceOwner();
    }
}

void Model::injectFaults()
{
    if (chance(this->faults.ownerChanges)) {
        replaceOwner();
    }
    const auto begin = [&](std::int64_t& until, unsigned perThousand) {
        if (until <= this->now && chance(perThousand)) {
            until = this->now + timeStep * between(25, 300);
        }
    };
    auto& owner = *this->owners.back();
    begin(owner.pausedUntil, this->faults.pauses);
    begin(owner.heldUntil, this->faults.holds);
    // After a pause, an owner starts nothing before it has handled the events that it missed.
    owner.heldUntil = std::max(owner.heldUntil, owner.pausedUntil + timeStep);
    for (auto& upstream : this->upstreams) {
        begin(upstream.drainedUntil, this->faults.drains);
        begin(upstream.shutdownUntil, this->faults.shutdowns);
        begin(upstream.absentUntil, this->faults.departures);
        if (chance(this->faults.vanishedRuns) && !upstream.running.empty()) {
            upstream.stopping.erase(upstream.running.begin()->first);
            upstream.running.erase(upstream.running.begin());
        }
    }
}

void Model::endFaults()
{
    this->faulty = false;
    for (auto& upstream : this->upstreams) {
        upstream.partitionedUntil = 0;
        upstream.drainedUntil = 0;
        upstream.shutdownUntil = 0;
        upstream.absentUntil = 0;
        for (auto& [task, running] : upstream.running) {
            running.hangs = false;
        }
    }
}

std::optional<std::string> Model::findStalled() const
{
    for (const auto& [id, job] : this->jobs) {
        if (jobs::isFinal(this->records.at(id).state)) {
            continue;
        }
        if (!job.steps.front().longRunning) {
            return id.text() + " did not end";
        }
        for (std::uint32_t index = 0; index < job.steps.front().count; ++index) {
            const TaskId task { id, { 0, 0, index } };
            if (std::ranges::none_of(this->upstreams,
                    [&](const Upstream& upstream) { return upstream.running.contains(task); })) {
                return "long-running task does not run: " + jobs::toText(task);
            }
        }
    }
    return std::nullopt;
}

void Model::addLongRunningJob()
{
    const jobs::Step step { .count = upstreamCount,
        .resources = { 200, 100, 0 },
        .estimate = { 500 },
        .maxPerUpstream = static_cast<std::uint32_t>(between(0, 2)),
        .longRunning = true,
        .maxUnavailable = static_cast<std::uint32_t>(between(0, 2)) };
    publishJob(makeJob("job" + std::to_string(this->jobs.size()), { step }, 4));
}

void Model::addJob()
{
    const jobs::JobId id { "job" + std::to_string(this->jobs.size()) };
    // Draws are separate statements: the order in which arguments are evaluated differs between compilers.
    const auto cpu = between(500, 1500);
    const auto count = static_cast<std::uint32_t>(between(1, 4));
    std::vector<jobs::Step> steps { makeStep(count, cpu) };
    if (chance(500)) {
        steps.push_back({ .count = 2, .resources = { 700, 100, 0 }, .estimate = { 400 }, .after = { 0 } });
    }
    const bool periodic = chance(150);
    if (periodic) {
        const auto interval = kernel::Duration { between(0, 600) };
        const auto firstDue = moment().wall + kernel::Duration { between(0, 1500) };
        const auto occurrences = static_cast<std::uint32_t>(between(2, 4));
        publishJob(makePeriodicJob(id.text(), steps, occurrences, firstDue, interval));
    } else {
        publishJob(makeJob(id.text(), steps, 4));
    }
}

void Model::publishJob(const jobs::Job& job)
{
    const auto id = job.id;
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
        if (jobs::isFinal(record.state) || this->jobs.at(known).steps.front().longRunning || !chance(200)) {
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
    for (const auto& upstream : this->upstreams) {
        used.push_back(upstream.facts.id);
    }
    const auto owner
        = std::make_shared<Owner>(Owner { PoolScheduler { policy, this->term, moment(), used }, this->term });
    this->owners.push_back(owner);
    for (const auto& [id, record] : this->records) {
        if (!jobs::isFinal(record.state)) {
            applyEvent(owner, JobAdded { this->jobs.at(id), record, true });
        }
    }
    listMembers(owner);
    for (const auto& id : used) {
        poll(owner, id);
    }
}

void Model::listMembers(const OwnerPointer& owner)
{
    std::vector<UpstreamFacts> members;
    std::vector<Drain> drains;
    for (const auto& upstream : this->upstreams) {
        const auto& facts = upstream.facts;
        if (upstream.absentUntil <= this->now) {
            members.push_back({ .id = facts.id,
                .service = facts.service,
                .address = facts.address,
                .zone = facts.zone,
                .rack = facts.rack,
                .labels = facts.labels,
                .capacity = facts.capacity,
                .draining = upstream.shutdownUntil > this->now,
                .born
                = { upstream.born + registrationDelay <= this->now ? upstream.born : upstream.formerBorn } });
        }
        if (upstream.drainedUntil > this->now) {
            drains.push_back({ facts.id, upstream.drainedUntil / timeStep % 2 == 0 });
        }
    }
    applyEvent(owner, MembersListed { members });
    if (drains != owner->drains) {
        owner->drains.swap(drains);
        applyEvent(owner, DrainsChanged { owner->drains });
    }
}

void Model::applyEvent(const OwnerPointer& owner, const Event& event)
{
    if (owner->pausedUntil > this->now || !owner->missed.empty()) {
        // Events reach an owner in order, also those that arrive as its pause ends.
        if (owner->missed.empty()) {
            after(owner->pausedUntil - this->now, [this, owner] { applyMissed(owner); });
        }
        owner->missed.push_back(event);
        return;
    }
    handle(owner, event);
}

void Model::applyMissed(const OwnerPointer& owner)
{
    if (owner->pausedUntil > this->now) {
        after(owner->pausedUntil - this->now, [this, owner] { applyMissed(owner); });
        return;
    }
    for (const auto& event : std::exchange(owner->missed, {})) {
        handle(owner, event);
    }
}

void Model::handle(const OwnerPointer& owner, const Event& event)
{
    if (owner->terminated) {
        return;
    }
    owner->scheduler.setActive(owner == this->owners.back() && owner->heldUntil <= this->now);
    for (const auto& order : owner->scheduler.apply(event, moment())) {
        send(owner, order);
    }
}

void Model::raiseFence(const OwnerPointer& owner, const UpstreamId& id)
{
    // Like revisions of the store, tokens and terms come from one counter.
    if (owner == this->owners.back()) {
        owner->fences[id] = ++this->term;
    }
}

void Model::send(const OwnerPointer& owner, const Order& order)
{
    if (fails(this->faults.droppedOrders)) {
        return;
    }
    if (const auto* const start = std::get_if<StartTask>(&order)) {
        sendStart(owner, *start);
    } else if (const auto* const stop = std::get_if<StopTask>(&order)) {
        sendStop(owner, *stop);
    }
}

void Model::sendStart(const OwnerPointer& owner, const StartTask& order)
{
    const auto until = this->now + maxLease;
    const auto incarnation = owner->clockOf[order.upstream];
    const auto fence = owner->fenceOf(order.upstream);
    const auto answer = [this, owner, order, incarnation, fence](
                            std::int64_t delay, StartResult result, bool restarted = false) {
        after(delay, [this, owner, order, incarnation, fence, result, restarted] {
            if (restarted && owner->clockOf[order.upstream] == incarnation) {
                raiseFence(owner, order.upstream);
                owner->unresponsive.insert(order.upstream);
                applyEvent(owner, UpstreamUnresponsive { order.upstream });
            }
            if (result == StartResult::Unknown) {
                raiseFence(owner, order.upstream);
            }
            applyEvent(
                owner, StartAnswered { order.upstream, order.task, order.run, result, restarted, fence });
        });
    };
    const bool partitioned = at(order.upstream).partitionedUntil > this->now;
    if (partitioned || fails(this->faults.lostCalls)) {
        answer(callTimeout, StartResult::Unknown);
        return;
    }
    const bool late = fails(this->faults.lateOrders);
    const bool lost = late || fails(this->faults.lostAnswers);
    const auto delay = late ? between(2000, 12000) : between(1, 60);
    after(delay, [this, order, until, incarnation, fence, lost, answer] {
        auto& upstream = at(order.upstream);
        if (!upstream.up) {
            lost ? void() : answer(callTimeout, StartResult::Unknown);
            return;
        }
        const auto granted = grantedUntil(upstream, until, incarnation);
        const auto result = start(upstream, order, fence, granted);
        lost ? void() : answer(between(1, 60), result, upstream.born != incarnation);
    });
    if (lost) {
        answer(callTimeout, StartResult::Unknown);
    }
}

void Model::sendStop(const OwnerPointer& owner, const StopTask& order)
{
    const kernel::Instant sent { this->now };
    const auto answer = [this, owner, order, sent](std::int64_t delay, bool answered) {
        after(delay, [this, owner, order, answered, sent] {
            applyEvent(owner, StopAnswered { order.upstream, order.task, order.run, answered, sent });
        });
    };
    const bool partitioned = at(order.upstream).partitionedUntil > this->now;
    if (partitioned || fails(this->faults.lostCalls)) {
        answer(callTimeout, false);
        return;
    }
    const bool lost = fails(this->faults.lostAnswers);
    const auto fence = owner->fenceOf(order.upstream);
    after(between(1, 60), [this, order, fence, lost, answer] {
        auto& upstream = at(order.upstream);
        const bool stopped = upstream.up && stop(upstream, order, fence);
        answer(stopped && !lost ? between(1, 60) : callTimeout, stopped && !lost);
    });
}

void Model::poll(const OwnerPointer& owner, const UpstreamId& id)
{
    if (owner->terminated) {
        return;
    }
    if (owner->pausedUntil > this->now) {
        after(owner->pausedUntil - this->now, [this, owner, id] { poll(owner, id); });
        return;
    }
    if (at(id).absentUntil > this->now && !owner->scheduler.hasTasks(id)
        && !owner->scheduler.isUnreconciled(id)) {
        applyEvent(owner, UpstreamUnresponsive { id });
        owner->unresponsive.insert(id);
        after(tickInterval, [this, owner, id] { poll(owner, id); });
        return;
    }
    const auto sent = this->now;
    const auto incarnation = owner->clockOf[id];
    // Polls of an unresponsive upstream do not renew its lease, so that the lease can expire.
    const auto fence = owner->fenceOf(id);
    const bool renews = !owner->unresponsive.contains(id) && incarnation != 0;
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
    if (at(id).listsLostUntil > this->now) {
        after(at(id).listsLostUntil - this->now, reportUnresponsive);
        return;
    }
    if (at(id).partitionedUntil > this->now || fails(this->faults.lostCalls)) {
        reportUnresponsive();
        return;
    }
    after(between(1, 60), [this, owner, id, sent, incarnation, fence, renews, reportUnresponsive] {
        auto& upstream = at(id);
        if (!upstream.up) {
            reportUnresponsive();
            return;
        }
        if (fence < upstream.highestTerm) {
            if (fence < owner->fenceOf(id)) {
                reportUnresponsive();
            } else {
                owner->terminated = true;
            }
            return;
        }
        upstream.highestTerm = fence;
        if (renews) {
            upstream.leaseEnd
                = std::max(upstream.leaseEnd, grantedUntil(upstream, sent + maxLease, incarnation));
        }
        const auto& [incarnation, number] = owner->acknowledged[id];
        if (incarnation == upstream.born) {
            checkAcknowledged(upstream, number);
            upstream.ends.erase(upstream.ends.begin(), upstream.ends.upper_bound(number));
        }
        std::vector<RunningTask> running;
        // Progress changes with each list unless the task hangs.
        for (const auto& [task, state] : upstream.running) {
            const bool longRunning = this->jobs.at(task.job).steps[task.position.step].longRunning;
            const auto percent = longRunning && this->now - state.started > longRunningStartup
                ? 100
                : this->now / timeStep % 97;
            running.push_back({ task, state.run, "", state.hangs ? 5 : percent });
        }
        std::vector<EndedTask> ended;
        for (const auto& [endNumber, end] : upstream.ends) {
            if (ended.size() < this->faults.endsPerList) {
                ended.push_back(end.ended);
            }
        }
        const bool moreEnds = ended.size() >= this->faults.endsPerList;
        const TasksListed listed { id, { upstream.born }, { sent }, running, ended, moreEnds, fence };
        if (fails(this->faults.lostAnswers)) {
            reportUnresponsive();
            return;
        }
        after(between(1, 60), [this, owner, id, listed] {
            owner->unresponsive.erase(id);
            const auto known = std::exchange(owner->clockOf[id], listed.born.milliseconds);
            if (known != 0 && known != listed.born.milliseconds) {
                raiseFence(owner, id);
            }
            applyEvent(owner, listed);
            after(between(50, 400), [this, owner, id] { poll(owner, id); });
        });
    });
}

void Model::writeRecords(const OwnerPointer& owner)
{
    if (owner->terminated || owner->pausedUntil > this->now
        || (!owner->scheduler.hasChange() && chance(700))) {
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

std::int64_t Model::grantedUntil(const Upstream& upstream, std::int64_t until, std::int64_t incarnation) const
{
    // The clock of a later incarnation began anew, so the end of the lease lies far ahead there.
    return upstream.born == incarnation ? until : this->now + maxLongestLease;
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
    const bool longRunning = this->jobs.at(order.task.job).steps[order.task.position.step].longRunning;
    upstream.running[order.task]
        = { order.run, this->now, this->now + (longRunning ? between(500, 40000) : between(200, 1500)),
              longRunning || chance(60), fails(longRunning ? 0 : 5) };
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
        if (progress.position == order.task.position && progress.failedRuns.size() >= job.maxAttempts
            && !declared.longRunning) {
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
    if (fails(this->faults.rejectedStops)) {
        return false;
    }
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
                upstream.formerBorn = std::exchange(upstream.born, this->now);
            }
            continue;
        }
        if (fails(this->faults.crashes)) {
            crash(upstream);
            continue;
        }
        // Rows without this fault draw no number for it, so that their seeds play as before.
        if (this->faults.unnoticedRestarts > 0 && upstream.listsLostUntil <= this->now
            && fails(this->faults.unnoticedRestarts)) {
            restartUnnoticed(upstream);
            continue;
        }
        if (fails(this->faults.partitions)) {
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
            const bool longRunning = this->jobs.at(task.job).steps[task.position.step].longRunning;
            if (upstream.leaseEnd <= this->now) {
                end(upstream, task, EndKind::LeaseExpired);
            } else if (stopping != upstream.stopping.end() && stopping->second <= this->now) {
                end(upstream, task, EndKind::Stopped);
            } else if (state.ends <= this->now && !state.hangs && (this->faulty || !longRunning)) {
                end(upstream, task, state.fails ? EndKind::Failed : EndKind::Done);
            }
        }
    }
}

void Model::restartUnnoticed(Upstream& upstream)
{
    crash(upstream);
    upstream.restartTime = this->now + between(20, 600);
    upstream.listsLostUntil = upstream.restartTime + between(500, 1800);
    if (chance(500)) {
        const auto delay = upstream.listsLostUntil - this->now - between(0, 600);
        after(delay,
            [this, id = upstream.facts.id] { at(id).partitionedUntil = this->now + between(1000, 9000); });
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
