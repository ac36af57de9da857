#pragma once

#include "wasabiroad/model/routing_snapshot.hpp"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace wasabiroad::traffic {

/** @brief A connection to an upstream. */
struct UpstreamConnection {
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer {};
};

using UpstreamConnectionPointer = std::unique_ptr<UpstreamConnection>;

/** @brief Connections to each address that may stay idle on one traffic thread; 0 for other addresses. */
using IdleLimits = std::unordered_map<std::string, std::size_t>;

/**
 * @brief Idle connections that one traffic thread may keep.
 *
 * Requests in progress use at most one connection for each slot. The connections beyond the slots
 * are divided among the threads, so that used and idle ones together stay within the daemon's share.
 */
IdleLimits idleLimits(const model::RoutingSnapshot& snapshot, std::size_t threads);

/** @brief Idle connections of one traffic thread to upstreams, for reuse by idempotent requests. */
class UpstreamPool {
public:
    explicit UpstreamPool(boost::asio::io_context& context)
        : context(context)
    {
    }

    /** @return An idle connection on which nothing was received since its last answer, or null. */
    UpstreamConnectionPointer take(const std::string& address);

    /** @return A new connection that is not connected yet. */
    UpstreamConnectionPointer create() const;

    /** @brief Keeps a connection after a whole answer, up to the limit of its upstream. */
    void keep(const std::string& address, UpstreamConnectionPointer connection);

    /** @brief Replaces the limits of idle connections by address, and closes those over their limit. */
    void limit(IdleLimits limits);

    /** @brief Closes all idle connections. */
    void clear() { this->idle.clear(); }

private:
    boost::asio::io_context& context;
    IdleLimits limits {};
    std::unordered_map<std::string, std::deque<UpstreamConnectionPointer>> idle {};
};

} // namespace wasabiroad::traffic
