#pragma once

#include "wasabiroad/http/server.hpp"
#include "wasabiroad/standin/fault.hpp"

#include <pcg_random.hpp>

namespace wasabiroad::standin {

/** @brief Counters of a proxy. */
struct ProxyCounts {
    const std::uint64_t connections { 0 };
    const std::uint64_t forwardedBytes { 0 };
    const std::uint64_t droppedBytes { 0 };
    /** @brief Connections that the proxy ended because of a fault. */
    const std::uint64_t ended { 0 };

    friend auto operator<=>(const ProxyCounts&, const ProxyCounts&) = default;
};

/** @brief TCP proxy between two processes that injects one fault at a time; for tests only. */
class Proxy {
public:
    Proxy(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint server);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    /** @brief Binds the proxy. Errors: ValueOutOfRange, ListenFailed. */
    kernel::Expected<std::string> listen(const std::string& address);

    /** @brief Replaces the fault; it applies to open connections too, unless the fault says otherwise. */
    void inject(const Fault& fault);

    /** @return Counters since the start. */
    ProxyCounts counts() const;

    /** @return Answer to `/fault?kind=...` (sets a fault) or `/counts`. */
    http::Response answerAdmin(const http::Request& request);

    /** @brief The same as a handler of a server. */
    boost::asio::awaitable<http::Response> handleAdmin(http::Request request);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace wasabiroad::standin
