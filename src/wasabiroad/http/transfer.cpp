#include "wasabiroad/http/transfer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

namespace wasabiroad::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::size_t readBytes = 4096;

} // namespace

template <typename Stream>
asio::awaitable<tl::expected<Response, boost::system::error_code>> transfer(
    Stream& stream, beast::flat_buffer& buffer, const Request& request, std::uint64_t bodyLimit)
{
    boost::system::error_code failed;
    const auto text = serialize(request);
    co_await asio::async_write(stream, asio::buffer(text), asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        co_return tl::unexpected(failed);
    }
    // One read takes a whole ordinary response.
    buffer.reserve(readBytes);
    beast::http::response_parser<beast::http::string_body> parser;
    parser.body_limit(bodyLimit);
    co_await beast::http::async_read(
        stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        co_return tl::unexpected(failed);
    }
    co_return parser.release();
}

template asio::awaitable<tl::expected<Response, boost::system::error_code>> transfer(
    beast::tcp_stream&, beast::flat_buffer&, const Request&, std::uint64_t);
template asio::awaitable<tl::expected<Response, boost::system::error_code>> transfer(
    asio::ip::tcp::socket&, beast::flat_buffer&, const Request&, std::uint64_t);

} // namespace wasabiroad::http
