#include "wasabiroad/traffic/dispatch_port.hpp"

#include <boost/asio/dispatch.hpp>

namespace wasabiroad::traffic {

namespace {

/** A queued request is refused at most this long after its deadline. */
constexpr kernel::Duration expiryInterval { 10 };

} // namespace

DispatchPort::DispatchPort(boost::asio::io_context& ioContext, kernel::Clock portClock, std::uint64_t seed)
    : context(ioContext)
    , clock(portClock)
    , dispatcher(seed)
    , expiryTimer(ioContext)
{
}

void DispatchPort::update(const model::RoutingSnapshotPointer& snapshot)
{
    deliver(this->dispatcher.update(snapshot, kernel::now(this->clock)));
}

DispatchPort::SubmissionPointer DispatchPort::submit(model::Request request, Reply reply)
{
    auto submission = std::make_shared<Submission>();
    boost::asio::dispatch(
        this->context, [this, submission, request = std::move(request), reply = std::move(reply)]() mutable {
            if (submission->cancelled) {
                return;
            }
            if (this->refusing != kernel::ResultCode::Ok) {
                reply(admission::Refusal { {}, this->refusing });
                return;
            }
            const auto submitted = this->dispatcher.submit(request, kernel::now(this->clock));
            submission->handle = submitted.handle;
            this->replies.emplace(submitted.handle.value, std::move(reply));
            deliver(submitted.decisions);
            armExpiry();
        });
    return submission;
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
        if (std::holds_alternative<admission::Grant>(decision)) {
            found->second(decision);
            continue;
        }
        const auto reply = std::move(found->second);
        this->replies.erase(found);
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
