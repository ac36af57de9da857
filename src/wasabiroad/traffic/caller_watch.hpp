#pragma once

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

namespace wasabiroad::traffic {

/** @brief Notices that a caller closes its connection while its request waits or runs. */
class CallerWatch {
public:
    /**
     * @brief Starts to watch.
     * @param socket Connection of the caller; nothing else may read from it meanwhile.
     * @param gone Called once when the caller has closed the connection.
     */
    CallerWatch(boost::asio::ip::tcp::socket& socket, std::function<void()> gone);
    ~CallerWatch();
    CallerWatch(const CallerWatch&) = delete;
    CallerWatch& operator=(const CallerWatch&) = delete;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace wasabiroad::traffic
