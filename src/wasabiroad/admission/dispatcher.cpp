#include "wasabiroad/admission/dispatcher.hpp"

#include "wasabiroad/admission/backoff.hpp"

#include <algorithm>

namespace wasabiroad::admission {

using kernel::ResultCode;

namespace {

/** Attempts of one request, including those that did not start. */
constexpr std::uint32_t maxAttempts = 8;

/** Limits long work to a part of the queue, so that it cannot keep short work out. */
constexpr std::size_t longQueueBound(std::size_t bound) { return std::max<std::size_t>(1, bound * 3 / 4); }

double millisecondsUntil(kernel::Instant later, kernel::Instant now)
{
    return static_cast<double>((later - now).milliseconds);
}

} // namespace

Dispatcher::Dispatcher(std::uint64_t seed)
    : random(seed)
{
}

Dispatcher::Decisions Dispatcher::update(model::RoutingSnapshotPointer newSnapshot, kernel::Instant now)
{
    this->snapshot = std::move(newSnapshot);
    this->slots.update(*this->snapshot);
    this->teams.update(*this->snapshot);
    for (auto& service : this->services) {
        service.inSnapshot = false;
    }
    for (const auto& [id, view] : this->snapshot->services) {
        updateService(view);
    }
    this->users.assign(this->slots.pools(), {});
    for (const auto& [id, view] : this->snapshot->services) {
        updateUsers(view, this->serviceIndices.at(id));
    }
    Decisions decisions;
    runTimers(now, decisions);
    serveAll(now, decisions);
    return decisions;
}

void Dispatcher::updateService(const model::ServiceView& view)
{
    const auto [found, added] = this->serviceIndices.try_emplace(
        view.service.id, static_cast<std::uint32_t>(this->services.size()));
    if (added) {
        this->services.emplace_back();
    }
    auto& service = this->services[found->second];
    service.inSnapshot = true;
    service.pool = this->slots.findOrAddPool(view.service.pool);
    service.queueBound = view.service.queueBound;
    service.retryPercent = view.service.retryPercent;
    for (const auto& operation : view.service.operations) {
        const auto [foundOperation, isNew] = service.operationIndices.try_emplace(
            operation.id, static_cast<std::uint32_t>(service.operations.size()));
        if (isNew) {
            service.operations.emplace_back();
            service.baseline.declare(operation.declared);
        }
        auto& state = service.operations[foundOperation->second];
        state.declaredRunTime = operation.declared;
        state.lanePair = service.queue.lanePairFor({ operation.accelerators, operation.memory });
    }
    service.queue.updateRoutes([&](const Requirement& needs) { return this->slots.route(view, needs); });
    // A pool without VMs may get one when a VM is moved to it, so its requests are queued.
    const bool hasVms = !view.own.empty() || !view.borrowed.empty();
    for (auto& operation : service.operations) {
        operation.neverRunnable = hasVms && service.queue.route(operation.lanePair).empty();
    }
    service.queue.updateShares(this->teams);
}

void Dispatcher::updateUsers(const model::ServiceView& view, std::uint32_t index)
{
    this->users[this->services[index].pool].owners.push_back(index);
    for (const auto& lender : view.service.borrowFrom) {
        const auto pool = this->slots.findOrAddPool(lender);
        if (pool < this->users.size() && pool != this->services[index].pool) {
            this->users[pool].borrowers.push_back(index);
        }
    }
}

Dispatcher::Submission Dispatcher::submit(const model::Request& request, kernel::Instant now)
{
    if (!this->snapshot) {
        return refuseAtOnce(ResultCode::NotConfigured, 0);
    }
    const auto found = this->serviceIndices.find(request.service);
    if (found == this->serviceIndices.end() || !this->services[found->second].inSnapshot) {
        return refuseAtOnce(ResultCode::UnknownService, 0);
    }
    auto& service = this->services[found->second];
    const auto operation = service.operationIndices.find(request.operation);
    if (operation == service.operationIndices.end()) {
        return refuseAtOnce(ResultCode::UnknownOperation, 0);
    }
    if (request.deadline <= now) {
        return refuseAtOnce(ResultCode::DeadlineExceeded, 0);
    }
    auto& state = service.operations[operation->second];
    if (state.neverRunnable) {
        return refuseAtOnce(ResultCode::NeverRunnable, 0, "no VM of the pools meets the requirement");
    }
    if (state.health.refuses(now, state.running)) {
        return refuseAtOnce(ResultCode::OperationSuspended,
            static_cast<double>(state.health.remaining(now).milliseconds),
            "operation fails on several upstreams");
    }
    service.retries.countRequest(now);
    Decisions decisions;
    runTimers(now, decisions);
    const auto index = createRecord(request, found->second, operation->second);
    const auto workClass = this->table[index].workClass;
    if (workClass == WorkClass::Short) {
        this->slots.recordShortArrival(service.pool, now);
    }
    const auto handle = this->table[index].handle;
    const auto wait = expectedWait(service, workClass);
    enqueue(index, Lane::End::Tail);
    serve(found->second, ServePass::All, now, decisions);
    if (this->table.find(handle) && this->table[index].phase == Phase::Queued) {
        shedIfOverloaded(index, wait, now, decisions);
    }
    return { handle, std::move(decisions) };
}

RecordIndex Dispatcher::createRecord(
    const model::Request& request, std::uint32_t service, std::uint32_t operation)
{
    const auto& state = this->services[service].operations[operation];
    const RequestAttributes attributes { service, operation, this->teams.indexOf(request.team),
        request.idempotent, request.deadline,
        request.declared.milliseconds > 0 ? request.declared : state.declaredRunTime };
    const auto index = this->table.create(attributes);
    auto& record = this->table[index];
    record.lanePair = state.lanePair;
    record.estimate = state.runTime.estimate(attributes.declaredRunTime);
    record.workClass
        = classify(queuePolicy(), record.estimate, this->services[service].baseline.longThreshold());
    return index;
}

void Dispatcher::shedIfOverloaded(
    RecordIndex index, double expectedWait, kernel::Instant now, Decisions& decisions)
{
    const auto& record = this->table[index];
    const auto& service = this->services[record.attributes->service];
    const bool full = service.queue.size() > service.queueBound
        || (record.workClass == WorkClass::Long
            && service.queue.size(WorkClass::Long) > longQueueBound(service.queueBound));
    if (full) {
        refuseAndRelease(index, ResultCode::QueueFull, decisions, retryAfter(expectedWait, this->random()));
        return;
    }
    if (expectedWait + record.estimate > millisecondsUntil(record.attributes->deadline, now)) {
        refuseAndRelease(index, ResultCode::DeadlineUnreachable, decisions,
            retryAfter(expectedWait, this->random()), "expected wait exceeds the deadline");
    }
}

Dispatcher::Decisions Dispatcher::finish(Handle handle, Outcome outcome, kernel::Instant now)
{
    const auto found = this->table.find(handle);
    if (!found || this->table[*found].phase != Phase::Running) {
        return {};
    }
    const auto index = *found;
    Decisions decisions;
    const auto pool = this->slots.poolOf(this->table[index].upstream);
    releaseSlot(index);
    recordOutcome(this->table[index], outcome, now);
    endAttempt(index, outcome, now, decisions);
    runTimers(now, decisions);
    servePool(pool, now, decisions);
    return decisions;
}

void Dispatcher::releaseSlot(RecordIndex index)
{
    auto& record = this->table[index];
    auto& service = this->services[record.attributes->service];
    if (record.overrunCandidate) {
        service.overrunCandidates.erase(this->table, index);
        record.overrunCandidate = false;
    }
    --operationOf(record).running;
    service.queue.adjustRunning(record.workClass, -1);
    this->slots.release(record.upstream, record.workClass);
    const auto team = record.attributes->team;
    if (this->teams.release(team)) {
        for (auto& each : this->services) {
            each.queue.setAtShare(team, false);
        }
    }
}

void Dispatcher::recordOutcome(const Record& record, Outcome outcome, kernel::Instant now)
{
    switch (outcome) {
    case Outcome::Succeeded:
        recordAttemptSuccess(record, now);
        return;
    case Outcome::Failed:
    case Outcome::Lost:
        recordAttemptFailure(record, now);
        return;
    case Outcome::NotStarted:
        // Shows nothing about the operation's health: the upstream was full, leaving or unreachable.
        this->slots.recordFailure(record.upstream, now);
        return;
    case Outcome::Abandoned:
        return;
    }
}

void Dispatcher::recordAttemptSuccess(const Record& record, kernel::Instant now)
{
    auto& operation = operationOf(record);
    const auto ran = now - record.grantedAt;
    operation.runTime.observe(ran);
    operation.health.recordSuccess();
    this->services[record.attributes->service].baseline.observe(ran);
    this->slots.recordSuccess(record.upstream, now);
}

void Dispatcher::recordAttemptFailure(const Record& record, kernel::Instant now)
{
    auto& health = operationOf(record).health;
    if (!health.recordFailure(record.upstream, now)) {
        this->slots.recordFailure(record.upstream, now);
        return;
    }
    // An upstream that has succeeded since the operation began to fail did so with another operation.
    const auto upstreamsServingOthers = std::ranges::count_if(health.failedUpstreams(), [&](auto upstream) {
        const auto last = this->slots.lastSuccess(upstream);
        return last && *last >= *health.failingSince();
    });
    if (static_cast<std::size_t>(upstreamsServingOthers) >= routing::minFailedUpstreams) {
        health.suspend(now);
    }
}

void Dispatcher::endAttempt(RecordIndex index, Outcome outcome, kernel::Instant now, Decisions& decisions)
{
    auto& record = this->table[index];
    ++record.attempts;
    switch (outcome) {
    case Outcome::Succeeded:
    case Outcome::Failed:
    case Outcome::Abandoned:
        this->table.release(index);
        return;
    case Outcome::NotStarted:
        // Nothing ran, so the retry adds no work to the upstreams and is not charged to the retry budget; the
        // backoff and the maximum number of attempts bound it.
        retry(index, ResultCode::NoUpstream, now, decisions);
        return;
    case Outcome::Lost:
        endLostAttempt(index, now, decisions);
        return;
    }
}

void Dispatcher::endLostAttempt(RecordIndex index, kernel::Instant now, Decisions& decisions)
{
    auto& record = this->table[index];
    auto& service = this->services[record.attributes->service];
    record.mayHaveRun = true;
    if (!record.attributes->idempotent) {
        refuseAndRelease(index, ResultCode::OutcomeUnknown, decisions);
    } else if (now < record.attributes->deadline
        && !service.retries.tryTakeRetry(now, service.retryPercent)) {
        refuseAndRelease(index, ResultCode::OutcomeUnknown, decisions, {}, "retry budget used up");
    } else {
        retry(index, ResultCode::OutcomeUnknown, now, decisions);
    }
}

void Dispatcher::retry(
    RecordIndex index, ResultCode codeWhenExhausted, kernel::Instant now, Decisions& decisions)
{
    const auto& record = this->table[index];
    if (record.attempts >= maxAttempts) {
        refuseAndRelease(index, codeWhenExhausted, decisions, {}, "attempts used up");
        return;
    }
    const auto retryAt = now + retryDelay(record.attempts, this->random());
    if (retryAt >= record.attributes->deadline) {
        refuseAndRelease(index, ResultCode::DeadlineExceeded, decisions, {}, "no time for another attempt");
        return;
    }
    this->table.setPhase(index, Phase::Delayed);
    this->wheel.add(index, retryAt);
}

void Dispatcher::cancel(Handle handle)
{
    const auto found = this->table.find(handle);
    if (found && this->table[*found].phase != Phase::Running) {
        remove(*found);
    }
}

void Dispatcher::remove(RecordIndex index)
{
    const auto& record = this->table[index];
    this->wheel.remove(index);
    if (record.phase == Phase::Queued) {
        this->services[record.attributes->service].queue.erase(this->table, index);
    }
    this->table.release(index);
}

Dispatcher::Decisions Dispatcher::expire(kernel::Instant now)
{
    Decisions decisions;
    runTimers(now, decisions);
    if (this->snapshot && queued() > 0) {
        // Slots reserved for short work become available to long work when no short work arrives.
        serveAll(now, decisions);
    }
    return decisions;
}

void Dispatcher::runTimers(kernel::Instant now, Decisions& decisions)
{
    reclassifyOverruns(now);
    if (this->slots.startProbes(now)) {
        serveAll(now, decisions);
    }
    this->due.clear();
    this->wheel.advance(now, this->due);
    for (const auto index : this->due) {
        if (this->table[index].phase == Phase::Queued) {
            refuseAndRelease(index, ResultCode::DeadlineExceeded, decisions);
        } else {
            enqueue(index, Lane::End::Head);
        }
    }
    // Served after all due requests have been handled, because a grant removes requests from the wheel and
    // changes their phase.
    for (const auto index : this->due) {
        if (this->table[index].phase == Phase::Queued) {
            serve(this->table[index].attributes->service, ServePass::All, now, decisions);
        }
    }
}

void Dispatcher::reclassifyOverruns(kernel::Instant now)
{
    for (auto& service : this->services) {
        const auto longThreshold = service.baseline.longThreshold();
        while (!service.overrunCandidates.empty()) {
            const auto index = service.overrunCandidates.front();
            auto& record = this->table[index];
            if (millisecondsUntil(now, record.grantedAt) <= longThreshold) {
                break;
            }
            service.overrunCandidates.erase(this->table, index);
            record.overrunCandidate = false;
            service.queue.adjustRunning(record.workClass, -1);
            record.workClass = WorkClass::Long;
            service.queue.adjustRunning(record.workClass, 1);
            this->slots.addLongRunning(record.upstream);
        }
    }
}

Dispatcher::Decisions Dispatcher::refuseAll(ResultCode code)
{
    Decisions decisions;
    for (RecordIndex index = 0; index < this->table.size(); ++index) {
        const auto phase = this->table[index].phase;
        if (phase == Phase::Queued || phase == Phase::Delayed) {
            refuseAndRelease(index, code, decisions);
        }
    }
    return decisions;
}

std::size_t Dispatcher::queued() const
{
    return this->table.count(Phase::Queued) + this->table.count(Phase::Delayed);
}

Dispatcher::Submission Dispatcher::refuseAtOnce(ResultCode code, double wait, std::string reason)
{
    const auto handle = this->table.handleWithoutRecord();
    const auto after = wait > 0 ? retryAfter(wait, this->random()) : kernel::Duration {};
    Decisions decisions;
    decisions.emplace_back(Refusal { handle, code, after, snapshotSequence(), std::move(reason) });
    return { handle, std::move(decisions) };
}

Decision Dispatcher::refuse(
    RecordIndex index, ResultCode code, kernel::Duration retryAfter, std::string reason)
{
    const auto& record = this->table[index];
    if (record.mayHaveRun) {
        return Unresolved { record.handle, code, snapshotSequence(), std::move(reason) };
    }
    return Refusal { record.handle, code, retryAfter, snapshotSequence(), std::move(reason) };
}

void Dispatcher::refuseAndRelease(
    RecordIndex index, ResultCode code, Decisions& decisions, kernel::Duration retryAfter, std::string reason)
{
    decisions.emplace_back(refuse(index, code, retryAfter, std::move(reason)));
    remove(index);
}

void Dispatcher::enqueue(RecordIndex index, Lane::End end)
{
    const auto& attributes = *this->table[index].attributes;
    this->table.setPhase(index, Phase::Queued);
    this->services[attributes.service].queue.push(this->table, index, end, this->teams);
    this->wheel.add(index, attributes.deadline);
}

void Dispatcher::serveAll(kernel::Instant now, Decisions& decisions)
{
    for (std::uint32_t pool = 0; pool < this->users.size(); ++pool) {
        servePool(pool, now, decisions);
    }
}

void Dispatcher::servePool(std::uint32_t pool, kernel::Instant now, Decisions& decisions)
{
    if (queued() == 0 || pool >= this->users.size() || !this->slots.hasFreeSlot(pool)) {
        return;
    }
    auto& poolUsers = this->users[pool];
    const auto serveIfFree = [&](std::uint32_t service, ServePass pass) {
        if (this->slots.hasFreeSlot(pool)) {
            serve(service, pass, now, decisions);
        }
    };
    const auto count = poolUsers.borrowers.size();
    // Short work releases borrowed slots soon, so short work of all services is served before long work of
    // the owner. It counts as overtaking the owner's long work, which bounds the delay.
    for (const auto pass : { ServePass::Urgent, ServePass::All }) {
        for (const auto owner : poolUsers.owners) {
            serveIfFree(owner, pass);
        }
        for (std::size_t step = 0; step < count; ++step) {
            serveIfFree(poolUsers.borrowers[(poolUsers.firstBorrower + step) % count], pass);
        }
    }
    poolUsers.firstBorrower = count == 0 ? 0 : (poolUsers.firstBorrower + 1) % count;
}

void Dispatcher::serve(std::uint32_t index, ServePass pass, kernel::Instant now, Decisions& decisions)
{
    auto& service = this->services[index];
    if (!service.inSnapshot) {
        return;
    }
    while (service.queue.size() > 0) {
        const auto choice = service.queue.choose(queuePolicy(), this->slots, pass, now);
        if (!choice) {
            return;
        }
        if (refuseBeforeStart(choice->record, now, decisions)) {
            continue;
        }
        const auto& record = this->table[choice->record];
        const auto& tier = service.queue.route(record.lanePair)[choice->tier];
        const auto upstream
            = this->slots.choose(tier, this->snapshot->policies.placement, this->random(), record.upstream);
        if (!upstream) {
            return;
        }
        decisions.emplace_back(grant(choice->record, tier, *upstream, now));
    }
}

bool Dispatcher::refuseBeforeStart(RecordIndex index, kernel::Instant now, Decisions& decisions)
{
    const auto& record = this->table[index];
    const auto& operation = operationOf(record);
    if (operation.health.refuses(now, operation.running)) {
        refuseAndRelease(index, ResultCode::OperationSuspended, decisions,
            retryAfter(static_cast<double>(operation.health.remaining(now).milliseconds), this->random()),
            "operation fails on several upstreams");
        return true;
    }
    // One request of an operation may always run, so that a wrong estimate gets corrected.
    const auto estimate = operation.runTime.estimate(record.attributes->declaredRunTime);
    if (operation.running > 0 && estimate > millisecondsUntil(record.attributes->deadline, now)) {
        refuseAndRelease(index, ResultCode::DeadlineUnreachable, decisions,
            retryAfter(estimate, this->random()), "expected run time exceeds the deadline");
        return true;
    }
    return false;
}

Grant Dispatcher::grant(RecordIndex index, const Tier& tier, std::uint32_t upstream, kernel::Instant now)
{
    auto& record = this->table[index];
    auto& service = this->services[record.attributes->service];
    const auto candidates = this->slots.freeUpstreams(tier);
    service.queue.grant(this->table, index);
    this->wheel.remove(index);
    this->table.setPhase(index, Phase::Running);
    record.upstream = upstream;
    if (record.workClass == WorkClass::Short) {
        recordOvertakes(record);
    }
    record.grantedAt = now;
    ++operationOf(record).running;
    service.queue.adjustRunning(record.workClass, 1);
    this->slots.take(upstream, record.workClass);
    // Only `ShortFirst` distinguishes long work, so overruns matter to no other policy.
    if (record.workClass == WorkClass::Short && std::holds_alternative<model::ShortFirst>(queuePolicy())) {
        service.overrunCandidates.pushBack(this->table, index);
        record.overrunCandidate = true;
    }
    const auto team = record.attributes->team;
    if (this->teams.take(team)) {
        for (auto& each : this->services) {
            each.queue.setAtShare(team, true);
        }
    }
    const auto& view = this->snapshot->upstreams[this->slots.snapshotIndex(upstream)];
    return Grant { record.handle, view.vm, view.address, view.connections, snapshotSequence(), candidates,
        tier.reason };
}

void Dispatcher::recordOvertakes(const Record& record)
{
    const auto service = record.attributes->service;
    this->services[service].queue.recordOvertake(record.handle.value, record.upstream, this->slots);
    for (const auto owner : this->users[this->slots.poolOf(record.upstream)].owners) {
        if (owner != service) {
            this->services[owner].queue.recordOvertake(record.handle.value, record.upstream, this->slots);
        }
    }
}

double Dispatcher::expectedWait(const ServiceState& service, WorkClass workClass) const
{
    return service.queue.expectedWait(workClass, this->slots.reservedSlots(service.pool, queuePolicy()));
}

OperationState& Dispatcher::operationOf(const Record& record)
{
    return this->services[record.attributes->service].operations[record.attributes->operation];
}

} // namespace wasabiroad::admission
