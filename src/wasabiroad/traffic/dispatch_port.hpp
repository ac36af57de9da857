#pragma once

#include "wasabiroad/admission/dispatcher.hpp"
#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/traffic/safeguard.hpp"
#include "wasabiroad/traffic/ticket_book.hpp"

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
    using TicketReply = std::function<void(const Ticket& ticket, const std::string& text)>;

    /** @brief A submitted request; only the dispatcher's thread reads its members. */
    struct Submission {
        admission::Handle handle {};
        bool cancelled { false };
    };
    using SubmissionPointer = std::shared_ptr<Submission>;

    /** @brief Called on the dispatcher's thread when an upstream first says that it leaves. */
    using LeavingObserver = std::function<void(const model::VmId&)>;

    DispatchPort(
        boost::asio::io_context& context, kernel::Clock clock, std::uint64_t seed, TicketBook tickets);

    /** @brief Replaces the snapshot. Dispatcher's thread only. */
    void update(const model::RoutingSnapshotPointer& snapshot);

    /** @brief Issues a ticket. */
    void issueTicket(TicketReply reply);

    /**
     * @brief Uses up the ticket of a request, if it needs one, and submits the request.
     * The reply is called with each decision about it.
     */
    SubmissionPointer submit(model::Request request, const Safeguard& safeguard, Reply reply);

    /** @brief Reports the end of a granted attempt. */
    void finish(const SubmissionPointer& submission, admission::Outcome outcome);

    /** @brief Removes a request that is still queued. */
    void cancel(const SubmissionPointer& submission);

    /** @brief Sets who is told about leaving upstreams; before the threads run. */
    void observeLeaving(LeavingObserver observer) { this->leavingObserver = std::move(observer); }

    /** @brief Keeps new work of all threads from an upstream that said that it leaves. */
    void leaving(const model::VmId& vm);

    /** @brief Refuses all queued requests, and all later ones. */
    void refuseAll(kernel::ResultCode code);

private:
    void accept(const SubmissionPointer& submission, const model::Request& request, Reply reply);
    void deliver(const std::vector<admission::Decision>& decisions);
    void armExpiry();

    boost::asio::io_context& context;
    const kernel::Clock clock;
    admission::Dispatcher dispatcher;
    TicketBook tickets;
    LeavingObserver leavingObserver {};
    std::unordered_map<std::uint64_t, Reply> replies {};
    boost::asio::steady_timer expiryTimer;
    bool expiryArmed { false };
    kernel::ResultCode refusing { kernel::ResultCode::Ok };
};

} // namespace wasabiroad::traffic
