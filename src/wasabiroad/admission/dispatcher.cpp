#include "wasabiroad/admission/dispatcher.hpp"

#include "wasabiroad/routing/placement.hpp"

#include <algorithm>

#include <pcg_random.hpp>

namespace wasabiroad::admission {

using kernel::ResultCode;

namespace {

/** Attempts of one request, proofs that it did not start included. */
constexpr std::uint32_t maxAttempts = 8;

} // namespace

Dispatcher::Dispatcher(std::uint64_t seed)
    : random(seed)
{
}

Dispatcher::Decisions Dispatcher::update(model::RoutingSnapshotPointer newSnapshot, kernel::Instant now)
{
    this->snapshot = std::move(newSnapshot);
    std::erase_if(this->leavingVms, [this](const model::VmId& vm) {
        const auto found = std::ranges::find(this->snapshot->upstreams, vm, &model::UpstreamView::vm);
        return found == this->snapshot->upstreams.end() || !found->accepting;
    });
    auto decisions = expire(now);
    fillAll(decisions);
    return decisions;
}

Dispatcher::Submission Dispatcher::submit(const model::Request& request, kernel::Instant now)
{
    Pending pending { Handle { this->nextHandle++ }, request };
    const auto handle = pending.handle;
    if (!this->snapshot) {
        return { handle, { refuse(pending, ResultCode::NotConfigured) } };
    }
    const auto service = this->snapshot->services.find(request.service);
    if (service == this->snapshot->services.end()) {
        return { handle, { refuse(pending, ResultCode::UnknownService) } };
    }
    if (request.deadline <= now) {
        return { handle, { refuse(pending, ResultCode::DeadlineExceeded) } };
    }
    if (this->queues[request.service].size() >= service->second.service.queueBound) {
        return { handle, { refuse(pending, ResultCode::QueueFull) } };
    }
    enqueue(std::move(pending), false);
    Decisions decisions;
    fill(request.service, decisions);
    return { handle, std::move(decisions) };
}

Dispatcher::Decisions Dispatcher::finish(Handle handle, Outcome outcome, kernel::Instant now)
{
    const auto found = this->grants.find(handle.value);
    if (found == this->grants.end()) {
        return {};
    }
    const Running running = found->second;
    this->grants.erase(found);
    --this->outstanding[running.vm];
    Decisions decisions;
    settle(running.pending, outcome, decisions);
    for (auto& expired : expire(now)) {
        decisions.emplace_back(std::move(expired));
    }
    fillAll(decisions);
    return decisions;
}

void Dispatcher::settle(const Pending& pending, Outcome outcome, Decisions& decisions)
{
    const bool mayHaveRun = pending.mayHaveRun || outcome == Outcome::Lost;
    Pending again { pending.handle, pending.request, pending.attempts + 1, mayHaveRun };
    const bool mayTryAgain = again.attempts < maxAttempts;
    switch (outcome) {
    case Outcome::Succeeded:
    case Outcome::Failed:
    case Outcome::Abandoned:
        return;
    case Outcome::NotStarted:
        if (mayTryAgain) {
            enqueue(std::move(again), true);
        } else {
            decisions.emplace_back(refuse(again, ResultCode::NoUpstream));
        }
        return;
    case Outcome::Lost:
        if (mayTryAgain && pending.request.idempotent) {
            enqueue(std::move(again), true);
        } else {
            decisions.emplace_back(refuse(again, ResultCode::OutcomeUnknown));
        }
        return;
    }
}

void Dispatcher::cancel(Handle handle)
{
    const auto found = this->positions.find(handle.value);
    if (found == this->positions.end()) {
        return;
    }
    this->queues[found->second.service].erase(found->second.place);
    this->positions.erase(found);
}

Dispatcher::Decisions Dispatcher::expire(kernel::Instant now)
{
    Decisions decisions;
    for (auto& [service, queue] : this->queues) {
        for (auto pending = queue.begin(); pending != queue.end();) {
            if (pending->request.deadline > now) {
                ++pending;
                continue;
            }
            decisions.emplace_back(refuse(*pending, ResultCode::DeadlineExceeded));
            this->positions.erase(pending->handle.value);
            pending = queue.erase(pending);
        }
    }
    return decisions;
}

Dispatcher::Decisions Dispatcher::refuseAll(ResultCode code)
{
    Decisions decisions;
    for (auto& [service, queue] : this->queues) {
        for (const auto& pending : queue) {
            decisions.emplace_back(refuse(pending, code));
        }
        queue.clear();
    }
    this->positions.clear();
    return decisions;
}

std::size_t Dispatcher::queued() const { return this->positions.size(); }

Decision Dispatcher::refuse(const Pending& pending, ResultCode code) const
{
    const auto sequence = this->snapshot ? this->snapshot->sequence : 0;
    if (pending.mayHaveRun) {
        return Unresolved { pending.handle, code, sequence };
    }
    return Refusal { pending.handle, code, {}, sequence };
}

void Dispatcher::enqueue(Pending pending, bool atHead)
{
    auto& queue = this->queues[pending.request.service];
    const auto handle = pending.handle;
    const auto service = pending.request.service;
    const auto place = queue.insert(atHead ? queue.begin() : queue.end(), std::move(pending));
    this->positions.emplace(handle.value, Position { service, place });
}

void Dispatcher::fillAll(Decisions& decisions)
{
    if (!this->snapshot) {
        return;
    }
    for (const auto& [service, view] : this->snapshot->services) {
        fill(service, decisions);
    }
}

void Dispatcher::fill(const model::ServiceId& service, Decisions& decisions)
{
    const auto queue = this->queues.find(service);
    const auto view = this->snapshot->services.find(service);
    if (queue == this->queues.end() || view == this->snapshot->services.end()) {
        return;
    }
    while (!queue->second.empty()) {
        const auto eligible = candidates(view->second);
        pcg64 generator { this->random };
        this->random = generator();
        const auto chosen = routing::place(this->snapshot->policies.placement, eligible, this->random);
        if (!chosen) {
            return;
        }
        decisions.emplace_back(grant(queue->second, eligible[*chosen], eligible.size()));
    }
}

std::vector<routing::Candidate> Dispatcher::candidates(const model::ServiceView& view) const
{
    std::vector<routing::Candidate> eligible;
    for (const auto index : view.own) {
        const auto& upstream = this->snapshot->upstreams[index];
        const auto held = this->outstanding.find(upstream.vm);
        const auto count = held == this->outstanding.end() ? 0 : held->second;
        const auto usable = std::min(upstream.slots, upstream.connections);
        if (upstream.accepting && count < usable && !this->leavingVms.contains(upstream.vm)) {
            eligible.emplace_back(routing::Candidate { index, count });
        }
    }
    return eligible;
}

Grant Dispatcher::grant(Queue& queue, const routing::Candidate& chosen, std::size_t candidateCount)
{
    const auto& upstream = this->snapshot->upstreams[chosen.upstream];
    const Pending pending = queue.front();
    queue.pop_front();
    this->positions.erase(pending.handle.value);
    ++this->outstanding[upstream.vm];
    this->grants.emplace(pending.handle.value, Running { pending, upstream.vm });
    return Grant { pending.handle, upstream.vm, upstream.address, upstream.connections,
        this->snapshot->sequence, static_cast<std::uint32_t>(candidateCount), "own-pool" };
}

} // namespace wasabiroad::admission
