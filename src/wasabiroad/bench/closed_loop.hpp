#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace wasabiroad::bench {

/** @brief Load of a fixed number of connections, each with one request at a time. */
struct ClosedLoop {
    const boost::asio::ip::tcp::endpoint server;
    const std::string target;
    const std::size_t connections { 32 };
    const kernel::Duration length { 3000 };
    /** @brief Pause of a connection after each answer. */
    const kernel::Duration pause {};
};

/** @brief Result of a closed-loop load. */
struct ClosedLoopResult {
    const std::uint64_t answered { 0 };
    const std::uint64_t failed { 0 };
    /** @brief Times from request to answer in milliseconds. */
    const std::vector<double> latencies {};
    const double seconds { 0 };

    friend auto operator<=>(const ClosedLoopResult&, const ClosedLoopResult&) = default;
};

/** @brief Runs a closed-loop load of requests without run time. */
ClosedLoopResult runClosedLoop(const ClosedLoop& options);

} // namespace wasabiroad::bench
