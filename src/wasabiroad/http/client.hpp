#pragma once

#include "wasabiroad/http/message.hpp"
#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/error.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wasabiroad::http {

/**
 * @brief Sends one request on a connection of its own and reads the whole response.
 * @param endpoint Server.
 * @param request Request.
 * @param timeout Time for connecting, sending and reading together.
 * @return The response. Errors: PlatformUnreachable when nothing was sent, PlatformTimeout
 * when the request may have taken effect.
 */
boost::asio::awaitable<kernel::Expected<Response>> exchange(
    boost::asio::ip::tcp::endpoint endpoint, Request request, kernel::Duration timeout);

} // namespace wasabiroad::http
