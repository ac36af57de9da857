#include "wasabiroad/traffic/upstream_pool.hpp"

#include <array>

namespace wasabiroad::traffic {

namespace {

/** An idle connection that is readable was closed by the upstream or carries a late answer. */
bool isQuiet(UpstreamConnection& connection)
{
    auto& socket = connection.stream.socket();
    boost::system::error_code failed;
    socket.non_blocking(true, failed);
    std::array<char, 1> byte {};
    socket.receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, failed);
    return failed == boost::asio::error::would_block && connection.buffer.size() == 0;
}

} // namespace

UpstreamConnectionPointer UpstreamPool::take(const std::string& address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (isQuiet(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

UpstreamConnectionPointer UpstreamPool::create() const
{
    return std::make_unique<UpstreamConnection>(
        UpstreamConnection { boost::beast::tcp_stream { this->context } });
}

void UpstreamPool::keep(const std::string& address, UpstreamConnectionPointer connection, std::size_t limit)
{
    auto& connections = this->idle[address];
    if (connections.size() < limit) {
        connections.push_back(std::move(connection));
    }
}

} // namespace wasabiroad::traffic
