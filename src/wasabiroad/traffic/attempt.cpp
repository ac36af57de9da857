#include "wasabiroad/traffic/attempt.hpp"

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/http/message.hpp"
#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/traffic/decode.hpp"
#include "wasabiroad/traffic/headers.hpp"

#include <algorithm>
#include <memory>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace wasabiroad::traffic {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

/** Memory for one answer in transit; backpressure follows from writing each part before reading the next. */
constexpr std::size_t streamBufferBytes = 16384;
constexpr kernel::Duration connectTimeout { 1000 };
/** A caller that takes no part of its answer for this time is disconnected. */
constexpr kernel::Duration callerWriteTimeout { 30000 };

/** Interim answers (1xx) that are skipped before the final one. */
constexpr int maxInterimAnswers = 8;

using ForwardedResponse = beast::http::response<beast::http::buffer_body>;

beast::string_view view(std::string_view text) { return { text.data(), text.size() }; }

http::Request makeRequest(const Attempt& attempt, kernel::Duration remaining)
{
    const auto& request = attempt.request;
    auto message = http::makeRequest(beast::http::verb::post,
        "/run/" + request.service.text() + "/" + request.operation.text(), attempt.body);
    message.set(view(headers::attempt), attempt.id);
    message.set(view(headers::requestId), request.id.text());
    message.set(view(headers::deadline), std::to_string(remaining.milliseconds));
    return message;
}

using AnswerHeader = beast::http::response_header<beast::http::fields>;

bool saysNotStarted(const AnswerHeader& header)
{
    return header.result() == beast::http::status::service_unavailable
        && valueOf(header, headers::started) == "no";
}

/**
 * Copies the header of an upstream's answer without the fields that belong to one connection and
 * those by which the system itself speaks to callers.
 */
ForwardedResponse makeAnswer(const AnswerHeader& header, bool chunked, const Attempt& attempt)
{
    constexpr unsigned version = 11;
    ForwardedResponse answer { header.result(), version };
    for (const auto& field : header) {
        answer.insert(field.name_string(), field.value());
    }
    for (const auto field : { beast::http::field::connection, beast::http::field::keep_alive,
             beast::http::field::transfer_encoding, beast::http::field::trailer, beast::http::field::upgrade,
             beast::http::field::proxy_connection }) {
        answer.erase(field);
    }
    for (const auto name :
        { headers::attempt, headers::started, headers::leaving, headers::code, headers::outcome }) {
        answer.erase(view(name));
    }
    answer.set(view(headers::requestId), attempt.request.id.text());
    if (chunked) {
        // Called with false, it would remove the length, by which the caller sees a cut-off answer.
        answer.chunked(true);
    }
    answer.keep_alive(attempt.keepAlive);
    return answer;
}

// GCC 12 destroys aggregates twice that are initialised inside a co_return or co_await
// expression, so results are made by functions.

template <typename Ending>
AttemptResult ended(std::string_view stage, const boost::system::error_code& failed)
{
    return Ending { std::string { stage } + ": " + failed.message() };
}

template <typename Ending> AttemptResult ended(std::string reason) { return Ending { std::move(reason) }; }

AttemptResult answered(unsigned status) { return Answered { status }; }

} // namespace

admission::Outcome outcomeOf(const AttemptResult& result)
{
    constexpr unsigned firstServerError = 500;
    return std::visit(kernel::Overloaded {
                          [](const Answered& answered) {
                              return answered.status >= firstServerError ? admission::Outcome::Failed
                                                                         : admission::Outcome::Succeeded;
                          },
                          [](const NotStarted&) { return admission::Outcome::NotStarted; },
                          [](const Lost&) { return admission::Outcome::Lost; },
                          [](const Truncated&) { return admission::Outcome::Failed; },
                          [](const CallerLost&) { return admission::Outcome::Abandoned; },
                      },
        result);
}

asio::awaitable<std::variant<UpstreamConnectionPointer, AttemptResult>> Exchange::connect(
    const Attempt& attempt)
{
    // An idle connection can break between its check and its use, which leaves the outcome open. A new
    // connection takes the place of an idle one, so that non-idempotent work does not add idle connections.
    if (auto idle = this->pool.take(attempt.grant.address); idle && attempt.request.idempotent) {
        co_return idle;
    }
    const auto endpoint = http::parseEndpoint(attempt.grant.address);
    if (!endpoint) {
        co_return ended<NotStarted>("invalid address");
    }
    auto connection = this->pool.create();
    this->active = connection.get();
    boost::system::error_code failed;
    const auto remaining = attempt.request.deadline - kernel::now(this->clock);
    connection->stream.expires_after(std::min(connectTimeout, remaining).chrono());
    co_await connection->stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failed));
    this->active = nullptr;
    if (failed) {
        co_return ended<NotStarted>("connect", failed);
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), failed);
    co_return connection;
}

