#include "wasabiroad/traffic/session.hpp"

#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/traffic/caller_watch.hpp"
#include "wasabiroad/traffic/headers.hpp"

#include <array>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace wasabiroad::traffic {

namespace asio = boost::asio;
namespace beast = boost::beast;
using kernel::ResultCode;
using lifecycle::RequestEvent;
using lifecycle::RequestState;

namespace {

/** Space for the first read of a request; most requests fit and need no second read. */
constexpr std::size_t firstReadBytes = 4096;

/** Time and bytes for which unread input of a refused request is discarded before the connection closes. */
constexpr kernel::Duration lingerTimeout { 1000 };
constexpr std::size_t lingerBytes = 16777216;

/** A connection that ends or times out gets no answer; a malformed request does. */
bool isMalformed(boost::system::error_code failed)
{
    const auto& category = beast::http::make_error_code(beast::http::error::bad_method).category();
    return failed.category() == category && failed != beast::http::error::end_of_stream
        && failed != beast::http::error::partial_message;
}

void logPlacement(const model::Request& request, const admission::Grant& grant)
{
    kernel::logEvent("placement",
        { { "request", request.id.text() }, { "service", request.service.text() },
            { "snapshot", grant.snapshot }, { "candidates", grant.candidates }, { "chosen", grant.vm.text() },
            { "reason", grant.reason }, { "code", 0 } });
}

void logCancelled(const model::Request& request, RequestState state)
{
    kernel::logEvent("request-cancelled", { { "request", request.id.text() }, { "state", name(state) } });
}

void logRefusal(const SystemAnswer& answer)
{
    kernel::logEvent("refusal",
        { { "request", answer.request.text() }, { "chosen", "none" }, { "code", number(answer.code) },
            { "reason", kernel::name(answer.code) },
            { "outcome", answer.certainty == Certainty::NotRun ? "not-run" : "unknown" },
            { "detail", answer.detail } });
}

} // namespace

Session::Session(asio::ip::tcp::socket socket, std::shared_ptr<ThreadState> threadState,
    const Environment& sessionEnvironment)
    : stream(std::move(socket))
    , thread(std::move(threadState))
    , environment(sessionEnvironment)
    , exchange(this->thread->pool, sessionEnvironment.clock,
          [&port = sessionEnvironment.port](const model::VmId& vm) { port.leaving(vm); })
    , decisionTimer(this->thread->context)
{
    ++this->thread->sessions;
}

Session::~Session() { --this->thread->sessions; }

std::shared_ptr<Session> Session::create(
    asio::ip::tcp::socket socket, const std::shared_ptr<ThreadState>& thread, const Environment& environment)
{
    auto* const session = new Session { std::move(socket), thread, environment };
    return { session, [&context = thread->context](Session* ended) {
                asio::dispatch(context, [owned = std::unique_ptr<Session> { ended }] {});
            } };
}

std::string Session::makeId() { return this->thread->idPrefix + std::to_string(this->thread->nextId++); }

void Session::closeIfIdle(kernel::Instant idleBefore)
{
    if (this->idle && this->idleSince < idleBefore) {
        this->stream.cancel();
    }
}

