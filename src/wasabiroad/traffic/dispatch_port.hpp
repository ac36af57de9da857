#pragma once

#include "wasabiroad/admission/dispatcher.hpp"
#include "wasabiroad/kernel/clock.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wasabiroad::traffic {

/**
 * @brief Gives the sessions of all traffic threads access to the dispatcher, which runs on one of them.
 *
 * Calls from the dispatcher's own thread run at once; others are posted. Replies are called on
 * the dispatcher's thread and must not block.
 */
class DispatchPort {
public:
    using Reply = std::function<void(const admission::Decision&)>;

    /** @brief A submitted request; only the dispatcher's thread reads its members. */
    struct Submission {
        admission::Handle handle {};
        bool cancelled { false };
    };
    using SubmissionPointer = std::shared_ptr<Submission>;

    DispatchPort(boost::asio::io_context& context, kernel::Clock clock, std::uint64_t seed);

    /** @brief Replaces the snapshot. Dispatcher's thread only. */
    void update(const model::RoutingSnapshotPointer& snapshot);

    /** @brief Submits a request; the reply is called with each decision about it. */
    SubmissionPointer submit(model::Request request, Reply reply);

    /** @brief Reports the end of a granted attempt. */
    void finish(const SubmissionPointer& submission, admission::Outcome outcome);

    /** @brief Removes a request that is still queued. */
    void cancel(const SubmissionPointer& submission);

    /** @brief Refuses all queued requests, and all later ones. */
    void refuseAll(kernel::ResultCode code);

private:
    void deliver(const std::vector<admission::Decision>& decisions);
    void armExpiry();

    boost::asio::io_context& context;
    const kernel::Clock clock;
    admission::Dispatcher dispatcher;
    std::unordered_map<std::uint64_t, Reply> replies {};
    boost::asio::steady_timer expiryTimer;
    bool expiryArmed { false };
    kernel::ResultCode refusing { kernel::ResultCode::Ok };
};

} // namespace wasabiroad::traffic
