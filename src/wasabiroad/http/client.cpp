#include "wasabiroad/http/client.hpp"

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/http/transfer.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

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
    beast::flat_buffer buffer;
    auto response = co_await transfer(stream, buffer, request, responseLimit);
    if (!response) {
        co_return kernel::fail(ResultCode::PlatformTimeout, toText(endpoint), response.error().message());
    }
    co_return std::move(*response);
}

} // namespace wasabiroad::http