asio::awaitable<void> Session::run()
{
    const auto self = shared_from_this();
    bool open = true;
    while (open) {
        Parser parser;
        parser.header_limit(this->environment.limits.headerBytes);
        parser.body_limit(this->environment.limits.bodyBytes);
        open = co_await readRequest(parser) && co_await serve(parser);
    }
    boost::system::error_code ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool> Session::waitForRequest()
{
    boost::system::error_code failed;
    this->idle = true;
    this->idleSince = kernel::now(this->environment.clock);
    this->stream.expires_after(this->environment.limits.idleTimeout.chrono());
    auto received = co_await this->stream.async_read_some(
        this->buffer.prepare(firstReadBytes), asio::redirect_error(asio::use_awaitable, failed));
    this->idle = false;
    if (failed == asio::error::operation_aborted) {
        // A request that arrived just before the shutdown cancelled the read is still served.
        this->stream.socket().non_blocking(true, failed);
        received = this->stream.socket().read_some(this->buffer.prepare(firstReadBytes), failed);
    }
    this->buffer.commit(received);
    co_return !failed;
}

asio::awaitable<boost::system::error_code> Session::readMessage(Parser& parser)
{
    // Most requests arrive whole. Parsing what is there avoids an asynchronous operation with its
    // timer and its post for the header and another one for the body.
    boost::system::error_code failed;
    bool proceeded = false;
    parser.eager(true);
    while (true) {
        this->buffer.consume(parser.put(this->buffer.data(), failed));
        if (parser.is_done() || (failed && failed != beast::http::error::need_more)) {
            co_return failed;
        }
        if (parser.is_header_done() && !proceeded
            && beast::iequals(parser.get()[beast::http::field::expect], "100-continue")) {
            constexpr std::string_view proceed { "HTTP/1.1 100 Continue\r\n\r\n" };
            proceeded = true;
            co_await asio::async_write(
                this->stream, asio::buffer(proceed), asio::redirect_error(asio::use_awaitable, failed));
        }
        const auto received = co_await this->stream.async_read_some(
            this->buffer.prepare(firstReadBytes), asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            co_return failed;
        }
        this->buffer.commit(received);
    }
}

asio::awaitable<bool> Session::readRequest(Parser& parser)
{
    if (this->buffer.size() == 0 && !co_await waitForRequest()) {
        co_return false;
    }
    this->stream.expires_after(this->environment.limits.headerTimeout.chrono());
    const auto failed = co_await readMessage(parser);
    if (!failed) {
        co_return true;
    }
    if (failed == beast::http::error::body_limit) {
        const SystemAnswer refused { .code = ResultCode::BodyTooLarge,
            .detail = "at most " + std::to_string(this->environment.limits.bodyBytes) + " bytes" };
        co_await answer(refused, false);
        co_await closeGently();
    } else if (isMalformed(failed)) {
        const SystemAnswer refused { .code = ResultCode::MalformedRequest, .detail = failed.message() };
        co_await answer(refused, false);
        co_await closeGently();
    }
    co_return false;
}

asio::awaitable<void> Session::closeGently()
{
    // Closing a socket with unread input resets the connection, and the caller would lose the answer.
    boost::system::error_code failed;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failed);
    this->stream.expires_after(lingerTimeout.chrono());
    std::size_t discarded = 0;
    while (!failed && discarded < lingerBytes) {
        this->buffer.clear();
        discarded += co_await this->stream.async_read_some(
            this->buffer.prepare(firstReadBytes), asio::redirect_error(asio::use_awaitable, failed));
    }
}

asio::awaitable<bool> Session::serve(Parser& parser)
{
    this->stream.expires_never();
    this->state = RequestState::Received;
    const bool keepAlive = parser.get().keep_alive() && !this->thread->closing;
    if (asksForTicket(parser.get())) {
        co_return co_await serveTicket(parser.get(), keepAlive);
    }
    const model::RequestId fallbackId { makeId() };
    const auto decoded
        = decode(parser.get(), this->thread->snapshot, fallbackId, kernel::now(this->environment.clock));
    if (!decoded) {
        advance(RequestEvent::Rejected);
        const auto& error = decoded.error();
        const SystemAnswer refused { .request = requestIdOf(parser.get(), fallbackId),
            .code = error.code,
            .detail = error.where + (error.found.empty() ? "" : ": " + error.found) };
        co_return co_await answer(refused, keepAlive);
    }
    co_return co_await dispatch(*decoded, parser.get().body(), keepAlive);
}

