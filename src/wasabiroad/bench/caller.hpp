#pragma once

#include "wasabiroad/bench/arrivals.hpp"
#include "wasabiroad/bench/record.hpp"

#include <functional>

#include <boost/asio/ip/tcp.hpp>

namespace wasabiroad::bench {

/** @brief Progress of a load. */
struct Progress {
    const kernel::Duration elapsed {};
    const std::uint64_t sent { 0 };
    const std::uint64_t ended { 0 };

    friend auto operator<=>(const Progress&, const Progress&) = default;
};

/** @brief Load on running daemons. */
struct LoadOptions {
    /** @brief Callers' listeners; each request goes to one of them, as a balancer would send it. */
    const std::vector<boost::asio::ip::tcp::endpoint> daemons;
    const LoadProfile profile {};
    /** @brief Time after a request's deadline until it counts as lost. */
    const kernel::Duration grace { 5000 };
    /** @brief Called about every two seconds. */
    const std::function<void(const Progress&)> report {};
};

/** @brief Sends an open-loop load and waits until each request has ended. @return One record per request. */
std::vector<Record> sendLoad(const model::Manifest& manifest, const LoadOptions& options);

} // namespace wasabiroad::bench
