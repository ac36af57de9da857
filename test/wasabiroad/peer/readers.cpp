#include "wasabiroad/example.hpp"
#include "wasabiroad/manifest/read.hpp"
#include "wasabiroad/peer/codec.hpp"
#include "wasabiroad/settings/settings.hpp"

#include <array>
#include <functional>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

namespace {

using namespace wasabiroad;

peer::Envelope envelopeOf(peer::Body body)
{
    return { model::EntryId { "entry-a" }, model::ZoneId { "by-1" }, { 1700000000000, 9 }, std::move(body) };
}

const peer::Version version { { 7 }, "00112233445566778899aabbccddeeff" };

/** A reader under test: it throws or returns a value only when the input is valid. */
struct Reader {
    const std::string label;
    const std::string seedInput;
    const int rounds;
    /** Returns true when the input was accepted; it checks what was accepted. */
    const std::function<bool(const std::string&)> read;
};

std::ostream& operator<<(std::ostream& stream, const Reader& row) { return stream << row.label; }

bool readManifest(const std::string& text)
{
    const auto manifest = manifest::read(text);
    if (!manifest) {
        BOOST_REQUIRE(!manifest.error().empty());
        return false;
    }
    for (const auto& vm : manifest->vms) {
        BOOST_REQUIRE(!vm.id.text().empty());
        BOOST_REQUIRE(vm.slots > 0);
    }
    return true;
}

bool readSettings(const std::string& text)
{
    const auto settings = settings::read(text);
    if (!settings) {
        BOOST_REQUIRE(!settings.error().empty());
        return false;
    }
    BOOST_REQUIRE(settings->trafficThreads > 0);
    BOOST_REQUIRE(!settings->entry.text().empty());
    return true;
}

/** An accepted message is complete: what it was read to can be written and read again. */
bool readMessage(const std::string& bytes)
{
    const auto message = peer::decode(bytes);
    if (!message) {
        return false;
    }
    BOOST_REQUIRE((peer::decode(peer::encode(*message)) == *message));
    return true;
}

const std::array readers {
    Reader { "manifest", test::example("hallbach.json"), 150, readManifest },
    Reader { "settings", test::example("settings.json"), 3000, readSettings },
    Reader { "heartbeat", peer::encode(envelopeOf(peer::Heartbeat { version, false, 20, true, { 5, 6 } })),
        30000, readMessage },
    Reader { "manifest request", peer::encode(envelopeOf(peer::ManifestRequest { version, version })), 30000,
        readMessage },
    Reader { "manifest reply",
        peer::encode(envelopeOf(peer::ManifestReply { version, version.digest, { 1, 2, "middle" } })), 30000,
        readMessage },
    Reader { "leaving VMs", peer::encode(envelopeOf(peer::LeavingVms { { model::VmId { "vm-1" } } })), 30000,
        readMessage },
};

std::string mutate(std::string text, pcg32& random)
{
    const auto mutations = 1 + random(4);
    for (std::uint32_t count = 0; count < mutations && !text.empty(); ++count) {
        const auto position = random(static_cast<std::uint32_t>(text.size()));
        const auto length = random(16);
        switch (random(5)) {
        case 0:
            text[position] = static_cast<char>(random(256));
            break;
        case 1:
            text[position] = static_cast<char>(text[position] ^ (1 << random(8)));
            break;
        case 2:
            text.erase(position, length);
            break;
        case 3:
            text.insert(position, text.substr(random(static_cast<std::uint32_t>(text.size())), length));
            break;
        default:
            text.resize(position);
            break;
        }
    }
    return text;
}

/** Guards against input that crashes a reader or is accepted although it is not valid. */
BOOST_DATA_TEST_CASE(survives_mutated_input, boost::unit_test::data::make(readers), row)
{
    constexpr std::uint64_t seed = 20261204;
    pcg32 random { seed };
    BOOST_TEST(row.read(row.seedInput));
    int accepted = 0;
    for (int round = 0; round < row.rounds; ++round) {
        accepted += row.read(mutate(row.seedInput, random)) ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(row.label << ": accepted " << accepted << " of " << row.rounds);
}

} // namespace
