#include "wasabiroad/traffic/caller_watch.hpp"

#include <array>

namespace wasabiroad::traffic {

using boost::asio::ip::tcp;

struct CallerWatch::State {
    tcp::socket* socket;
    const std::function<void()> gone;
};

CallerWatch::CallerWatch(tcp::socket& socket, std::function<void()> gone)
    : state(new State { &socket, std::move(gone) })
{
    socket.async_wait(tcp::socket::wait_read, [watched = this->state](boost::system::error_code failed) {
        if (failed || watched->socket == nullptr) {
            return;
        }
        std::array<char, 1> byte {};
        boost::system::error_code result;
        watched->socket->non_blocking(true, result);
        watched->socket->receive(boost::asio::buffer(byte), tcp::socket::message_peek, result);
        // Data is a pipelined request; the caller is still there.
        if (result && result != boost::asio::error::would_block) {
            watched->gone();
        }
    });
}

CallerWatch::~CallerWatch()
{
    this->state->socket->cancel();
    this->state->socket = nullptr;
}

} // namespace wasabiroad::traffic
