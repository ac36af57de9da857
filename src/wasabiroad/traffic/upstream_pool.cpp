#include "wasabiroad/traffic/upstream_pool.hpp"

#include <algorithm>
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

IdleLimits idleLimits(const model::RoutingSnapshot& snapshot, std::size_t threads)
{
    IdleLimits limits;
    for (const auto& upstream : snapshot.upstreams) {
        const auto used = std::min(upstream.slots, upstream.connections);
        limits.emplace(upstream.address, (upstream.connections - used) / threads);
    }
    return limits;
}

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

void UpstreamPool::keep(const std::string& address, UpstreamConnectionPointer connection)
{
    const auto allowed = this->limits.find(address);
    if (allowed == this->limits.end()) {
        return;
    }
    auto& connections = this->idle[address];
    if (connections.size() < allowed->second) {
        connections.push_back(std::move(connection));
    }
}

void UpstreamPool::limit(IdleLimits newLimits)
{
    this->limits = std::move(newLimits);
    std::erase_if(this->idle, [this](const auto& entry) { return !this->limits.contains(entry.first); });
    for (auto& [address, connections] : this->idle) {
        connections.resize(std::min(connections.size(), this->limits.at(address)));
    }
}

} // namespace wasabiroad::traffic
