#pragma once

#include "wasabiroad/kernel/error.hpp"

#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wasabiroad::bench {

/**
 * @brief Bare HTTP pass-through, the baseline of the daemon's throughput and latency.
 *
 * Each caller's connection gets an upstream connection of its own, on the upstreams in turn;
 * there are no decisions, no limits and no log.
 */
class PassThrough {
public:
    PassThrough(boost::asio::io_context& context, std::vector<boost::asio::ip::tcp::endpoint> upstreams);

    /** @brief Binds the pass-through. @return The bound address. Errors: ValueOutOfRange, ListenFailed. */
    kernel::Expected<std::string> listen(const std::string& address);

private:
    boost::asio::io_context& context;
    const std::vector<boost::asio::ip::tcp::endpoint> upstreams;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace wasabiroad::bench
