#include "wasabiroad/bench/daemons.hpp"

#include "wasabiroad/http/endpoint.hpp"

#include <array>

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <unistd.h>
#include <zmq.h>

namespace wasabiroad::bench {

namespace {

/** A CURVE key in Z85 and its terminating zero. */
using Key = std::array<char, 41>;

struct Entry {
    const std::string name;
    const std::string zone;
    const std::string address;
    const std::string publicKey;
    const std::string secretKey;
};

/**
 * Daemons must know each other's ports before they start; the port was free a moment ago. A loopback
 * address of this process keeps other processes from taking the port meanwhile.
 */
std::string reserveAddress()
{
    const auto id = static_cast<unsigned>(::getpid());
    const boost::asio::ip::address_v4 host { { 127, static_cast<unsigned char>(64 + (id >> 16U) % 128),
        static_cast<unsigned char>((id >> 8U) % 256), static_cast<unsigned char>(1 + id % 254) } };
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor { context, { host, 0 } };
    return http::toText(acceptor.local_endpoint());
}

Entry makeEntry(const std::string& zone, std::size_t number)
{
    Key publicKey {};
    Key secretKey {};
    ::zmq_curve_keypair(publicKey.data(), secretKey.data());
    return { "entry-" + zone + "-" + std::to_string(number), zone, reserveAddress(), publicKey.data(),
        secretKey.data() };
}

} // namespace

std::vector<launch::DaemonOptions> makeDaemons(const std::vector<std::string>& zones)
{
    std::vector<Entry> entries;
    boost::json::array list;
    for (const auto& zone : zones) {
        const auto& entry = entries.emplace_back(makeEntry(zone, entries.size()));
        list.push_back({ { "entry", entry.name }, { "zone", entry.zone }, { "address", entry.address },
            { "public-key", entry.publicKey } });
    }
    std::vector<launch::DaemonOptions> daemons;
    for (const auto& entry : entries) {
        const boost::json::value settings { { "peers",
            { { "listen", entry.address }, { "secret-key", entry.secretKey }, { "entries", list } } } };
        daemons.emplace_back(
            launch::DaemonOptions { entry.name, entry.zone, boost::json::serialize(settings) });
    }
    return daemons;
}

kernel::Expected<void> waitForMembership(launch::Site& site)
{
    constexpr kernel::Duration bound { 20000 };
    const auto expected = " site-entries=" + std::to_string(site.daemonCount());
    for (std::size_t index = 0; index < site.daemonCount(); ++index) {
        if (!site.daemon(index).waitForLine(expected, bound)) {
            return kernel::fail(kernel::ResultCode::PeerUnreachable, std::to_string(index), "membership",
                "all daemons of the site");
        }
    }
    return {};
}

} // namespace wasabiroad::bench
