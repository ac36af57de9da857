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

/** @brief Callbacks of a record writer; called on the control thread only. */
struct RecordCallbacks {
    /** @brief The final state of the job has been written. */
    const std::function<void(const jobs::JobId&)> onEnded;
    /** @brief A caller has cancelled the job in the store. */
    const std::function<void(const jobs::JobId&)> onCancelled;
    /** @brief Another owner has taken over the pool. */
    const std::function<void()> onSuperseded;
    /** @brief All records that were queued up to this batch have been written. */
    const std::function<void(std::uint64_t batch)> onFlushed;
};

/**
 * @brief Writes records of jobs for the owner of a pool, several in one change.
 *
 * Each change is conditional on the owner's term and on the revision of each record that the owner knows, so
 * a delayed change never replaces a newer record. The state of an open job and its progress are always
 * written together, so both have the same revision. The change that writes a final state removes all other
 * keys of the job.
 */
class RecordWriter : public std::enable_shared_from_this<RecordWriter> {
public:
    RecordWriter(boost::asio::io_context& context, std::shared_ptr<const store::Store> store,
        model::ServiceId service, ports::Term term, RecordCallbacks callbacks);

    /** @brief Sets the revision of a record that the owner has read. */
    void setRevision(const jobs::JobId& job, store::Revision revision) { this->revisions[job] = revision; }

    /** @return The last known revision of a record, or 0. */
    store::Revision revisionOf(const jobs::JobId& job) const;

    /**
     * @brief Queues records to be written.
     * @return Number of the batch; `RecordCallbacks::onFlushed` is called with it or a later one once it is
     * written.
     */
    std::uint64_t write(const std::vector<scheduling::RecordChange>& changes);

    /** @return Whether a final state of the job is queued or being written. */
    bool isEnding(const jobs::JobId& job) const;

    /** @return Number of records that are queued or being written. */
    std::size_t unwrittenCount() const { return this->pending.size(); }

    /** @return Whether a change is in flight. */
    bool isBusy() const { return this->inFlight; }

    /**
     * @return The term, or the revision of the latest change that was committed in it. It only rises, and it
     * is below each later term, as a change requires that the owner's term is current.
     */
    ports::Term latestFence() const { return this->fence; }

    /** @brief Writes a key of the pool, provided that the owner's term is current. */
    void put(store::Put put, store::Callback<store::ChangeOutcome> callback);

    /**
     * @brief Writes a key of the pool, provided that the owner's term is current and the key has the expected
     * revision, so that a delayed write replaces nothing newer.
     * @param put Key and value.
     * @param expected Expected revision of the key; 0 when it must not exist.
     * @param callback Receives the outcome.
     */
    void replace(store::Put put, store::Revision expected, store::Callback<store::ChangeOutcome> callback);

    /**
     * @brief Writes a key of the pool, provided that the owner's term is current and a condition holds.
     * @param put Key and value.
     * @param condition Condition on this key or another one.
     * @param callback Receives the outcome.
     */
    void putIf(store::Put put, store::Condition condition, store::Callback<store::ChangeOutcome> callback);

    /** @brief Stops writing; outcomes of calls in flight are ignored. */
    void close() { this->closed = true; }

private:
    struct Pending {
        std::optional<jobs::Record> record {};
        /** @brief First batch whose changes of the record have not been written yet. */
        std::uint64_t firstUnwrittenBatch { 0 };
        /** @brief Last batch that changed the record. */
        std::uint64_t batch { 0 };
    };

    void send();
    /** @brief Sends a change and notes its revision once it is committed. */
    void change(const store::Change& change, store::Callback<store::ChangeOutcome> callback);
    /** @return Condition that this writer's term is current, which each change requires. */
    store::Condition ownerCondition() const;
    /**
     * @return Jobs of the next change: the one that has waited longest, so that each is written even when the
     * queue is never empty, then ended jobs, whose callers may be waiting, then others by age.
     */
    std::vector<jobs::JobId> chooseJobs() const;
    store::Change makeChange(const std::vector<jobs::JobId>& jobs) const;
    void onOutcome(
        const std::vector<jobs::JobId>& jobs, std::uint64_t batch, const store::ChangeOutcome& outcome);
    void onCommitted(const std::vector<jobs::JobId>& jobs, std::uint64_t batch, store::Revision revision);
    void onConflict(const std::vector<jobs::JobId>& jobs, const store::Conflict& conflict);
    /** @brief Sends the queued records after a pause. */
    void retryLater();
    void reportFlushed();

    boost::asio::io_context& context;
    const std::shared_ptr<const store::Store> store;
    const model::ServiceId service;
    const ports::Term term;
    const RecordCallbacks callbacks;
    ports::Term fence;
    std::map<jobs::JobId, store::Revision> revisions {};
    std::map<jobs::JobId, Pending> pending {};
    std::uint64_t lastBatch { 0 };
    std::uint64_t reportedBatch { 0 };
    bool inFlight { false };
    bool closed { false };
};

} // namespace wasabiroad::agent
