#include "wasabiroad/http/server.hpp"

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/kernel/log.hpp"

#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace wasabiroad::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

/** Pause after a connection could not be accepted, usually since the process has no free descriptor, in ms.
 */
constexpr kernel::Duration acceptRetryInterval { 100 };

} // namespace

struct Server::State {
    asio::io_context& context;
    tcp::acceptor acceptor;
    const Handler handler;
    const ServerLimits limits;
    bool draining { false };
    std::size_t inFlight { 0 };
    bool closed { false };
    /** @brief The bound address, for the log. */
    std::string address {};
};

namespace {

/** @brief Counts a request as in flight while it exists, also if the coroutine that owns it is destroyed. */
class InFlight {
public:
    explicit InFlight(std::size_t& requests)
        : count(requests)
    {
        ++this->count;
    }
    ~InFlight() { --this->count; }
    InFlight(const InFlight&) = delete;
    InFlight& operator=(const InFlight&) = delete;

private:
    std::size_t& count;
};

Response respondFailure(const Request& request, std::string_view reason)
{
    kernel::logEvent("request-failed",
        { { "method", std::string_view { request.method_string().data(), request.method_string().size() } },
            { "reason", reason } });
    auto response = respond(request, 500, "text/plain", "");
    response.keep_alive(false);
    return response;
}

/** @return The response of the handler, or status 500 if an exception leaves it. */
asio::awaitable<Response> answer(const Handler& handler, Request request)
{
    // The head outlives the request, which is moved to the handler.
    const Request head { request.base() };
    std::string reason;
    try {
        co_return co_await handler(std::move(request));
    } catch (const std::exception& exception) {
        reason = exception.what();
    } catch (...) {
        reason = "unknown exception";
    }
    co_return respondFailure(head, reason);
}

template <typename State> asio::awaitable<void> serve(std::shared_ptr<State> state, beast::tcp_stream stream)
{
    beast::flat_buffer buffer;
    boost::system::error_code failed;
    while (!state->closed) {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.header_limit(state->limits.headerBytes);
        parser.body_limit(state->limits.bodyBytes);
        stream.expires_after(state->limits.readTimeout.chrono());
        co_await beast::http::async_read(
            stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            break;
        }
        stream.expires_never();
        const InFlight counted { state->inFlight };
        auto response = co_await answer(state->handler, parser.release());
        if (state->draining) {
            response.keep_alive(false);
        }
        stream.expires_after(state->limits.writeTimeout.chrono());
        co_await beast::http::async_write(
            stream, response, asio::redirect_error(asio::use_awaitable, failed));
        if (failed || !response.keep_alive()) {
            break;
        }
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, failed);
}

template <typename State> asio::awaitable<void> accept(std::shared_ptr<State> state)
{
    asio::steady_timer pause { state->context };
    bool failing = false;
    while (!state->closed) {
        boost::system::error_code failed;
        auto socket
            = co_await state->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (state->closed) {
            break;
        }
        // A caller that has left already costs its own connection and no descriptor.
        if (failed == asio::error::connection_aborted) {
            continue;
        }
        if (const bool fails { failed }; fails != failing) {
            failing = fails;
            kernel::logEvent(failing ? "accept-failed" : "accept-resumed",
                { { "address", state->address }, { "reason", failed.message() } });
        }
        if (failed) {
            pause.expires_after(acceptRetryInterval.chrono());
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failed));
            continue;
        }
        socket.set_option(tcp::no_delay(true), failed);
        beast::tcp_stream stream { std::move(socket) };
        asio::co_spawn(state->context, serve(state, std::move(stream)), asio::detached);
    }
}

} // namespace

Server::Server(asio::io_context& context, Handler handler, ServerLimits limits)
    : state(new State { context, tcp::acceptor { context }, std::move(handler), limits })
{
}

kernel::Expected<std::string> Server::listen(const std::string& address)
{
    auto bound = http::listen(this->state->acceptor, address);
    if (bound) {
        this->state->address = *bound;
        asio::co_spawn(this->state->context, accept(this->state), asio::detached);
    }
    return bound;
}

void Server::drain() { this->state->draining = true; }

std::size_t Server::inFlight() const { return this->state->inFlight; }

void Server::close()
{
    this->state->closed = true;
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
}

} // namespace wasabiroad::http