asio::awaitable<AttemptResult> Exchange::run(const Attempt& attempt, beast::tcp_stream& caller)
{
    this->aborted = false;
    auto connected = co_await connect(attempt);
    if (const auto* const result = std::get_if<AttemptResult>(&connected)) {
        co_return *result;
    }
    auto connection = std::get<UpstreamConnectionPointer>(std::move(connected));
    bool reusable = false;
    this->active = connection.get();
    auto result = co_await send(attempt, *connection, caller, reusable);
    this->active = nullptr;
    if (reusable) {
        connection->stream.expires_never();
        this->pool.keep(attempt.grant.address, std::move(connection));
    }
    co_return result;
}

asio::awaitable<AttemptResult> Exchange::send(
    const Attempt& attempt, UpstreamConnection& connection, beast::tcp_stream& caller, bool& reusable)
{
    const auto remaining = attempt.request.deadline - kernel::now(this->clock);
    if (this->aborted || remaining <= kernel::Duration {}) {
        co_return ended<NotStarted>("deadline passed or caller gone before the request was sent");
    }
    connection.stream.expires_after(remaining.chrono());
    const auto request = makeRequest(attempt, remaining);
    boost::system::error_code failed;
    const auto sent = co_await beast::http::async_write(
        connection.stream, request, asio::redirect_error(asio::use_awaitable, failed));
    if (failed && sent == 0) {
        co_return ended<NotStarted>("write", failed);
    }
    if (failed) {
        co_return ended<Lost>("write", failed);
    }
    co_return co_await receive(attempt, connection, caller, reusable);
}

asio::awaitable<boost::system::error_code> Exchange::readHeader(
    UpstreamConnection& connection, std::optional<Parser>& parser) const
{
    boost::system::error_code failed;
    for (int interim = 0; interim <= maxInterimAnswers; ++interim) {
        parser.emplace();
        parser->body_limit(boost::none);
        co_await beast::http::async_read_header(
            connection.stream, connection.buffer, *parser, asio::redirect_error(asio::use_awaitable, failed));
        const bool isInterim
            = beast::http::to_status_class(parser->get().result()) == beast::http::status_class::informational
            && parser->get().result() != beast::http::status::switching_protocols;
        if (failed || !isInterim) {
            co_return failed;
        }
    }
    co_return beast::http::make_error_code(beast::http::error::bad_status);
}

asio::awaitable<AttemptResult> Exchange::receive(
    const Attempt& attempt, UpstreamConnection& connection, beast::tcp_stream& caller, bool& reusable)
{
    std::optional<Parser> parser;
    if (const auto failed = co_await readHeader(connection, parser)) {
        co_return ended<Lost>("read", failed);
    }
    const AnswerHeader& header = parser->get();
    if (valueOf(header, headers::attempt) != attempt.id) {
        co_return ended<Lost>("answer of another attempt");
    }
    if (valueOf(header, headers::leaving) == "yes") {
        this->leaving(attempt.grant.vm);
    }
    if (saysNotStarted(header)) {
        co_return ended<NotStarted>("refused by upstream");
    }
    if (header.result() == beast::http::status::switching_protocols || parser->need_eof()) {
        // Without a length, the end of a broken connection looks like the end of the answer.
        co_return ended<Lost>("answer without a length");
    }
    auto result = co_await stream(attempt, connection, *parser, caller);
    reusable = parser->is_done() && parser->keep_alive() && connection.buffer.size() == 0;
    co_return result;
}

asio::awaitable<AttemptResult> Exchange::stream(
    const Attempt& attempt, UpstreamConnection& connection, Parser& parser, beast::tcp_stream& caller)
{
    const auto status = parser.get().result_int();
    auto answer = makeAnswer(parser.get(), parser.chunked(), attempt);
    beast::http::response_serializer<beast::http::buffer_body> serializer { answer };
    const auto buffer = std::make_unique_for_overwrite<char[]>(streamBufferBytes);
    boost::system::error_code failed;
    boost::system::error_code callerFailed;
    bool begun = false;
    while (!(callerFailed ? parser.is_done() : serializer.is_done())) {
        auto& target = parser.get().body();
        target.data = buffer.get();
        target.size = streamBufferBytes;
        if (!parser.is_done()) {
            co_await beast::http::async_read(connection.stream, connection.buffer, parser,
                asio::redirect_error(asio::use_awaitable, failed));
            if (failed && failed != beast::http::error::need_buffer) {
                if (begun) {
                    co_return ended<Truncated>("read", failed);
                }
                co_return ended<Lost>("read", failed);
            }
        }
        if (callerFailed) {
            continue;
        }
        answer.body().data = buffer.get();
        answer.body().size = streamBufferBytes - target.size;
        answer.body().more = !parser.is_done();
        begun = true;
        caller.expires_after(callerWriteTimeout.chrono());
        co_await beast::http::async_write(
            caller, serializer, asio::redirect_error(asio::use_awaitable, callerFailed));
        if (callerFailed == beast::http::error::need_buffer) {
            callerFailed = {};
        }
        if (callerFailed && attempt.stoppable) {
            break;
        }
    }
    if (callerFailed) {
        co_return ended<CallerLost>("caller", callerFailed);
    }
    co_return answered(status);
}

void Exchange::abort()
{
    this->aborted = true;
    if (this->active != nullptr) {
        this->active->stream.cancel();
    }
}

} // namespace wasabiroad::traffic
