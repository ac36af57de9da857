#pragma once

#include "wasabiroad/agent/upstream_clock.hpp"
#include "wasabiroad/kernel/timer.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace wasabiroad::agent {

/** @brief Callbacks of an upstream agent to the owner of the pool; called on the control thread only. */
struct UpstreamCallbacks {
    /** @brief Receives a list, when the call for it was sent, and its fencing token. */
    const std::function<void(
        const scheduling::UpstreamId&, const ports::Tasks&, kernel::Instant sent, ports::Term fence)>
        onTasks;
    const std::function<void(const scheduling::UpstreamId&, kernel::Instant lastRenewal)> onUnresponsive;
    const std::function<void(const scheduling::UpstreamId&)> onReplaced;
    const std::function<void()> onSuperseded;
    /** @brief Whether the owner may renew task leases now. */
    const std::function<bool()> mayRenewLeases;
    /** @brief Whether the upstream must be polled at short intervals. */
    const std::function<bool(const scheduling::UpstreamId&)> needsFrequentPolling;
    /** @brief The highest fencing token of the owner; it only rises. */
    const std::function<ports::Term()> latestFence;
};

/** @brief How a start ended, and whether it has shown a restart of the upstream. */
struct StartReport {
    const ports::StartOutcome outcome;
    /** @brief Another incarnation has answered than the one on whose clock the end of the lease was computed.
     */
    const bool restarted { false };
    /** @brief Fencing token of the start; 0 if it was not sent. */
    const ports::Term fence {};

    friend bool operator==(const StartReport&, const StartReport&) = default;
};

/**
 * @brief Polls the tasks of one upstream, renews their leases and acknowledges their ends.
 *
 * The fencing token of the calls is raised once a restart is seen, since the next incarnation may carry out
 * delayed calls that were meant for the former one, and after a start without an answer, so that the upstream
 * rejects it from its next list on.
 */
class UpstreamAgent : public std::enable_shared_from_this<UpstreamAgent> {
public:
    UpstreamAgent(boost::asio::io_context& context, std::shared_ptr<const ports::UpstreamLink> link,
        scheduling::UpstreamFacts facts, kernel::Duration taskLease, UpstreamCallbacks callbacks);

    void start() { poll(); }

    /**
     * @brief Marks ends as recorded, so that the next poll acknowledges them.
     * @param incarnation Start time of the incarnation of the upstream that listed them.
     * @param number Number of the last recorded end in that incarnation.
     */
    void acknowledge(kernel::Instant incarnation, std::uint64_t number);

    const scheduling::UpstreamFacts& facts() const { return this->upstream; }

    /**
     * @brief Sends a start with a lease that ends on the upstream's clock.
     * @param order Order to send.
     * @param permission Asked right before the order is written to its connection.
     * @param callback Receives the outcome, also after `close`; the result is NotSent while the clock of the
     * upstream is not known, and NotTried while there is no fencing token for its present incarnation.
     */
    void startTask(const scheduling::StartTask& order, ports::Permission permission,
        store::Callback<StartReport> callback);

    /** @brief Sends a stop; the callback receives the outcome, also after `close`. */
    void stopTask(const scheduling::StopTask& order, store::Callback<ports::OrderOutcome> callback);

    /** @brief Sends a pace; the callback receives the outcome, also after `close`. */
    void paceTask(const scheduling::PaceTask& order, store::Callback<ports::OrderOutcome> callback);

    /** @return Latest reading of the upstream's clock, or nothing while its incarnation is not known. */
    const std::optional<ClockReading>& clockReading() const { return this->reading; }

    /** @return Boot clock time at which the last call that renews leases was sent. */
    kernel::Instant lastRenewalSent() const { return this->lastRenewal; }

    /** @return Boot clock time of the first answer of the present incarnation, or nothing if there was none.
     */
    std::optional<kernel::Instant> reachedAt() const { return this->firstAnswer; }

    /** @return Whether the last poll was answered. */
    bool isAnswering() const { return this->answering; }

    /** @return Whether the upstream has listed ends that are not marked as recorded. */
    bool hasUnrecordedEnds() const { return this->lastListed > this->lastRecorded; }

    /** @brief Stops polling; later answers are ignored. */
    void close();

private:
    void poll();
    /** @return Number up to which the next poll acknowledges ends; 0 for none. */
    std::uint64_t endsToAcknowledge() const;
    /**
     * @param outcome Outcome of a poll.
     * @param sent Boot clock time at which the poll was sent.
     * @param look The poll.
     */
    void onOutcome(const ports::LookOutcome& outcome, kernel::Instant sent, const ports::Look& look);
    void onTasks(const ports::Tasks& tasks, kernel::Instant sent, const ports::Look& look);
    void onError(const kernel::Error& error);
    /** @brief Forgets what only the former incarnation has said, until the upstream has listed its tasks
     * again.
     */
    void onRestart(ports::UpstreamTime clock);
    void logRestart(const char* seenBy, std::optional<ports::UpstreamTime> clock) const;
    /** @brief Raises the fencing token above that of calls to a former incarnation, if that is needed. */
    void raiseFence();
    /**
     * @brief Judges the rejection of a fencing token: this owner may have used a higher one meanwhile, also
     * through the agent that has replaced this one. Otherwise another owner has taken over.
     * @param used Fencing token of the rejected call.
     */
    bool isOutdated(ports::Term used) const { return this->closed || used < this->fence; }
    /** @return A callback to which the rejection of an outdated fencing token is an order without an answer.
     */
    store::Callback<ports::OrderOutcome> unlessOutdated(store::Callback<ports::OrderOutcome> callback);

    const std::shared_ptr<const ports::UpstreamLink> link;
    const scheduling::UpstreamFacts upstream;
    const kernel::Duration taskLease;
    const UpstreamCallbacks callbacks;
    kernel::Timer timer;
    /** @brief Fencing token of the calls. */
    ports::Term fence;
    /** @brief The token is raised as soon as the owner has a higher one. */
    bool mustRaiseFence { false };
    /** @brief The token was used for a former incarnation, so no start is sent with it. */
    bool isFenceOfFormer { false };
    bool closed { false };
    bool answering { false };
    bool awaitingRecord { false };
    kernel::Instant born {};
    kernel::Instant lastRenewal {};
    std::optional<kernel::Instant> firstAnswer {};
    std::optional<ClockReading> reading {};
    /** @brief When the answer to a start last showed a restart; lists that were requested before are
     * outdated.
     */
    kernel::Instant restartSeen {};
    std::uint64_t lastListed { 0 };
    std::uint64_t lastRecorded { 0 };
    /** @brief Ends up to this number were acknowledged by a poll that this incarnation has answered. */
    std::uint64_t lastAcknowledged { 0 };
};

} // namespace wasabiroad::agent
