#include "wasabiroad/traffic/caller_watch.hpp"

#include <array>

namespace wasabiroad::traffic {

using boost::asio::ip::tcp;

struct CallerWatch::State {
    tcp::socket* socket;
    const std::function<void()> gone;
};

namespace {

template <typename StatePointer> void watch(const StatePointer& state)
{
    state->socket->async_wait(tcp::socket::wait_read, [state](boost::system::error_code failed) {
        if (failed || state->socket == nullptr) {
            return;
        }
        std::array<char, 1> byte {};
        boost::system::error_code result;
        state->socket->non_blocking(true, result);
        state->socket->receive(boost::asio::buffer(byte), tcp::socket::message_peek, result);
        if (result == boost::asio::error::would_block) {
            // The event of the request's own last bytes can arrive after they were read.
            watch(state);
        } else if (result) {
            state->gone();
        }
        // Data is a pipelined request: the caller is still there. Watching on would wake up at once.
    });
}

} // namespace

CallerWatch::CallerWatch(tcp::socket& socket, std::function<void()> gone)
    : state(new State { &socket, std::move(gone) })
{
    watch(this->state);
}

CallerWatch::~CallerWatch()
{
    this->state->socket->cancel();
    this->state->socket = nullptr;
}

} // namespace wasabiroad::traffic
