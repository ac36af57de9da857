#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace wasabiroad::platform {

/** @brief The platform's key-value service, reached over HTTP with JSON as docs/platform.md describes. */
struct HttpStore {
    const boost::asio::ip::tcp::endpoint endpoint;
    /** @brief Time for one call. */
    const kernel::Duration timeout { 2000 };
};

} // namespace wasabiroad::platform
