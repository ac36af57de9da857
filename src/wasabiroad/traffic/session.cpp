#include "wasabiroad/traffic/session.hpp"

#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/traffic/caller_watch.hpp"
#include "wasabiroad/traffic/decode.hpp"

#include <algorithm>

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

const model::Operation* findOperation(
    const model::RoutingSnapshotPointer& snapshot, const model::Request& request)
{
    const auto service = snapshot->services.find(request.service);
    if (service == snapshot->services.end()) {
        return nullptr;
    }
    const auto& operations = service->second.service.operations;
    const auto found = std::ranges::find(operations, request.operation, &model::Operation::id);
    return found == operations.end() ? nullptr : &*found;
}

/** Space for the first read of a request; most requests fit and need no second read. */
constexpr std::size_t firstReadBytes = 4096;

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

void logRefusal(const SystemAnswer& answer)
{
    kernel::logEvent("refusal",
        { { "request", answer.request.text() }, { "chosen", "none" }, { "code", number(answer.code) },
            { "reason", kernel::name(answer.code) },
            { "outcome", answer.certainty == Certainty::NotRun ? "not-run" : "unknown" },
            { "detail", answer.detail } });
}

} // namespace

Session::Session(asio::ip::tcp::socket socket, ThreadState& threadState, DispatchPort& dispatchPort,
    const settings::Limits& sessionLimits, kernel::Clock sessionClock, metrics::Metrics& daemonMetrics)
    : stream(std::move(socket))
    , thread(threadState)
    , port(dispatchPort)
    , limits(sessionLimits)
    , clock(sessionClock)
    , metrics(daemonMetrics)
    , exchange(threadState.pool)
    , decisionTimer(threadState.context)
{
    ++this->thread.sessions;
}

Session::~Session() { --this->thread.sessions; }

std::shared_ptr<Session> Session::create(asio::ip::tcp::socket socket, ThreadState& thread,
    DispatchPort& port, const settings::Limits& limits, kernel::Clock clock, metrics::Metrics& metrics)
{
    auto* const session = new Session { std::move(socket), thread, port, limits, clock, metrics };
    return { session, [&context = thread.context](Session* ended) {
                asio::dispatch(context, [owned = std::unique_ptr<Session> { ended }] {});
            } };
}

std::string Session::makeId() { return this->thread.idPrefix + std::to_string(this->thread.nextId++); }

void Session::closeIfIdle()
{
    if (this->idle) {
        this->stream.cancel();
    }
}

