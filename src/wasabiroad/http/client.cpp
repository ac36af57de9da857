#include "wasabiroad/http/client.hpp"

#include "wasabiroad/http/endpoint.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace wasabiroad::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using kernel::ResultCode;

namespace {

constexpr std::uint64_t responseLimit = 16ULL * 1024 * 1024;

} // namespace

asio::awaitable<kernel::Expected<Response>> exchange(
    asio::ip::tcp::endpoint endpoint, Request request, kernel::Duration timeout)
{
    beast::tcp_stream stream { co_await asio::this_coro::executor };
    boost::system::error_code failed;
    stream.expires_after(timeout.chrono());
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        co_return kernel::fail(ResultCode::PlatformUnreachable, toText(endpoint), failed.message());
    }
    request.keep_alive(false);
    co_await beast::http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, failed));
    if (!failed) {
        beast::flat_buffer buffer;
        beast::http::response_parser<beast::http::string_body> parser;
        parser.body_limit(responseLimit);
        co_await beast::http::async_read(
            stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failed));
        if (!failed) {
            co_return parser.release();
        }
    }
    co_return kernel::fail(ResultCode::PlatformTimeout, toText(endpoint), failed.message());
}

} // namespace wasabiroad::http
