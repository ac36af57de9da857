#pragma once

#include "wasabiroad/agent/intake.hpp"
#include "wasabiroad/kernel/timer.hpp"
#include "wasabiroad/metrics/metrics.hpp"

#include <deque>
#include <memory>
#include <vector>

namespace wasabiroad::agent {

/** @brief Stores submitted jobs, several in one change; each id is stored once, whichever entry receives it.
 */
class Submissions : public std::enable_shared_from_this<Submissions> {
public:
    Submissions(boost::asio::io_context& context, std::shared_ptr<const store::Store> store,
        std::shared_ptr<metrics::Metrics> metrics);

    /** @brief Stores a job and calls back with what is known then. */
    void submit(jobs::Job job, kernel::Duration deadline, store::Callback<SubmitOutcome> callback);

private:
    struct Waiting {
        const jobs::Job job;
        const store::Callback<SubmitOutcome> callback;
        /** @brief Boot clock at which the caller gets an answer, whatever is known. */
        const kernel::Instant giveUp;
        /** @brief An attempt may still be carried out. */
        bool undecided { false };
    };

    void plan(kernel::Duration delay);
    void send();
    void onOutcome(const std::vector<std::shared_ptr<Waiting>>& batch, const store::ChangeOutcome& outcome);
    void settle(const std::vector<std::shared_ptr<Waiting>>& batch, const store::Conflict& conflict);
    void again(const std::vector<std::shared_ptr<Waiting>>& batch, bool undecided);
    void answer(const Waiting& waiting, const SubmitOutcome& outcome) const;

    boost::asio::io_context& context;
    const std::shared_ptr<const store::Store> store;
    const std::shared_ptr<metrics::Metrics> metrics;
    std::deque<std::shared_ptr<Waiting>> queue {};
    kernel::Timer timer;
    bool planned { false };
    /** @brief Changes that failed in a row; while the store is away, callers are rejected at once. */
    unsigned failures { 0 };
    kernel::Instant lastFailure {};
};

} // namespace wasabiroad::agent
