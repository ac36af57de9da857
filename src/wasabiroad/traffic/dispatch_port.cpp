#include "wasabiroad/traffic/dispatch_port.hpp"

#include <boost/asio/dispatch.hpp>

namespace wasabiroad::traffic {

using kernel::ResultCode;

namespace {

/** A queued request is refused at most this long after its deadline. */
constexpr kernel::Duration expiryInterval { 10 };

} // namespace

DispatchPort::DispatchPort(
    boost::asio::io_context& ioContext, kernel::Clock portClock, std::uint64_t seed, TicketBook ticketBook)
    : context(ioContext)
    , clock(portClock)
    , dispatcher(seed)
    , tickets(std::move(ticketBook))
    , expiryTimer(ioContext)
{
}

void DispatchPort::update(const model::RoutingSnapshotPointer& snapshot)
{
    deliver(this->dispatcher.update(snapshot, kernel::now(this->clock)));
}

void DispatchPort::issueTicket(TicketReply reply)
{
    boost::asio::dispatch(this->context, [this, reply = std::move(reply)] {
        const auto ticket = this->tickets.issue();
        reply(ticket, this->tickets.text(ticket));
    });
}

DispatchPort::SubmissionPointer DispatchPort::submit(
    model::Request request, const Safeguard& safeguard, Reply reply)
{
    auto submission = std::make_shared<Submission>();
    const auto* const needed = std::get_if<NeedsTicket>(&safeguard);
    boost::asio::dispatch(this->context,
        [this, submission, request = std::move(request), ticket = needed == nullptr ? "" : needed->ticket,
            needsTicket = needed != nullptr, reply = std::move(reply)]() mutable {
            if (submission->cancelled) {
                return;
            }
            if (this->refusing != ResultCode::Ok) {
                reply(admission::Refusal { {}, this->refusing });
                return;
            }
            const auto redeemed = needsTicket ? this->tickets.redeem(ticket) : ResultCode::Ok;
            if (redeemed == ResultCode::AlreadyRun) {
                reply(admission::Unresolved { {}, redeemed });
            } else if (redeemed != ResultCode::Ok) {
                reply(admission::Refusal { {}, redeemed });
            } else {
                accept(submission, request, std::move(reply));
            }
        });
    return submission;
}

void DispatchPort::accept(const SubmissionPointer& submission, const model::Request& request, Reply reply)
{
    const auto submitted = this->dispatcher.submit(request, kernel::now(this->clock));
    submission->handle = submitted.handle;
    this->replies.emplace(submitted.handle.value, std::move(reply));
    deliver(submitted.decisions);
    armExpiry();
}

void DispatchPort::finish(const SubmissionPointer& submission, admission::Outcome outcome)
{
    boost::asio::dispatch(this->context, [this, submission, outcome] {
        const bool mayContinue
            = outcome == admission::Outcome::NotStarted || outcome == admission::Outcome::Lost;
        if (!mayContinue || submission->cancelled) {
            this->replies.erase(submission->handle.value);
        }
        deliver(this->dispatcher.finish(submission->handle, outcome, kernel::now(this->clock)));
        if (this->refusing != ResultCode::Ok) {
            // A request that returned to its queue during a shutdown is refused like the others.
            deliver(this->dispatcher.refuseAll(this->refusing));
        }
        armExpiry();
    });
}

void DispatchPort::cancel(const SubmissionPointer& submission)
{
    boost::asio::dispatch(this->context, [this, submission] {
        submission->cancelled = true;
        this->dispatcher.cancel(submission->handle);
        this->replies.erase(submission->handle.value);
    });
}

void DispatchPort::leaving(const model::VmId& vm)
{
    boost::asio::dispatch(this->context, [this, vm] {
        if (this->dispatcher.leaving(vm) && this->leavingObserver) {
            this->leavingObserver(vm);
        }
    });
}

void DispatchPort::refuseAll(kernel::ResultCode code)
{
    boost::asio::dispatch(this->context, [this, code] {
        this->refusing = code;
        deliver(this->dispatcher.refuseAll(code));
    });
}

void DispatchPort::deliver(const std::vector<admission::Decision>& decisions)
{
    for (const auto& decision : decisions) {
        const auto found = this->replies.find(admission::handleOf(decision).value);
        if (found == this->replies.end()) {
            continue;
        }
        // A reply can finish its request at once, which removes it from the map.
        const auto reply = found->second;
        if (!std::holds_alternative<admission::Grant>(decision)) {
            this->replies.erase(found);
        }
        reply(decision);
    }
}

void DispatchPort::armExpiry()
{
    if (this->expiryArmed || this->dispatcher.queued() == 0) {
        return;
    }
    this->expiryArmed = true;
    this->expiryTimer.expires_after(expiryInterval.chrono());
    this->expiryTimer.async_wait([this](boost::system::error_code failed) {
        this->expiryArmed = false;
        if (failed) {
            return;
        }
        deliver(this->dispatcher.expire(kernel::now(this->clock)));
        armExpiry();
    });
}

} // namespace wasabiroad::traffic
