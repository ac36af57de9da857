#include "wasabiroad/traffic/attempt.hpp"

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/http/message.hpp"
#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/traffic/decode.hpp"
#include "wasabiroad/traffic/headers.hpp"

#include <algorithm>
#include <array>
#include <memory>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/serializer.hpp>

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
    auto message = http::makeRequest(
        beast::http::verb::post, "/run/" + request.service.text() + "/" + request.operation.text());
    message.content_length(attempt.body.size());
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

/**
 * Serializes a header into one buffer. Beast would send each field as a buffer of its own, and
 * walking through these buffers costs more than copying them.
 */
template <bool isRequest, typename Body>
std::string headerText(beast::http::message<isRequest, Body, beast::http::fields>& message)
{
    beast::http::serializer<isRequest, Body, beast::http::fields> serializer { message };
    serializer.split(true);
    std::string text;
    boost::system::error_code ignored;
    serializer.next(ignored,
        [&](boost::system::error_code&, const auto& buffers) { text = beast::buffers_to_string(buffers); });
    return text;
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
    if (reusable && !this->aborted) {
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
    auto request = makeRequest(attempt, remaining);
    const auto header = headerText(request);
    const std::array<asio::const_buffer, 2> message { asio::buffer(header), asio::buffer(attempt.body) };
    boost::system::error_code failed;
    const auto sent = co_await asio::async_write(
        connection.stream, message, asio::redirect_error(asio::use_awaitable, failed));
    if (failed && sent == 0) {
        co_return ended<NotStarted>("write", failed);
    }
    if (failed) {
        co_return ended<Lost>("write", failed);
    }
    co_return co_await receive(attempt, connection, caller, reusable);
}

asio::awaitable<boost::system::error_code> Exchange::read(
    UpstreamConnection& connection, Parser& parser, Until until) const
{
    boost::system::error_code failed;
    while (true) {
        connection.buffer.consume(parser.put(connection.buffer.data(), failed));
        const bool reached = until == Until::Header ? parser.is_header_done() : parser.is_done();
        if (reached || failed == beast::http::error::need_buffer) {
            co_return boost::system::error_code {};
        }
        if (failed && failed != beast::http::error::need_more) {
            co_return failed;
        }
        const auto received = co_await connection.stream.async_read_some(
            connection.buffer.prepare(streamBufferBytes), asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            co_return failed;
        }
        connection.buffer.commit(received);
    }
}

asio::awaitable<boost::system::error_code> Exchange::readHeader(
    UpstreamConnection& connection, std::optional<Parser>& parser) const
{
    boost::system::error_code failed;
    for (int interim = 0; interim <= maxInterimAnswers; ++interim) {
        parser.emplace();
        parser->body_limit(boost::none);
        failed = co_await read(connection, *parser, Until::Header);
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
    const bool chunked = parser.chunked();
    auto answer = makeAnswer(parser.get(), chunked, attempt);
    auto header = headerText(answer);
    const auto buffer = std::make_unique_for_overwrite<char[]>(streamBufferBytes);
    boost::system::error_code callerFailed;
    bool begun = false;
    parser.eager(true);
    do {
        auto& target = parser.get().body();
        target.data = buffer.get();
        target.size = streamBufferBytes;
        if (!parser.is_done()) {
            if (const auto failed = co_await read(connection, parser, Until::FullBuffer)) {
                if (begun) {
                    co_return ended<Truncated>("read", failed);
                }
                co_return ended<Lost>("read", failed);
            }
        }
        if (callerFailed) {
            continue;
        }
        const asio::const_buffer part { buffer.get(), streamBufferBytes - target.size };
        begun = true;
        caller.expires_after(callerWriteTimeout.chrono());
        co_await write(caller, header, part, chunked, parser.is_done(), callerFailed);
        header.clear();
        if (callerFailed && attempt.stoppable) {
            break;
        }
    } while (!parser.is_done());
    if (callerFailed) {
        co_return ended<CallerLost>("caller", callerFailed);
    }
    co_return answered(parser.get().result_int());
}

asio::awaitable<void> Exchange::write(beast::tcp_stream& caller, const std::string& header,
    asio::const_buffer part, bool chunked, bool last, boost::system::error_code& failed)
{
    const auto begin = asio::buffer(header);
    if (!chunked) {
        const std::array<asio::const_buffer, 2> message { begin, part };
        co_await asio::async_write(caller, message, asio::redirect_error(asio::use_awaitable, failed));
        co_return;
    }
    if (part.size() > 0) {
        const auto message = beast::buffers_cat(begin, beast::http::make_chunk(part));
        co_await asio::async_write(caller, message, asio::redirect_error(asio::use_awaitable, failed));
    } else {
        co_await asio::async_write(caller, begin, asio::redirect_error(asio::use_awaitable, failed));
    }
    if (last && !failed) {
        const auto message = beast::http::make_chunk_last();
        co_await asio::async_write(caller, message, asio::redirect_error(asio::use_awaitable, failed));
    }
}

void Exchange::abort()
{
    this->aborted = true;
    if (this->active != nullptr) {
        // Cancelling would miss an operation that has ended but whose handler has not run yet.
        this->active->stream.close();
    }
}

} // namespace wasabiroad::traffic
