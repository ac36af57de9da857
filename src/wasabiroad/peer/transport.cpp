#include "wasabiroad/peer/transport.hpp"

#include "wasabiroad/peer/codec.hpp"

#include <array>
#include <optional>
#include <vector>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

namespace wasabiroad::peer {

using kernel::ResultCode;
using model::EntryId;

namespace {

constexpr std::size_t keyBytes = 32;
constexpr std::size_t keyText = 40;
/** A peer that stopped reading holds at most this many messages; one can be a manifest of 1 MB. */
constexpr int sendQueue = 16;
constexpr int receiveQueue = 64;
/** Unacknowledged data for this time closes a half-open connection, in ms. */
constexpr int acknowledgeWithin = 2500;
constexpr int reconnectAfter = 100;
constexpr int maxReconnectAfter = 1000;
/** Time for the last messages at a stop, in ms. */
constexpr int linger = 500;
/** Messages that are handled before other work of the thread gets its turn. */
constexpr int batch = 64;

std::optional<std::string> decodeKey(const std::string& text)
{
    std::array<std::uint8_t, keyBytes> bytes {};
    if (text.size() != keyText || zmq_z85_decode(bytes.data(), text.c_str()) == nullptr) {
        return std::nullopt;
    }
    return std::string { bytes.begin(), bytes.end() };
}

std::string publicKeyOf(const std::string& secretKey)
{
    std::array<char, keyText + 1> publicKey {};
    return zmq_curve_public(publicKey.data(), secretKey.c_str()) == 0 ? std::string { publicKey.data() }
                                                                      : std::string {};
}

/** Calls a function when a ZeroMQ socket may have messages; the descriptor belongs to the socket. */
class Readiness {
public:
    Readiness(boost::asio::io_context& ioContext, zmq::socket_t& socket)
        : descriptor(ioContext, socket.get(zmq::sockopt::fd))
    {
    }
    ~Readiness() { this->descriptor.release(); }
    Readiness(const Readiness&) = delete;
    Readiness& operator=(const Readiness&) = delete;

    template <typename Handler> void wait(Handler handler)
    {
        this->descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read, std::move(handler));
    }

private:
    boost::asio::posix::stream_descriptor descriptor;
};

} // namespace

struct Transport::State : std::enable_shared_from_this<State> {
    State(boost::asio::io_context& ioContext, TransportOptions transportOptions, Receive onReceive,
        Reject onReject)
        : context(ioContext)
        , options(std::move(transportOptions))
        , receive(std::move(onReceive))
        , reject(std::move(onReject))
    {
    }

    kernel::Expected<std::string> start()
    {
        this->publicKey = publicKeyOf(this->options.secretKey);
        if (this->publicKey.empty()) {
            return kernel::fail(
                ResultCode::PeerUnauthenticated, "/peers/secret-key", "a key that is not valid");
        }
        for (const auto& [entry, peer] : this->options.peers) {
            const auto key = decodeKey(peer.publicKey);
            if (!key) {
                return kernel::fail(
                    ResultCode::PeerUnauthenticated, entry.text(), peer.publicKey, "a CURVE key");
            }
            this->entries.emplace(*key, entry);
        }
        try {
            return bind();
        } catch (const zmq::error_t& error) {
            return kernel::fail(ResultCode::ListenFailed, this->options.listen, error.what());
        }
    }

    std::string bind()
    {
        // The authenticator must answer before the first connection, or the library would accept any key.
        this->authenticator = zmq::socket_t { this->library, zmq::socket_type::rep };
        this->authenticator.set(zmq::sockopt::linger, 0);
        this->authenticator.bind("inproc://zeromq.zap.01");

        this->inbound = zmq::socket_t { this->library, zmq::socket_type::pull };
        this->inbound.set(zmq::sockopt::linger, 0);
        this->inbound.set(zmq::sockopt::curve_server, true);
        this->inbound.set(zmq::sockopt::curve_secretkey, this->options.secretKey);
        this->inbound.set(zmq::sockopt::zap_domain, "peers");
        this->inbound.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(maxMessageBytes));
        this->inbound.set(zmq::sockopt::rcvhwm, receiveQueue);
        this->inbound.set(zmq::sockopt::handshake_ivl, acknowledgeWithin);
        this->inbound.set(zmq::sockopt::tcp_keepalive, 1);
        this->inbound.set(zmq::sockopt::tcp_keepalive_idle, 10);
        this->inbound.set(zmq::sockopt::tcp_keepalive_intvl, 5);
        this->inbound.set(zmq::sockopt::tcp_keepalive_cnt, 3);
        this->inbound.bind("tcp://" + this->options.listen);

