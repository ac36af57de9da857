#include "wasabiroad/settings/settings.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using kernel::ResultCode;

const std::string key(40, 'k');
const std::string otherKey = "[]{}@%$#-.:+=^!/*?&<>()" + std::string(17, 'a');

std::string documentWith(const std::string& peers)
{
    return R"({"version": 1, "entry": "entry-a", "zone": "by-1", "callers": "127.0.0.1:0",
        "operators": "127.0.0.1:0", "platform": "127.0.0.1:7000")"
        + (peers.empty() ? "" : ", \"peers\": " + peers) + "}";
}

std::string entry(
    const std::string& id, const std::string& zone, const std::string& address, const std::string& publicKey)
{
    return R"({"entry": ")" + id + R"(", "zone": ")" + zone + R"(", "address": ")" + address
        + R"(", "public-key": ")" + publicKey + "\"}";
}

std::string block(const std::string& listen, const std::string& secret, const std::string& entries)
{
    return R"({"listen": ")" + listen + R"(", "secret-key": ")" + secret + R"(", "entries": [)" + entries
        + "]}";
}

const auto self = entry("entry-a", "by-1", "127.0.0.1:7101", key);
const auto other = entry("entry-b", "by-1", "127.0.0.1:7102", otherKey);

struct Row {
    const std::string label;
    const std::string peers;
    const ResultCode code { ResultCode::Ok };
    const std::string where {};
    const std::size_t others { 0 };
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "no block", "" },
    Row { "no other entry", block("127.0.0.1:0", key, "") },
    Row { "own entry is skipped", block("127.0.0.1:0", key, self + "," + other), ResultCode::Ok, "", 1 },
    Row {
        "short secret key", block("127.0.0.1:0", "k", ""), ResultCode::SchemaViolation, "/peers/secret-key" },
    Row { "host name", block("localhost:1", key, ""), ResultCode::SchemaViolation, "/peers/listen" },
    Row { "octet over 255", block("127.0.0.256:1", key, ""), ResultCode::ValueOutOfRange, "/peers/listen" },
    Row { "port over 65535", block("127.0.0.1:0", key, entry("entry-b", "by-1", "127.0.0.1:65536", key)),
        ResultCode::ValueOutOfRange, "/peers/entries/0/address" },
    Row { "two entries with one key",
        block("127.0.0.1:0", key, self + "," + entry("entry-b", "by-1", "127.0.0.1:7102", key)),
        ResultCode::DuplicateIdentifier, "/peers/entries/1/public-key" },
    Row { "an entry listed twice", block("127.0.0.1:0", key, other + "," + other),
        ResultCode::DuplicateIdentifier, "/peers/entries/1/entry" },
    Row { "own entry in another zone",
        block("127.0.0.1:0", key, entry("entry-a", "by-2", "127.0.0.1:7101", key)),
        ResultCode::ValueOutOfRange, "/peers/entries/0/zone" },
};

/** Guards against a faulty list of peers that starts a daemon, and against errors without their place. */
BOOST_DATA_TEST_CASE(checks_the_block_of_peers, boost::unit_test::data::make(rows), row)
{
    const auto settings = settings::read(documentWith(row.peers));
    BOOST_REQUIRE(settings.has_value() == (row.code == ResultCode::Ok));
    if (settings) {
        BOOST_TEST(settings->peers.has_value() == !row.peers.empty());
        BOOST_TEST((settings->peers ? settings->peers->entries.size() : 0) == row.others);
        return;
    }
    bool listed = false;
    for (const auto& error : settings.error()) {
        listed = listed || (error.code == row.code && error.where == row.where);
    }
    BOOST_TEST(listed);
}

} // namespace
