#pragma once

#include "wasabiroad/kernel/error.hpp"

#include <string>

#include <boost/asio/io_context.hpp>

namespace wasabiroad::standin {

/** @brief Prints the address of a listener as one key=value line, for the program that started the stand-in.
 */
void announce(const std::string& listener, const std::string& address);

/** @brief Prints an error and returns its code. */
kernel::ResultCode reportError(const kernel::Error& error);

/** @brief Runs the context until SIGINT or SIGTERM. */
kernel::ResultCode runUntilSignal(boost::asio::io_context& context);

} // namespace wasabiroad::standin