        this->authenticatorReadiness.emplace(this->context, this->authenticator);
        this->inboundReadiness.emplace(this->context, this->inbound);
        authenticateAll();
        receiveAll();
        return this->inbound.get(zmq::sockopt::last_endpoint).substr(std::string_view { "tcp://" }.size());
    }

    /**
     * ZeroMQ's descriptor signals only changes, so a socket is read until it is empty before each wait.
     * @return True when the socket may have more messages.
     */
    template <typename Handle> static bool drain(zmq::socket_t& socket, Handle handle)
    {
        for (int count = 0; count < batch; ++count) {
            zmq::message_t message;
            if (!socket.recv(message, zmq::recv_flags::dontwait)) {
                return false;
            }
            handle(message);
        }
        return true;
    }

    void receiveAll()
    {
        const auto self = shared_from_this();
        const bool hasMore = drain(this->inbound, [&](zmq::message_t& message) {
            ++this->receivedMessages;
            this->receivedBytes += message.size();
            const EntryId sender { message.gets("User-Id") };
            this->receive(sender, { static_cast<const char*>(message.data()), message.size() });
        });
        if (!this->inboundReadiness) {
            return;
        }
        next(hasMore, *this->inboundReadiness, &State::receiveAll);
    }

    void authenticateAll()
    {
        std::vector<std::string> frames;
        const bool hasMore = drain(this->authenticator, [&](const zmq::message_t& frame) {
            frames.push_back(frame.to_string());
            if (!frame.more()) {
                answer(frames);
                frames.clear();
            }
        });
        next(hasMore, *this->authenticatorReadiness, &State::authenticateAll);
    }

    void next(bool hasMore, Readiness& readiness, void (State::*function)())
    {
        const std::weak_ptr<State> weak { shared_from_this() };
        const auto run = [weak, function] {
            const auto self = weak.lock();
            if (self && self->inboundReadiness) {
                (*self.*function)();
            }
        };
        if (hasMore) {
            boost::asio::post(this->context, run);
            return;
        }
        readiness.wait([run](boost::system::error_code failed) {
            if (!failed) {
                run();
            }
        });
    }

    /** Answers a request of the authentication protocol ZAP 1.0 (ZeroMQ RFC 27). */
    void answer(const std::vector<std::string>& frames)
    {
        constexpr std::size_t addressFrame = 3;
        constexpr std::size_t mechanismFrame = 5;
        constexpr std::size_t keyFrame = 6;
        const auto isCurve = frames.size() == keyFrame + 1 && frames[mechanismFrame] == "CURVE";
        const auto found = isCurve ? this->entries.find(frames[keyFrame]) : this->entries.end();
        const bool isKnown = found != this->entries.end();
        const std::array<std::string, 6> reply { "1.0", frames.size() > 1 ? frames[1] : std::string {},
            isKnown ? "200" : "400", isKnown ? "OK" : "unknown key",
            isKnown ? found->second.text() : std::string {}, std::string {} };
        for (std::size_t index = 0; index < reply.size(); ++index) {
            const auto flags = index + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
            this->authenticator.send(zmq::buffer(reply[index]), flags | zmq::send_flags::dontwait);
        }
        if (!isKnown) {
            ++this->rejected;
            this->reject(frames.size() > addressFrame ? frames[addressFrame] : std::string {});
        }
    }

    zmq::socket_t* outbound(const EntryId& entry)
    {
        if (const auto found = this->sockets.find(entry); found != this->sockets.end()) {
            return &found->second;
        }
        const auto peer = this->options.peers.find(entry);
        if (peer == this->options.peers.end()) {
            return nullptr;
        }
        zmq::socket_t socket { this->library, zmq::socket_type::push };
        socket.set(zmq::sockopt::linger, linger);
        socket.set(zmq::sockopt::curve_serverkey, peer->second.publicKey);
        socket.set(zmq::sockopt::curve_publickey, this->publicKey);
        socket.set(zmq::sockopt::curve_secretkey, this->options.secretKey);
        // A message for a peer that is down is dropped, so that a peer that returns gets no old ones.
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::sndhwm, sendQueue);
        socket.set(zmq::sockopt::handshake_ivl, acknowledgeWithin);
        socket.set(zmq::sockopt::connect_timeout, acknowledgeWithin);
        socket.set(zmq::sockopt::tcp_maxrt, acknowledgeWithin);
        socket.set(zmq::sockopt::reconnect_ivl, reconnectAfter);
        socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectAfter);
        socket.connect("tcp://" + peer->second.address);
        return &this->sockets.emplace(entry, std::move(socket)).first->second;
    }

    bool send(const EntryId& entry, std::string_view message)
    {
        auto* const socket = this->inboundReadiness ? outbound(entry) : nullptr;
        if (socket == nullptr || !socket->send(zmq::buffer(message), zmq::send_flags::dontwait)) {
            ++this->dropped;
            return false;
        }
        ++this->sentMessages;
        this->sentBytes += message.size();
        return true;
    }

    void stop()
    {
        this->inboundReadiness.reset();
        this->authenticatorReadiness.reset();
        this->sockets.clear();
        this->inbound.close();
        this->authenticator.close();
    }

    boost::asio::io_context& context;
    const TransportOptions options;
    const Receive receive;
    const Reject reject;
    std::string publicKey {};
    /** Entries by the bytes of their public keys. */
    std::map<std::string, EntryId> entries {};
    zmq::context_t library { 1 };
    zmq::socket_t authenticator {};
    zmq::socket_t inbound {};
    std::map<EntryId, zmq::socket_t> sockets {};
    std::optional<Readiness> authenticatorReadiness {};
    std::optional<Readiness> inboundReadiness {};
    std::uint64_t sentMessages { 0 };
    std::uint64_t sentBytes { 0 };
    std::uint64_t receivedMessages { 0 };
    std::uint64_t receivedBytes { 0 };
    std::uint64_t dropped { 0 };
    std::uint64_t rejected { 0 };
};

Transport::Transport(
    boost::asio::io_context& context, TransportOptions options, Receive receive, Reject reject)
    : state(std::make_shared<State>(context, std::move(options), std::move(receive), std::move(reject)))
{
}

Transport::~Transport() { stop(); }

kernel::Expected<std::string> Transport::start() { return this->state->start(); }

bool Transport::send(const EntryId& peer, std::string_view message)
{
    return this->state->send(peer, message);
}

void Transport::close(const EntryId& peer) { this->state->sockets.erase(peer); }

void Transport::stop() { this->state->stop(); }

TransportCounts Transport::counts() const
{
    const auto& from = *this->state;
    return { from.sentMessages, from.sentBytes, from.receivedMessages, from.receivedBytes, from.dropped,
        from.rejected };
}

} // namespace wasabiroad::peer
