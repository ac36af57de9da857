#pragma once

#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace wasabiroad::peer {

/** @brief Where a peer listens and the key that it must prove. */
struct PeerAddress {
    /** @brief IP address and port. */
    const std::string address;
    /** @brief CURVE public key, Z85. */
    const std::string publicKey;

    friend auto operator<=>(const PeerAddress&, const PeerAddress&) = default;
};

/** @brief What a transport needs to know. */
struct TransportOptions {
    /** @brief IP address and port; port 0 lets the system choose. */
    const std::string listen;
    /** @brief CURVE secret key, Z85. */
    const std::string secretKey;
    const std::map<model::EntryId, PeerAddress> peers {};

    friend auto operator<=>(const TransportOptions&, const TransportOptions&) = default;
};

/** @brief Counts since the start of a transport; bytes are those of messages before encryption. */
struct TransportCounts {
    const std::uint64_t sentMessages { 0 };
    const std::uint64_t sentBytes { 0 };
    const std::uint64_t receivedMessages { 0 };
    const std::uint64_t receivedBytes { 0 };
    /** @brief Messages that were not sent because no connection was up or its queue was full. */
    const std::uint64_t dropped { 0 };
    /** @brief Connections without a known key. */
    const std::uint64_t rejected { 0 };

    friend auto operator<=>(const TransportCounts&, const TransportCounts&) = default;
};

/**
 * @brief Encrypted messages to and from known peers over ZeroMQ.
 *
 * One socket receives from all peers and one socket sends to each. Asio waits on the descriptors of the
 * receiving sockets, so nothing polls. All functions and handlers run on the thread of the context.
 */
class Transport {
public:
    /** @brief Receives a message with the entry that the sender's key belongs to. */
    using Receive = std::function<void(const model::EntryId&, std::string_view)>;
    /** @brief Learns of a connection that was rejected, with its IP address. */
    using Reject = std::function<void(const std::string& address)>;

    Transport(boost::asio::io_context& context, TransportOptions options, Receive receive, Reject reject);
    ~Transport();
    Transport(const Transport&) = delete;
    Transport& operator=(const Transport&) = delete;

    /** @brief Starts to listen. @return IP address and port. Errors: ListenFailed, PeerUnauthenticated. */
    kernel::Expected<std::string> start();

    /**
     * @brief Sends a message without waiting; the first one opens the connection.
     * @return False when it was dropped because no connection is up or its queue is full.
     */
    bool send(const model::EntryId& peer, std::string_view message);

    /** @brief Closes the connection to a peer. */
    void close(const model::EntryId& peer);

    /** @brief Closes all sockets after the last messages were handed to the system. */
    void stop();

    TransportCounts counts() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace wasabiroad::peer
