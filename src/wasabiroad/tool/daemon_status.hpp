#pragma once

#include "wasabiroad/kernel/error.hpp"

#include <string>

#include <boost/json/value.hpp>

namespace wasabiroad::tool {

/**
 * @brief Reads the status of a daemon.
 * @param address IP address and port of its operators' listener.
 * @return A JSON object. Errors: ValueOutOfRange, PeerUnreachable, PeerMessageInvalid.
 */
kernel::Expected<boost::json::value> readStatus(const std::string& address);

/** @return Generation that a status reports; 0 when it reports none. */
std::uint64_t generationOf(const boost::json::value& status);

} // namespace wasabiroad::tool
