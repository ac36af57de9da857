#include "gate.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr auto resume = asio::as_tuple(asio::use_awaitable);

/** Largest value of an item, `valueBytes` of the deploy page. */
constexpr std::size_t maxValueBytes = 1048576;

constexpr std::uint64_t maxRequestBytes = 64ULL * 1024 * 1024;

/** Largest request that the store of the soak reads. */
constexpr std::size_t maxStoreRequestBytes = 1000000;

/** Longer than the longest watch. */
constexpr milliseconds patience { 40000 };

} // namespace

Gate::Gate(asio::io_context& context, std::string address, Report reportLine)
    : store(std::move(address))
    , report(std::move(reportLine))
    , acceptor(context, tcp::endpoint { asio::ip::address_v4::loopback(), 0 })
    , port(acceptor.local_endpoint().port())
{
    start(context, accept());
}

Task<> Gate::accept()
{
    while (true) {
        auto [failed, socket] = co_await this->acceptor.async_accept(resume);
        if (!failed) {
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(this->acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }
}

Answer Gate::check(const Request& request) const
{
    const auto change = bodyOf(request);
    const auto* const puts = change.if_contains("puts");
    if (puts != nullptr && puts->is_array()) {
        for (const auto& put : puts->get_array()) {
            const auto item = put.is_object() ? put.get_object() : boost::json::object {};
            // Base64 writes three bytes as four digits, up to two of them as padding.
            const auto size = textField(item, "value").size() / 4 * 3;
            if (size > maxValueBytes + 2) {
                this->report("the store rejects a value of about " + std::to_string(size) + " bytes for "
                    + textField(item, "key"));
                return { 400, R"({"reason":"value"})" };
            }
        }
    }
    if (request.body().size() > maxStoreRequestBytes) {
        return { 503, "{}" };
    }
    return {};
}

Task<> Gate::serve(tcp::socket socket)
{
    beast::flat_buffer buffer;
    while (true) {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(maxRequestBytes);
        const auto [unread, size] = co_await beast::http::async_read(socket, buffer, parser, resume);
        if (unread) {
            co_return;
        }
        const Request request = parser.release();
        auto answer = check(request);
        if (answer.status == 200) {
            Call passed { std::string { request.method_string() }, this->store, "store",
                std::string { request.target() }, request.body() };
            answer = co_await call(std::move(passed), patience);
        }
        if (answer.status == 0) {
            co_return;
        }
        beast::http::response<beast::http::string_body> response { beast::http::int_to_status(answer.status),
            11 };
        response.set(beast::http::field::content_type, "application/json");
        response.keep_alive(request.keep_alive());
        response.body() = std::move(answer.body);
        response.prepare_payload();
        const auto [unsent, sent] = co_await beast::http::async_write(socket, response, resume);
        if (unsent || !request.keep_alive()) {
            co_return;
        }
    }
}

} // namespace review
