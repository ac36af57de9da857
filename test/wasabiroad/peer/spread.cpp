#include "wasabiroad/peer/spread.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using namespace wasabiroad::peer;
using kernel::Instant;
using model::EntryId;
using model::ZoneId;

Version versionOf(std::uint64_t generation)
{
    return { { generation },
        generation == 0 ? std::string {} : std::string(31, '0') + std::to_string(generation) };
}

VersionedText textOf(std::uint64_t generation)
{
    return { versionOf(generation), "{\"generation\": " + std::to_string(generation) + ", \"rest\": true}" };
}

constexpr Instant start { 100000 };

/** Peers `b` of the own zone and `c` of another announce generations. */
Membership announced(std::uint64_t ofB, std::uint64_t ofC)
{
    Membership membership { { EntryId { "a" }, ZoneId { "z1" }, 1 },
        { { EntryId { "b" }, ZoneId { "z1" } }, { EntryId { "c" }, ZoneId { "z2" } } } };
    Changes changes;
    membership.noteSent(1, start);
    for (const auto& [name, generation] : { std::pair { "b", ofB }, std::pair { "c", ofC } }) {
        const EntryId peer { name };
        if (membership.admit(start, peer, { 2, 1 }, changes) == Admission::Accepted) {
            membership.apply(
                start, peer, { .configuration = versionOf(generation), .heard = { 1, 1 } }, changes);
        }
    }
    return membership;
}

struct Asking {
    const std::string label;
    const std::uint64_t own;
    const std::uint64_t ofB;
    const std::uint64_t ofC;
    /** Peer that is asked first, and after the first gave no answer; empty for none. */
    const std::string first;
    const std::string second;
};

std::ostream& operator<<(std::ostream& stream, const Asking& row) { return stream << row.label; }

const std::array asking {
    Asking { "nobody has one", 0, 0, 0, "", "" },
    Asking { "the own zone goes first", 0, 3, 3, "b", "c" },
    Asking { "the higher generation goes first", 1, 2, 3, "c", "b" },
    Asking { "a lower generation is never asked for", 4, 3, 2, "", "" },
    Asking { "the same generation is not asked for", 3, 3, 3, "", "" },
    Asking { "only one has it", 2, 3, 2, "b", "" },
};

/** Guards against a configuration that goes back, and against a peer without answer that blocks the spread.
 */
BOOST_DATA_TEST_CASE(asks_a_peer, boost::unit_test::data::make(asking), row)
{
    const auto membership = announced(row.ofB, row.ofC);
    Spread spread;
    if (row.own != 0) {
        spread.adopt(textOf(row.own));
    }
    const auto first = spread.next(start, membership);
    BOOST_TEST((first ? first->peer.text() : "") == row.first);
    BOOST_TEST(!(first && spread.next(start, membership)));
    const auto second = spread.next(start + Spread::answerWithin, membership);
    BOOST_TEST((second ? second->peer.text() : "") == row.second);
}

struct Answering {
    const std::string label;
    const std::uint64_t base;
    const std::uint64_t previous;
    const std::uint64_t current;
    const std::uint64_t wanted;
    const bool answered;
    const bool isDelta;
};

std::ostream& operator<<(std::ostream& stream, const Answering& row) { return stream << row.label; }

const std::array answering {
    Answering { "no base", 0, 1, 2, 2, true, false },
    Answering { "base of the generation before", 1, 1, 2, 2, true, true },
    Answering { "base that is no longer held", 1, 2, 3, 3, true, false },
    Answering { "a newer text than wanted", 1, 1, 3, 2, true, true },
    Answering { "a text that it does not have", 1, 1, 2, 3, false, false },
};

/** Guards against answers that the requester cannot use, and against whole texts for small changes. */
BOOST_DATA_TEST_CASE(answers_with_a_difference, boost::unit_test::data::make(answering), row)
{
    Spread server;
    server.adopt(textOf(row.previous));
    server.adopt(textOf(row.current));
    const auto reply = server.answer({ versionOf(row.wanted), versionOf(row.base) });
    BOOST_REQUIRE(reply.has_value() == row.answered);
    if (!reply) {
        return;
    }
    BOOST_TEST(!reply->baseDigest.empty() == row.isDelta);
    Spread client;
    if (row.base != 0) {
        client.adopt(textOf(row.base));
    }
    BOOST_REQUIRE(client.next(start, announced(row.wanted, 0)));
    BOOST_TEST(!client.complete(start, EntryId { "c" }, *reply));
    const auto text = client.complete(start, EntryId { "b" }, *reply);
    BOOST_REQUIRE(text);
    BOOST_TEST((*text == textOf(row.current)));
    BOOST_TEST(!client.complete(start, EntryId { "b" }, *reply));
}

/** Guards against a text that is fetched over and over although it was rejected. */
BOOST_AUTO_TEST_CASE(does_not_fetch_a_rejected_text_again)
{
    Spread spread;
    spread.reject(start, versionOf(3));
    BOOST_TEST(!spread.next(start, announced(3, 3)));
    BOOST_TEST(spread.next(start + Spread::rejectedFor, announced(3, 3)).has_value());
}

} // namespace