asio::awaitable<void> Session::run()
{
    const auto self = shared_from_this();
    bool open = true;
    while (open) {
        Parser parser;
        parser.header_limit(this->limits.headerBytes);
        parser.body_limit(this->limits.bodyBytes);
        open = co_await readRequest(parser) && co_await serve(parser);
    }
    boost::system::error_code ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool> Session::readRequest(Parser& parser)
{
    boost::system::error_code failed;
    if (this->buffer.size() == 0) {
        this->idle = true;
        this->stream.expires_after(this->limits.idleTimeout.chrono());
        const auto received = co_await this->stream.async_read_some(
            this->buffer.prepare(firstReadBytes), asio::redirect_error(asio::use_awaitable, failed));
        this->idle = false;
        if (failed) {
            co_return false;
        }
        this->buffer.commit(received);
    }
    this->stream.expires_after(this->limits.headerTimeout.chrono());
    co_await beast::http::async_read(
        this->stream, this->buffer, parser, asio::redirect_error(asio::use_awaitable, failed));
    if (!failed) {
        co_return true;
    }
    if (failed == beast::http::error::body_limit) {
        const SystemAnswer refused { .code = ResultCode::BodyTooLarge,
            .detail = "at most " + std::to_string(this->limits.bodyBytes) + " bytes" };
        co_await answer(refused, false);
    } else if (isMalformed(failed)) {
        const SystemAnswer refused { .code = ResultCode::MalformedRequest, .detail = failed.message() };
        co_await answer(refused, false);
    }
    co_return false;
}

asio::awaitable<bool> Session::serve(Parser& parser)
{
    this->stream.expires_never();
    this->state = RequestState::Received;
    const bool keepAlive = parser.get().keep_alive() && !this->thread.closing;
    const auto request = decode(
        parser.get(), this->thread.snapshot, model::RequestId { makeId() }, kernel::now(this->clock));
    if (!request) {
        advance(RequestEvent::Rejected);
        const auto& error = request.error();
        const SystemAnswer refused { .code = error.code,
            .detail = error.where + (error.found.empty() ? "" : ": " + error.found) };
        co_return co_await answer(refused, keepAlive);
    }
    co_return co_await dispatch(*request, parser.get().body(), keepAlive);
}

asio::awaitable<bool> Session::dispatch(
    const model::Request& request, const std::string& body, bool keepAlive)
{
    this->gone = false;
    this->decision.reset();
    this->submission
        = this->port.submit(request, [self = shared_from_this()](const admission::Decision& made) {
              asio::dispatch(self->thread.context, [self, made] { self->receive(made); });
          });
    const CallerWatch watch { this->stream.socket(), [this, &request] { callerGone(request); } };
    advance(RequestEvent::Enqueued);
    while (!this->gone) {
        const auto made = co_await nextDecision();
        if (this->gone) {
            break;
        }
        if (const auto* const grant = std::get_if<admission::Grant>(&made)) {
            const bool ended = co_await execute(request, body, *grant, keepAlive);
            if (ended) {
                co_return keepAlive&& this->state == RequestState::Answered;
            }
            continue;
        }
        if (const auto* const refusal = std::get_if<admission::Refusal>(&made)) {
            advance(RequestEvent::Rejected);
            const SystemAnswer refused { request.id, refusal->code, Certainty::NotRun, refusal->retryAfter,
                refusal->reason };
            co_return co_await answer(refused, keepAlive);
        }
        const auto& unresolved = std::get<admission::Unresolved>(made);
        const SystemAnswer unknown { request.id, unresolved.code, Certainty::Unknown, {}, unresolved.reason };
        co_return co_await answer(unknown, keepAlive);
    }
    kernel::logEvent(
        "request-cancelled", { { "request", request.id.text() }, { "state", name(this->state) } });
    co_return false;
}

asio::awaitable<bool> Session::execute(
    const model::Request& request, const std::string& body, const admission::Grant& grant, bool keepAlive)
{
    advance(RequestEvent::SlotGranted);
    logPlacement(request, grant);
    const auto started = kernel::now(this->clock);
    this->metrics.observe("wasabiroad_wait_milliseconds", { { "service", request.service.text() } },
        static_cast<double>((started - request.arrival).milliseconds));
    advance(RequestEvent::SendStarted);
    const Attempt attempt { request, grant, makeId(), body, keepAlive };
    const auto result = co_await this->exchange.run(attempt, this->stream, started);
    this->stream.expires_never();
    const auto ended = std::visit(
        kernel::Overloaded {
            [&](const Answered&) {
                advance(RequestEvent::AnswerStarted);
                advance(RequestEvent::AnswerFinished);
                return true;
            },
            [&](const NotStarted&) {
                advance(RequestEvent::NotStarted);
                return false;
            },
            [&](const Lost&) {
                advance(request.idempotent ? RequestEvent::RetryAllowed : RequestEvent::OutcomeLost);
                return false;
            },
            [&](const Truncated&) {
                advance(RequestEvent::AnswerStarted);
                advance(RequestEvent::AnswerCutOff);
                return true;
            },
        },
        result);
    const auto reason
        = std::visit(kernel::Overloaded {
                         [](const Answered& answered) { return std::to_string(answered.status); },
                         [](const auto& failure) { return failure.reason; },
                     },
            result);
    kernel::logEvent("attempt-finished",
        { { "request", request.id.text() }, { "attempt", attempt.id }, { "vm", grant.vm.text() },
            { "state", name(this->state) }, { "result", reason },
            { "milliseconds", (kernel::now(this->clock) - started).milliseconds } });
    this->metrics.count("wasabiroad_attempts_total",
        { { "service", request.service.text() }, { "state", std::string { name(this->state) } } });
    this->port.finish(this->submission, this->gone ? admission::Outcome::Abandoned : outcomeOf(result));
    co_return ended || this->gone;
}

asio::awaitable<admission::Decision> Session::nextDecision()
{
    if (!this->decision && !this->gone) {
        this->decisionTimer.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code ignored;
        co_await this->decisionTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (!this->decision) {
        const admission::Refusal cancelled { {}, ResultCode::Cancelled };
        co_return cancelled;
    }
    const admission::Decision made = *this->decision;
    this->decision.reset();
    co_return made;
}

void Session::receive(const admission::Decision& made)
{
    if (this->gone) {
        if (std::holds_alternative<admission::Grant>(made)) {
            this->port.finish(this->submission, admission::Outcome::Abandoned);
        }
        return;
    }
    this->decision.emplace(made);
    this->decisionTimer.cancel();
}

void Session::callerGone(const model::Request& request)
{
    const bool waiting = this->state == RequestState::Queued && !this->decision;
    const auto* const operation = findOperation(this->thread.snapshot, request);
    if (waiting) {
        this->gone = true;
        advance(RequestEvent::CallerGone);
        this->port.cancel(this->submission);
        this->decisionTimer.cancel();
    } else if (operation != nullptr && operation->stoppable && this->state == RequestState::Sent) {
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
    this->metrics.count(
        "wasabiroad_refusals_total", { { "code", std::string { kernel::name(systemAnswer.code) } } });
    auto response = encode(systemAnswer, keepAlive);
    boost::system::error_code failed;
    this->stream.expires_after(this->limits.headerTimeout.chrono());
    co_await beast::http::async_write(
        this->stream, response, asio::redirect_error(asio::use_awaitable, failed));
    co_return !failed && keepAlive;
}

} // namespace wasabiroad::traffic
