#include "wasabiroad/peer/transport.hpp"

#include "wasabiroad/kernel/clock.hpp"

#include <array>
#include <functional>
#include <ostream>

#include <boost/asio/steady_timer.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <zmq.hpp>

namespace {

using namespace wasabiroad;
using namespace wasabiroad::peer;
using model::EntryId;

struct KeyPair {
    std::string publicKey;
    std::string secretKey;
};

KeyPair makeKeys()
{
    std::array<char, 41> publicKey {};
    std::array<char, 41> secretKey {};
    BOOST_REQUIRE(zmq_curve_keypair(publicKey.data(), secretKey.data()) == 0);
    return { publicKey.data(), secretKey.data() };
}

/** Runs a context until a condition holds; the bound only ends a test that fails. */
bool runUntil(boost::asio::io_context& context, const std::function<bool()>& condition, int seconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds { seconds };
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds { 50 });
    }
    return condition();
}

/** Connects a raw socket as an attacker or a peer would. */
struct Client {
    const std::string label;
    const bool encrypts;
    const bool hasKnownKey;
    const bool knowsServer;
    const bool arrives;
    const bool isReported;
};

std::ostream& operator<<(std::ostream& stream, const Client& row) { return stream << row.label; }

const std::array clients {
    Client { "known key", true, true, true, true, false },
    Client { "unknown key", true, false, true, false, true },
    Client { "no encryption", false, false, false, false, false },
    Client { "wrong key of the server", true, true, false, false, false },
};

/** Guards against messages of a peer whose key is not known, and against an authenticator that is skipped. */
BOOST_DATA_TEST_CASE(admits_only_known_keys, boost::unit_test::data::make(clients), row)
{
    const auto server = makeKeys();
    const auto known = makeKeys();
    const auto own = row.hasKnownKey ? known : makeKeys();
    boost::asio::io_context context { 1 };
    std::vector<std::string> received;
    std::size_t rejected = 0;
    Transport transport { context,
        { "127.0.0.1:0", server.secretKey, { { EntryId { "peer" }, { "127.0.0.1:1", known.publicKey } } } },
        [&](const EntryId& sender, std::string_view text) {
            received.push_back(sender.text() + ":" + std::string { text });
        },
        [&](const std::string&) { ++rejected; } };
    const auto address = transport.start();
    BOOST_REQUIRE(address);

    zmq::context_t library { 1 };
    zmq::socket_t client { library, zmq::socket_type::push };
    zmq::socket_t events { library, zmq::socket_type::pair };
    client.set(zmq::sockopt::linger, 0);
    if (row.encrypts) {
        client.set(zmq::sockopt::curve_serverkey, row.knowsServer ? server.publicKey : makeKeys().publicKey);
        client.set(zmq::sockopt::curve_publickey, own.publicKey);
        client.set(zmq::sockopt::curve_secretkey, own.secretKey);
    }
    constexpr int failures = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL
        | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH | ZMQ_EVENT_DISCONNECTED;
    zmq_socket_monitor(client.handle(), "inproc://events", failures);
    events.connect("inproc://events");
    client.connect("tcp://" + *address);
    client.send(zmq::str_buffer("hello"), zmq::send_flags::none);

    // A connection that is refused ends its handshake with one of these events.
    const auto isRefused = [&] {
        zmq::message_t event;
        return events.recv(event, zmq::recv_flags::dontwait).has_value();
    };
    bool refused = false;
    BOOST_TEST(runUntil(
        context, [&] { return !received.empty() || (refused = refused || isRefused()); }, 60));
    BOOST_TEST(received.empty() == !row.arrives);
    BOOST_TEST(refused == !row.arrives);
    if (row.arrives) {
        BOOST_TEST(received.front() == "peer:hello");
    }
    if (row.isReported) {
        BOOST_TEST(runUntil(
            context, [&] { return rejected != 0; }, 60));
    }
    zmq_socket_monitor(client.handle(), nullptr, 0);
}

const std::array<std::size_t, 4> sizes { 1, 100, 70000, 1000000 };

/** Guards against messages that are lost or wait for the next event of the descriptor. */
BOOST_DATA_TEST_CASE(carries_many_messages, boost::unit_test::data::make(sizes), size)
{
    constexpr std::size_t messages = 200;
    const auto keysA = makeKeys();
    const auto keysB = makeKeys();
    boost::asio::io_context context { 1 };
    std::size_t received = 0;
    Transport receiver { context,
        { "127.0.0.1:0", keysB.secretKey, { { EntryId { "a" }, { "127.0.0.1:1", keysA.publicKey } } } },
        [&](const EntryId&, std::string_view text) { received += text.size() == size ? 1U : 0U; },
        [](const std::string&) {} };
    const auto address = receiver.start();
    BOOST_REQUIRE(address);
    Transport sender { context,
        { "127.0.0.1:0", keysA.secretKey, { { EntryId { "b" }, { *address, keysB.publicKey } } } },
        [](const EntryId&, std::string_view) {}, [](const std::string&) {} };
    BOOST_REQUIRE(sender.start());
    const std::string text(size, 'x');
    std::size_t sent = 0;
    BOOST_TEST(runUntil(
        context,
        [&] {
            while (sent < messages && sender.send(EntryId { "b" }, text)) {
                ++sent;
            }
            return received == messages;
        },
        120));
    BOOST_TEST(received == sent);
    BOOST_TEST(receiver.counts().receivedBytes == messages * size);
}

} // namespace
