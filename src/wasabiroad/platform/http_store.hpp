#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/platform/called.hpp"

#include <functional>

#include <boost/asio/ip/tcp.hpp>

namespace wasabiroad::platform {

/** @brief The platform's key-value service, reached over HTTP with JSON as docs/platform.md describes. */
struct HttpStore {
    const boost::asio::ip::tcp::endpoint endpoint;
    /** @brief Time for one call. */
    const kernel::Duration timeout { 2000 };
    /** @brief Learns of the end of each call, on the thread that made it; may be empty. */
    const std::function<void(const Called&)> observe {};
};

} // namespace wasabiroad::platform
