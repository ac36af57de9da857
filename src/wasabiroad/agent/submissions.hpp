#pragma once

#include "wasabiroad/agent/job_api.hpp"
#include "wasabiroad/kernel/timer.hpp"
#include "wasabiroad/metrics/metrics.hpp"

#include <deque>
#include <memory>
#include <vector>

namespace wasabiroad::agent {

/**
 * @brief Stores submitted jobs, several per change.
 *
 * Each job id is stored once, even if it reaches several entry VMs.
 */
class Submissions : public std::enable_shared_from_this<Submissions> {
public:
    Submissions(boost::asio::io_context& context, std::shared_ptr<const store::Store> store,
        std::shared_ptr<metrics::Metrics> metrics);

    /** @brief Stores a job and calls back with the outcome as far as it is known. */
    void submit(jobs::Job job, kernel::Duration deadline, store::Callback<SubmitOutcome> callback);

    /**
     * @brief Answers a submission of a job that cannot run: Accepted if it is stored already, Rejected with
     * Cancelled if it was cancelled before, else Rejected with the code.
     * @param job Job that was submitted.
     * @param code Reason of the rejection.
     * @param callback Takes the outcome; Undecided if the store does not answer.
     */
    void answerIneligible(jobs::Job job, kernel::ResultCode code, store::Callback<SubmitOutcome> callback);

private:
    struct PendingSubmission {
        const jobs::Job job;
        const store::Callback<SubmitOutcome> callback;
        /** @brief Boot clock until which failed attempts are retried; the caller then gets the outcome. */
        const kernel::Instant retryUntil;
        /** @brief Boot clock until which the caller waits. */
        const kernel::Instant deadline;
        /** @brief The result of an attempt is unknown: the job may be stored already, or still be stored. */
        bool outcomeUnknown { false };
    };

    void scheduleSend(kernel::Duration delay);
    void send();
    void onOutcome(
        const std::vector<std::shared_ptr<PendingSubmission>>& batch, const store::ChangeOutcome& outcome);
    void onConflict(
        const std::vector<std::shared_ptr<PendingSubmission>>& batch, const store::Conflict& conflict);
    void retry(const std::vector<std::shared_ptr<PendingSubmission>>& batch, bool outcomeUnknown);
    void answer(const PendingSubmission& submission, const SubmitOutcome& outcome) const;

    boost::asio::io_context& context;
    const std::shared_ptr<const store::Store> store;
    const std::shared_ptr<metrics::Metrics> metrics;
    std::deque<std::shared_ptr<PendingSubmission>> queue {};
    kernel::Timer timer;
    bool sendScheduled { false };
    /** @brief Consecutive failed changes; while the store is unavailable, callers are rejected at once. */
    unsigned failures { 0 };
    kernel::Instant lastFailure {};
};

} // namespace wasabiroad::agent
