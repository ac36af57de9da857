#pragma once

#include "wasabiroad/admission/deadline_wheel.hpp"
#include "wasabiroad/admission/decision.hpp"
#include "wasabiroad/admission/outcome.hpp"
#include "wasabiroad/admission/request_table.hpp"
#include "wasabiroad/admission/service_state.hpp"
#include "wasabiroad/admission/slot_table.hpp"
#include "wasabiroad/admission/team_shares.hpp"
#include "wasabiroad/model/request.hpp"
#include "wasabiroad/model/routing_snapshot.hpp"

#include <unordered_map>
#include <vector>

#include <pcg_random.hpp>

namespace wasabiroad::admission {

/**
 * @brief Owns the queues and slots of one daemon and decides which request runs where.
 *
 * It reads no clock, performs no I/O and must be called from one thread only. Each call returns the
 * decisions that it led to, including those about requests submitted earlier. While requests are queued,
 * `expire` must be called every few milliseconds; it also starts delayed retries and probes.
 */
class Dispatcher {
public:
    using Decisions = std::vector<Decision>;

    /** @brief Handle of a new request, and the decisions that its submission led to. */
    struct Submission {
        const Handle handle;
        const Decisions decisions;
    };

    /** @param seed Seed of the random source for placement and jitter. */
    explicit Dispatcher(std::uint64_t seed);

    /** @brief Replaces the snapshot; granted requests keep their slots. */
    Decisions update(model::RoutingSnapshotPointer snapshot, kernel::Instant now);

    /** @brief Queues a request, or grants or refuses it at once. */
    Submission submit(const model::Request& request, kernel::Instant now);

    /**
     * @brief Releases the slot of a granted request.
     *
     * A request that did not start returns to the head of its queue after a backoff delay. A lost one is
     * retried if it is idempotent and the retry budget of its service allows it; otherwise it is
     * `Unresolved`. Other outcomes end the request.
     * @param handle Handle of the granted request.
     * @param outcome How the attempt ended.
     */
    Decisions finish(Handle handle, Outcome outcome, kernel::Instant now);

    /** @brief Removes a queued request; a granted one keeps its slot until `finish`. */
    void cancel(Handle handle);

    /**
     * @brief Marks an upstream as leaving: it gets no request until a snapshot has shown it as not accepting
     * or no longer lists it.
     * @return Whether the upstream is known and was not marked before.
     */
    bool leaving(const model::VmId& vm) { return this->slots.markLeaving(vm); }

    /** @brief Refuses queued requests whose deadline has passed, and starts retries that are due. */
    Decisions expire(kernel::Instant now);

    /** @brief Refuses all queued requests, for a shutdown. */
    Decisions refuseAll(kernel::ResultCode code);

    /** @return Number of queued requests, including those that wait for a retry. */
    std::size_t queued() const;

    /** @return Number of requests that hold a slot. */
    std::size_t running() const { return this->table.count(Phase::Running); }

private:
    /** @brief Services that use a pool, as indices. */
    struct PoolUsers {
        std::vector<std::uint32_t> owners {};
        std::vector<std::uint32_t> borrowers {};
        /** @brief Position of the borrower that is served first next time. */
        std::size_t firstBorrower { 0 };
    };

    void updateService(const model::ServiceView& view);
    void updateUsers(const model::ServiceView& view, std::uint32_t index);

    Submission refuseAtOnce(kernel::ResultCode code, double wait, std::string reason = {});
    Decision refuse(RecordIndex index, kernel::ResultCode code, kernel::Duration retryAfter = {},
        std::string reason = {});
    void refuseAndRelease(RecordIndex index, kernel::ResultCode code, Decisions& decisions,
        kernel::Duration retryAfter = {}, std::string reason = {});
    void remove(RecordIndex index);

    RecordIndex createRecord(const model::Request& request, std::uint32_t service, std::uint32_t operation);
    void enqueue(RecordIndex index, Lane::End end);
    void shedIfOverloaded(RecordIndex index, double expectedWait, kernel::Instant now, Decisions& decisions);

    void runTimers(kernel::Instant now, Decisions& decisions);
    void reclassifyOverruns(kernel::Instant now);
    void serveAll(kernel::Instant now, Decisions& decisions);
    void servePool(std::uint32_t pool, kernel::Instant now, Decisions& decisions);
    void serve(std::uint32_t service, ServePass pass, kernel::Instant now, Decisions& decisions);
    void recordOvertakes(const Record& record);
    bool refuseBeforeStart(RecordIndex index, kernel::Instant now, Decisions& decisions);
    Grant grant(RecordIndex index, const Tier& tier, std::uint32_t upstream, kernel::Instant now);

    void releaseSlot(RecordIndex index);
    void recordOutcome(const Record& record, Outcome outcome, kernel::Instant now);
    void recordAttemptSuccess(const Record& record, kernel::Instant now);
    void recordAttemptFailure(const Record& record, kernel::Instant now);
    void endAttempt(RecordIndex index, Outcome outcome, kernel::Instant now, Decisions& decisions);
    void endLostAttempt(RecordIndex index, kernel::Instant now, Decisions& decisions);
    void retry(
        RecordIndex index, kernel::ResultCode codeWhenExhausted, kernel::Instant now, Decisions& decisions);

    std::uint64_t snapshotSequence() const { return this->snapshot ? this->snapshot->sequence : 0; }
    double expectedWait(const ServiceState& service, WorkClass workClass) const;
    OperationState& operationOf(const Record& record);
    const model::QueuePolicy& queuePolicy() const { return this->snapshot->policies.queue; }

    model::RoutingSnapshotPointer snapshot {};
    RequestTable table {};
    SlotTable slots {};
    TeamShares teams {};
    DeadlineWheel wheel {};
    std::unordered_map<model::ServiceId, std::uint32_t> serviceIndices {};
    std::vector<ServiceState> services {};
    std::vector<PoolUsers> users {};
    std::vector<std::uint32_t> due {};
    pcg64 random;
};

} // namespace wasabiroad::admission
