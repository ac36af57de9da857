#include "wasabiroad/traffic/attempt.hpp"

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/http/message.hpp"
#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/traffic/decode.hpp"
#include "wasabiroad/traffic/headers.hpp"

#include <array>

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

using Parser = beast::http::response_parser<beast::http::buffer_body>;
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

bool saysNotStarted(const Parser& parser)
{
    return parser.get().result() == beast::http::status::service_unavailable
        && valueOf(parser.get(), headers::started) == "no";
}

/** Copies the header of an upstream's answer without the fields that belong to one connection. */
ForwardedResponse makeAnswer(const Parser& parser, const Attempt& attempt)
{
    constexpr unsigned version = 11;
    ForwardedResponse answer { parser.get().result(), version };
    for (const auto& field : parser.get()) {
        answer.insert(field.name_string(), field.value());
    }
    answer.erase(beast::http::field::connection);
    answer.erase(beast::http::field::keep_alive);
    answer.erase(beast::http::field::transfer_encoding);
    answer.erase(view(headers::attempt));
    answer.set(view(headers::requestId), attempt.request.id.text());
    if (!parser.content_length()) {
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
                      },
        result);
}

asio::awaitable<std::variant<UpstreamConnectionPointer, AttemptResult>> Exchange::connect(
    const Attempt& attempt)
{
    // An idle connection can break between its check and its use, which leaves the outcome open.
    if (attempt.request.idempotent) {
        if (auto connection = this->pool.take(attempt.grant.address)) {
            co_return connection;
        }
    }
    const auto endpoint = http::parseEndpoint(attempt.grant.address);
    if (!endpoint) {
        co_return ended<NotStarted>("invalid address");
    }
    auto connection = this->pool.create();
    boost::system::error_code failed;
    connection->stream.expires_after(connectTimeout.chrono());
    co_await connection->stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        co_return ended<NotStarted>("connect", failed);
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), failed);
    co_return connection;
}

asio::awaitable<AttemptResult> Exchange::run(
    const Attempt& attempt, beast::tcp_stream& caller, kernel::Instant now)
{
    auto connected = co_await connect(attempt);
    if (const auto* const result = std::get_if<AttemptResult>(&connected)) {
        co_return *result;
    }
    auto connection = std::get<UpstreamConnectionPointer>(std::move(connected));
    this->active = connection.get();
    connection->stream.expires_after((attempt.request.deadline - now).chrono());
    const auto request = makeRequest(attempt, attempt.request.deadline - now);
    boost::system::error_code failed;
    const auto sent = co_await beast::http::async_write(
        connection->stream, request, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        this->active = nullptr;
        if (sent == 0) {
            co_return ended<NotStarted>("write", failed);
        }
        co_return ended<Lost>("write", failed);
    }
    bool reusable = false;
    auto result = co_await forward(attempt, *connection, caller, reusable);
    this->active = nullptr;
    if (reusable) {
        connection->stream.expires_never();
        this->pool.keep(attempt.grant.address, std::move(connection), attempt.grant.connections);
    }
    co_return result;
}

asio::awaitable<AttemptResult> Exchange::forward(
    const Attempt& attempt, UpstreamConnection& connection, beast::tcp_stream& caller, bool& reusable)
{
    boost::system::error_code failed;
    Parser parser;
    parser.body_limit(boost::none);
    co_await beast::http::async_read_header(
        connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        co_return ended<Lost>("read", failed);
    }
    if (valueOf(parser.get(), headers::attempt) != attempt.id) {
        co_return ended<Lost>("answer of another attempt");
    }
    if (saysNotStarted(parser)) {
        co_return ended<NotStarted>("refused by upstream");
    }
    const auto status = parser.get().result_int();
    auto answer = makeAnswer(parser, attempt);
    beast::http::response_serializer<beast::http::buffer_body> serializer { answer };
    std::array<char, streamBufferBytes> buffer {};
    bool begun = false;
    while (!serializer.is_done()) {
        auto& target = parser.get().body();
        target.data = buffer.data();
        target.size = buffer.size();
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
        answer.body().data = buffer.data();
        answer.body().size = buffer.size() - target.size;
        answer.body().more = !parser.is_done();
        caller.expires_after(callerWriteTimeout.chrono());
        co_await beast::http::async_write(
            caller, serializer, asio::redirect_error(asio::use_awaitable, failed));
        begun = true;
        if (failed && failed != beast::http::error::need_buffer) {
            co_return ended<Truncated>("caller", failed);
        }
    }
    reusable = parser.keep_alive();
    co_return answered(status);
}

void Exchange::abort()
{
    if (this->active != nullptr) {
        this->active->stream.cancel();
    }
}

} // namespace wasabiroad::traffic
