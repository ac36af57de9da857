#pragma once

#include "wasabiroad/http/message.hpp"
#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/error.hpp"

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace wasabiroad::http {

/** @brief Limits of a server towards its clients. */
struct ServerLimits {
    const std::uint32_t headerBytes { 16384 };
    const std::uint64_t bodyBytes { 4194304 };
    /** @brief Time for a complete request, and for a connection without one. */
    const kernel::Duration readTimeout { 30000 };
    const kernel::Duration writeTimeout { 30000 };

    friend auto operator<=>(const ServerLimits&, const ServerLimits&) = default;
};

/** @brief Answers one request. */
using Handler = std::function<boost::asio::awaitable<Response>(Request)>;

/** @brief Small HTTP/1.1 server for operators and stand-ins; it runs on one context. */
class Server {
public:
    Server(boost::asio::io_context& context, Handler handler, ServerLimits limits = {});

    /**
     * @brief Binds an address and starts to accept connections.
     * @param address IP address and port; port 0 lets the system choose.
     * @return The bound address. Errors: ValueOutOfRange, ListenFailed.
     */
    kernel::Expected<std::string> listen(const std::string& address);

    /** @brief Asks clients to close their connections: each response is the last one of its connection. */
    void drain();

    /** @return Requests that were read and are not answered. */
    std::size_t inFlight() const;

    /** @brief Stops accepting connections; open ones end after their current request. */
    void close();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace wasabiroad::http