asio::awaitable<bool> Session::serveTicket(const RequestHeader& header, bool keepAlive)
{
    if (header.method() != beast::http::verb::post) {
        const SystemAnswer refused { .code = ResultCode::MethodNotAllowed, .detail = "/tickets allows POST" };
        co_return co_await answer(refused, keepAlive);
    }
    if (this->thread->closing) {
        const SystemAnswer refused { .code = ResultCode::Stopping };
        co_return co_await answer(refused, keepAlive);
    }
    std::optional<http::Response> response;
    this->environment.port.issueTicket(
        [self = shared_from_this(), &response, keepAlive](const Ticket& ticket, const std::string& text) {
            asio::dispatch(self->thread->context, [self, &response, ticket, text, keepAlive] {
                response.emplace(encode(ticket, text, keepAlive));
                self->decisionTimer.cancel();
            });
        });
    while (!response) {
        this->decisionTimer.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code ignored;
        co_await this->decisionTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return co_await send(*response, keepAlive);
}

asio::awaitable<bool> Session::dispatch(
    const DecodedRequest& decoded, const std::string& body, bool keepAlive)
{
    const auto& request = decoded.request;
    this->gone = false;
    this->claimHeld = false;
    this->decision.reset();
    this->submission = this->environment.port.submit(
        request, decoded.safeguard, [self = shared_from_this()](const admission::Decision& made) {
            asio::dispatch(self->thread->context, [self, made] { self->receive(made); });
        });
    const CallerWatch watch { this->stream.socket(), [this, &decoded] { callerGone(decoded.stoppable); } };
    advance(RequestEvent::Enqueued);
    while (const auto made = co_await nextDecision()) {
        if (const auto* const grant = std::get_if<admission::Grant>(&*made)) {
            const auto after = co_await attemptGranted(decoded, body, *grant, keepAlive);
            if (after == Next::WaitForDecision) {
                continue;
            }
            co_return keepAlive&& after == Next::Answered;
        }
        if (const auto* const refusal = std::get_if<admission::Refusal>(&*made)) {
            advance(RequestEvent::Rejected);
            const SystemAnswer refused { request.id, refusal->code, Certainty::NotRun, refusal->retryAfter,
                refusal->reason };
            co_return co_await answer(refused, keepAlive);
        }
        const auto& unresolved = std::get<admission::Unresolved>(*made);
        const SystemAnswer unknown { request.id, unresolved.code, Certainty::Unknown, {}, unresolved.reason };
        co_return co_await answer(unknown, keepAlive);
    }
    logCancelled(request, this->state);
    co_return false;
}

asio::awaitable<Session::Next> Session::attemptGranted(
    const DecodedRequest& decoded, const std::string& body, const admission::Grant& grant, bool keepAlive)
{
    advance(RequestEvent::SlotGranted);
    logPlacement(decoded.request, grant);
    const auto* const needed = std::get_if<NeedsClaim>(&decoded.safeguard);
    if (needed != nullptr && !this->claimHeld) {
        const auto refused = co_await claimRequest(decoded.request, *needed);
        if (refused) {
            this->environment.port.finish(this->submission, admission::Outcome::Abandoned);
            advance(RequestEvent::Rejected);
            co_return co_await answer(*refused, keepAlive) ? Next::Answered : Next::Close;
        }
        this->claimHeld = true;
    }
    if (this->gone) {
        this->environment.port.finish(this->submission, admission::Outcome::Abandoned);
        advance(RequestEvent::CallerGone);
        logCancelled(decoded.request, this->state);
        co_return Next::Close;
    }
    co_return co_await execute(decoded, body, grant, keepAlive);
}

asio::awaitable<std::optional<SystemAnswer>> Session::claimRequest(
    const model::Request& request, const NeedsClaim& needed)
{
    const auto remaining = request.deadline - kernel::now(this->environment.clock);
    if (remaining <= kernel::Duration {}) {
        const SystemAnswer late { .request = request.id, .code = ResultCode::DeadlineExceeded };
        co_return late;
    }
    const auto result = co_await claim(this->environment.store, needed.key, makeId(), remaining);
    const auto refused
        = std::visit(kernel::Overloaded {
                         [](const Claimed&) -> std::optional<SystemAnswer> { return std::nullopt; },
                         [&](const ClaimedByOther&) -> std::optional<SystemAnswer> {
                             return SystemAnswer { request.id, ResultCode::AlreadyRun, Certainty::Unknown, {},
                                 "another attempt holds the claim" };
                         },
                         [&](const ClaimUnavailable& failed) -> std::optional<SystemAnswer> {
                             return SystemAnswer { request.id, failed.code, Certainty::NotRun, {},
                                 "the claim could not be made" };
                         },
                     },
            result);
    co_return refused;
}

asio::awaitable<Session::Next> Session::execute(
    const DecodedRequest& decoded, const std::string& body, const admission::Grant& grant, bool keepAlive)
{
    const auto& request = decoded.request;
    const auto started = kernel::now(this->environment.clock);
    this->thread->metrics.waited(request.service, started - request.arrival);
    advance(RequestEvent::SendStarted);
    const Attempt attempt { request, grant, makeId(), body, keepAlive, decoded.stoppable };
    const auto result = co_await this->exchange.run(attempt, this->stream);
    this->stream.expires_never();
    if (this->gone) {
        advance(RequestEvent::CallerGone);
        record(attempt, result, started);
        this->environment.port.finish(this->submission, admission::Outcome::Abandoned);
        logCancelled(request, this->state);
        co_return Next::Close;
    }
    const auto after = settle(request, result);
    record(attempt, result, started);
    this->environment.port.finish(this->submission, outcomeOf(result));
    co_return after;
}

Session::Next Session::settle(const model::Request& request, const AttemptResult& result)
{
    return std::visit(
        kernel::Overloaded {
            [&](const Answered&) {
                advance(RequestEvent::AnswerStarted);
                advance(RequestEvent::AnswerFinished);
                return Next::Answered;
            },
            [&](const NotStarted&) {
                advance(RequestEvent::NotStarted);
                return Next::WaitForDecision;
            },
            [&](const Lost&) {
                advance(request.idempotent ? RequestEvent::RetryAllowed : RequestEvent::OutcomeUnknown);
                return Next::WaitForDecision;
            },
            [&](const Truncated&) {
                advance(RequestEvent::AnswerStarted);
                advance(RequestEvent::AnswerTruncated);
                return Next::Close;
            },
            [&](const CallerLost&) {
                advance(RequestEvent::AnswerStarted);
                advance(RequestEvent::CallerGone);
                return Next::Close;
            },
        },
        result);
}

void Session::record(const Attempt& attempt, const AttemptResult& result, kernel::Instant started)
{
    const auto& request = attempt.request;
    const auto reason
        = std::visit(kernel::Overloaded {
                         [](const Answered& answered) { return std::to_string(answered.status); },
                         [](const auto& failure) { return failure.reason; },
                     },
            result);
    kernel::logEvent("attempt-finished",
        { { "request", request.id.text() }, { "attempt", attempt.id }, { "vm", attempt.grant.vm.text() },
            { "state", name(this->state) }, { "result", reason },
            { "milliseconds", (kernel::now(this->environment.clock) - started).milliseconds } });
    this->thread->metrics.attempted(request.service, this->state);
}

asio::awaitable<std::optional<admission::Decision>> Session::nextDecision()
{
    while (!this->decision && !this->gone) {
        this->decisionTimer.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code ignored;
        co_await this->decisionTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    std::optional<admission::Decision> made;
    if (this->decision) {
        made.emplace(*this->decision);
        this->decision.reset();
    }
    co_return made;
}

void Session::receive(const admission::Decision& made)
{
    if (this->gone) {
        if (std::holds_alternative<admission::Grant>(made)) {
            this->environment.port.finish(this->submission, admission::Outcome::Abandoned);
        }
        return;
    }
    this->decision.emplace(made);
    this->decisionTimer.cancel();
}

void Session::callerGone(bool stoppable)
{
    if (this->state == RequestState::Queued && !this->decision) {
        this->gone = true;
        advance(RequestEvent::CallerGone);
        this->environment.port.cancel(this->submission);
        this->decisionTimer.cancel();
    } else if (this->state == RequestState::Queued || this->state == RequestState::Granted) {
        // A slot is held; the session gives it back before it sends the request.
        this->gone = true;
    } else if (stoppable && this->state == RequestState::Sent) {
        this->gone = true;
        this->exchange.abort();
    }
}

void Session::advance(RequestEvent event)
{
    if (const auto reached = lifecycle::next(this->state, event)) {
        this->state = *reached;
    }
}

asio::awaitable<bool> Session::answer(const SystemAnswer& systemAnswer, bool keepAlive)
{
    logRefusal(systemAnswer);
    this->thread->metrics.refused(systemAnswer.code);
    const auto response = encode(systemAnswer, keepAlive);
    co_return co_await send(response, keepAlive);
}

asio::awaitable<bool> Session::send(const http::Response& response, bool keepAlive)
{
    boost::system::error_code failed;
    this->stream.expires_after(this->environment.limits.headerTimeout.chrono());
    co_await beast::http::async_write(
        this->stream, response, asio::redirect_error(asio::use_awaitable, failed));
    co_return !failed && keepAlive;
}

} // namespace wasabiroad::traffic
