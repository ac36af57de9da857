#pragma once

#include "wasabiroad/jobs/job.hpp"
#include "wasabiroad/kernel/timer.hpp"
#include "wasabiroad/ports/upstreams.hpp"
#include "wasabiroad/scheduling/event.hpp"
#include "wasabiroad/store/store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace wasabiroad::agent {

/** @brief What the writer tells its owner; control thread only. */
struct RecordEvents {
    /** @brief A record with a final state is in the store. */
    const std::function<void(const jobs::JobId&)> ended;
    /** @brief The store holds that a caller has cancelled the job. */
    const std::function<void(const jobs::JobId&)> cancelled;
    /** @brief Another owner has the pool. */
    const std::function<void()> superseded;
    /** @brief All records that were queued up to this batch are in the store. */
    const std::function<void(std::uint64_t batch)> flushed;
};

/**
 * @brief Writes records of jobs for the owner of a pool, several in one change.
 *
 * Each change requires that the owner's key has its term and that each record has the revision that the owner
 * knows, so a change that is carried out late never replaces a newer record. The state of an open job and its
 * progress are always written together, so the progress has the revision of the record. The change that
 * writes a final state removes all else of the job.
 */
class RecordWriter : public std::enable_shared_from_this<RecordWriter> {
public:
    RecordWriter(boost::asio::io_context& context, std::shared_ptr<const store::Store> store,
        model::ServiceId service, ports::Term term, RecordEvents events);

    /** @brief Sets the revision of a record that the owner has read. */
    void setRevision(const jobs::JobId& job, store::Revision revision) { this->revisions[job] = revision; }

    /** @return The revision of a record, or 0 when it is not known. */
    store::Revision revisionOf(const jobs::JobId& job) const;

    /**
     * @brief Queues records to be written.
     * @return Number of the batch; `RecordEvents::flushed` names it once it is in the store.
     */
    std::uint64_t write(const std::vector<scheduling::RecordChange>& changes);

    /** @return Whether a final state of the job is on its way to the store. */
    bool isEnding(const jobs::JobId& job) const;

    /** @return Whether a change is in flight. */
    bool isBusy() const { return this->inFlight; }

    /** @brief Writes a key of the pool under the condition of the owner's term. */
    void put(store::Put put, store::Callback<store::ChangeOutcome> callback) const;

    /**
     * @brief Does the same while the key has a revision: a write that is carried out late replaces nothing
     * newer.
     * @param expected Revision of the key; 0 when it must not exist.
     */
    void replace(
        store::Put put, store::Revision expected, store::Callback<store::ChangeOutcome> callback) const;

    /** @brief Stops writing; later results are ignored. */
    void close() { this->closed = true; }

private:
    struct Pending {
        std::optional<jobs::Record> record {};
        /** @brief First batch whose part of the record is not in the store yet. */
        std::uint64_t unwritten { 0 };
        /** @brief Last batch that changed the record. */
        std::uint64_t batch { 0 };
    };

    void send();
    /** @return That this writer's term is still the owner's, which each change requires. */
    store::Condition ownerCondition() const;
    /** @return Jobs of the next change, ended ones first: their callers may be waiting. */
    std::vector<jobs::JobId> choose() const;
    store::Change makeChange(const std::vector<jobs::JobId>& jobs) const;
    void onOutcome(
        const std::vector<jobs::JobId>& jobs, std::uint64_t batch, const store::ChangeOutcome& outcome);
    void onCommitted(const std::vector<jobs::JobId>& jobs, std::uint64_t batch, store::Revision revision);
    void onConflict(const store::Conflict& conflict);
    void reportFlushed();

    boost::asio::io_context& context;
    const std::shared_ptr<const store::Store> store;
    const model::ServiceId service;
    const ports::Term term;
    const RecordEvents events;
    std::map<jobs::JobId, store::Revision> revisions {};
    std::map<jobs::JobId, Pending> pending {};
    std::uint64_t lastBatch { 0 };
    std::uint64_t reported { 0 };
    bool inFlight { false };
    bool closed { false };
};

} // namespace wasabiroad::agent
