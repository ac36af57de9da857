#pragma once

#include "wasabiroad/http/message.hpp"

#include <cstdint>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <tl/expected.hpp>

namespace wasabiroad::http {

/**
 * @brief Writes a request to an open stream and reads its response, within the time that the stream has.
 * @param stream A `boost::beast::tcp_stream` or a `boost::asio::ip::tcp::socket`.
 * @param buffer Bytes that the stream has read beyond earlier responses.
 * @param bodyLimit Most bytes of the response's body.
 * @return The response, or why the stream can no longer be used.
 */
template <typename Stream>
boost::asio::awaitable<tl::expected<Response, boost::system::error_code>> transfer(
    Stream& stream, boost::beast::flat_buffer& buffer, const Request& request, std::uint64_t bodyLimit);

} // namespace wasabiroad::http
