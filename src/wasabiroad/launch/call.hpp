#pragma once

#include "wasabiroad/http/message.hpp"
#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/error.hpp"

#include <map>

namespace wasabiroad::launch {

/** @brief One HTTP call of a test or benchmark. */
struct Call {
    /** @brief IP address and port. */
    const std::string address;
    const std::string method { "GET" };
    const std::string target { "/" };
    const std::map<std::string, std::string> headers {};
    const std::string body {};
    const kernel::Duration timeout { 30000 };

    friend auto operator<=>(const Call&, const Call&) = default;
};

/**
 * @brief Sends a call on a connection of its own and waits for the whole response.
 * @return The response. Errors: those of `http::exchange`, ValueOutOfRange.
 */
kernel::Expected<http::Response> send(const Call& call);

} // namespace wasabiroad::launch
