#pragma once

#include "wasabiroad/kernel/clock.hpp"

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

    /**
     * @brief Keeps a connection after a whole answer.
     * @param limit Connections to this upstream that may stay idle; the others are closed.
     */
    void keep(const std::string& address, UpstreamConnectionPointer connection, std::size_t limit);

    /** @brief Closes all idle connections. */
    void clear() { this->idle.clear(); }

private:
    boost::asio::io_context& context;
    std::unordered_map<std::string, std::deque<UpstreamConnectionPointer>> idle {};
};

} // namespace wasabiroad::traffic
