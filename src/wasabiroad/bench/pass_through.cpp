#include "wasabiroad/bench/pass_through.hpp"

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/http/message.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace wasabiroad::bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

asio::awaitable<void> forward(beast::tcp_stream caller, tcp::endpoint endpoint)
{
    beast::tcp_stream upstream { caller.get_executor() };
    beast::flat_buffer callerBuffer;
    beast::flat_buffer upstreamBuffer;
    boost::system::error_code failed;
    co_await upstream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failed));
    if (!failed) {
        upstream.socket().set_option(tcp::no_delay(true), failed);
    }
    while (!failed) {
        http::Request request;
        co_await beast::http::async_read(
            caller, callerBuffer, request, asio::redirect_error(asio::use_awaitable, failed));
        if (!failed) {
            co_await beast::http::async_write(
                upstream, request, asio::redirect_error(asio::use_awaitable, failed));
        }
        http::Response response;
        if (!failed) {
            co_await beast::http::async_read(
                upstream, upstreamBuffer, response, asio::redirect_error(asio::use_awaitable, failed));
        }
        if (!failed) {
            co_await beast::http::async_write(
                caller, response, asio::redirect_error(asio::use_awaitable, failed));
        }
    }
}

asio::awaitable<void> accept(tcp::acceptor& acceptor, const std::vector<tcp::endpoint>& upstreams)
{
    std::size_t next = 0;
    while (acceptor.is_open()) {
        boost::system::error_code failed;
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            continue;
        }
        socket.set_option(tcp::no_delay(true), failed);
        asio::co_spawn(acceptor.get_executor(),
            forward(beast::tcp_stream { std::move(socket) }, upstreams[next++ % upstreams.size()]),
            asio::detached);
    }
}

} // namespace

PassThrough::PassThrough(asio::io_context& ioContext, std::vector<tcp::endpoint> endpoints)
    : context(ioContext)
    , upstreams(std::move(endpoints))
    , acceptor(ioContext)
{
}

kernel::Expected<std::string> PassThrough::listen(const std::string& address)
{
    const auto endpoint = http::parseEndpoint(address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    boost::system::error_code failed;
    this->acceptor.open(endpoint->protocol(), failed);
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    this->acceptor.bind(*endpoint, failed);
    if (!failed) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return kernel::fail(kernel::ResultCode::ListenFailed, address, failed.message());
    }
    asio::co_spawn(this->context, accept(this->acceptor, this->upstreams), asio::detached);
    return http::toText(this->acceptor.local_endpoint());
}

} // namespace wasabiroad::bench
