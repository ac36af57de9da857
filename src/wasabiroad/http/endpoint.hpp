#pragma once

#include "wasabiroad/kernel/error.hpp"

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace wasabiroad::http {

/**
 * @brief Parses an IP address and a port, as in `127.0.0.1:8080`.
 * @return The endpoint. Errors: ValueOutOfRange.
 */
kernel::Expected<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/** @return The endpoint as IP address and port. */
std::string toText(const boost::asio::ip::tcp::endpoint& endpoint);

/**
 * @brief Opens an acceptor on an address and starts to listen.
 * @param address IP address and port; port 0 lets the system choose.
 * @return The bound address. Errors: ValueOutOfRange, ListenFailed.
 */
kernel::Expected<std::string> listen(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address);

} // namespace wasabiroad::http
