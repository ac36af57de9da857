#pragma once

#include "wasabiroad/admission/decision.hpp"
#include "wasabiroad/admission/outcome.hpp"
#include "wasabiroad/model/request.hpp"
#include "wasabiroad/model/routing_snapshot.hpp"
#include "wasabiroad/routing/candidate.hpp"

#include <list>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wasabiroad::admission {

/**
 * @brief Owns the queues and slots of one daemon and decides which request runs where.
 *
 * It reads no clock and performs no I/O. One thread calls it; every call returns the decisions
 * that it made, also for requests that were submitted earlier.
 */
class Dispatcher {
public:
    using Decisions = std::vector<Decision>;

    /** @brief Handle of a new request and the decisions that its arrival led to. */
    struct Submission {
        const Handle handle;
        const Decisions decisions;
    };

    /** @param seed Seed of the random source for placement. */
    explicit Dispatcher(std::uint64_t seed);

    /** @brief Replaces the snapshot; slots held on upstreams are kept. */
    Decisions update(model::RoutingSnapshotPointer snapshot, kernel::Instant now);

    /** @brief Accepts a request into its queue, or decides about it at once. */
    Submission submit(const model::Request& request, kernel::Instant now);

    /**
     * @brief Gives back the slot of a granted request.
     *
     * A request that did not start returns to the head of its queue. One that was lost is tried
     * again when it is idempotent, and is otherwise `Unresolved`. Other outcomes end the request.
     * @param handle Handle of the granted request.
     * @param outcome How the attempt ended.
     */
    Decisions finish(Handle handle, Outcome outcome, kernel::Instant now);

    /** @brief Removes a request that is still queued; a granted one keeps its slot until `finish`. */
    void cancel(Handle handle);

    /**
     * @brief Places nothing on an upstream until a snapshot shows it as not accepting or no longer lists it.
     * @return Whether this was not known before.
     */
    bool leaving(const model::VmId& vm) { return this->leavingVms.insert(vm).second; }

    /** @brief Refuses queued requests whose deadline has passed. */
    Decisions expire(kernel::Instant now);

    /** @brief Refuses all queued requests, for a shutdown. */
    Decisions refuseAll(kernel::ResultCode code);

    /** @return Number of queued requests. */
    std::size_t queued() const;

    /** @return Number of requests that hold a slot. */
    std::size_t running() const { return this->grants.size(); }

private:
    struct Pending {
        const Handle handle;
        const model::Request request;
        /** @brief Attempts that have ended. */
        const std::uint32_t attempts { 0 };
        /** @brief Whether an attempt was lost after it was sent; `not-run` is then ruled out. */
        const bool mayHaveRun { false };
    };
    using Queue = std::list<Pending>;
    struct Running {
        const Pending pending;
        const model::VmId vm;
    };
    struct Position {
        model::ServiceId service;
        Queue::iterator place;
    };

    Decision refuse(const Pending& pending, kernel::ResultCode code) const;
    void settle(const Pending& pending, Outcome outcome, Decisions& decisions);
    void enqueue(Pending pending, bool atHead);
    void fill(const model::ServiceId& service, Decisions& decisions);
    void fillAll(Decisions& decisions);
    std::vector<routing::Candidate> candidates(const model::ServiceView& view) const;
    Grant grant(Queue& queue, const routing::Candidate& chosen, std::size_t candidateCount);

    model::RoutingSnapshotPointer snapshot {};
    std::unordered_map<model::VmId, std::uint32_t> outstanding {};
    /** @brief Upstreams that said that they leave, until the snapshot shows it. */
    std::unordered_set<model::VmId> leavingVms {};
    std::unordered_map<model::ServiceId, Queue> queues {};
    std::unordered_map<std::uint64_t, Position> positions {};
    std::unordered_map<std::uint64_t, Running> grants {};
    std::uint64_t nextHandle { 1 };
    std::uint64_t random;
};

} // namespace wasabiroad::admission
