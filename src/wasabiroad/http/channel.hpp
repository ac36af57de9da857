#pragma once

#include "wasabiroad/http/message.hpp"
#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/error.hpp"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wasabiroad::http {

/** @return Whether a call failed before anything was sent, so that it has no effect. */
bool isUnsent(const kernel::Error& error);

/**
 * @brief A persistent HTTP/1.1 connection to one server that sends one request after another.
 *
 * It connects when it has something to send. After a timeout or an error it closes the connection, so a late
 * response is never taken for the response to another request.
 */
class Channel {
public:
    /**
     * @brief Receives the response. Errors: PlatformUnreachable when the server could not be reached and
     * CallNotTried when that was not attempted, so nothing was sent; PlatformTimeout when the request may
     * have taken effect.
     */
    using Callback = std::function<void(kernel::Expected<Response>)>;

    /** @brief Whether a request may still be sent; called right before it is written. */
    using Permission = std::function<bool()>;

    Channel(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint endpoint);
    ~Channel();
    Channel(Channel&&) = default;
    Channel& operator=(Channel&&) = default;
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    /**
     * @brief Queues a request.
     * @param request Request; it is sent with keep-alive.
     * @param timeout Time for waiting in the queue, connecting, sending and reading together.
     * @param callback Called exactly once, on the context.
     * @param permission Checked after waiting and connecting: the process may have been suspended meanwhile,
     * which the timeout does not count. Without it the call fails with CallNotTried. Empty for none.
     */
    void call(Request request, kernel::Duration timeout, Callback callback, Permission permission = {});

    /** @return Requests that wait or are in flight. */
    std::size_t load() const;

    /** @brief Closes the connection; waiting calls fail. */
    void close();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace wasabiroad::http
