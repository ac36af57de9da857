#include "wasabiroad/peer/links.hpp"

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

struct Row {
    const std::string label;
    const int zones;
    const int perZone;
    /** Links that never come up, by their place in the first choice. */
    const std::size_t dead;
    const std::size_t links;
    /** Links of the first choice that are still chosen after the time of removal. */
    const std::size_t kept;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "no other zone", 1, 4, 0, 0, 0 },
    Row { "one entry in the other zone", 2, 1, 0, 1, 1 },
    Row { "two links per zone", 5, 20, 0, 8, 8 },
    Row { "a dead link is replaced", 2, 20, 1, 2, 1 },
    Row { "two dead links are replaced", 2, 20, 2, 2, 0 },
    Row { "a zone that is cut off is still tried", 2, 2, 2, 2, 2 },
};

Membership membershipOf(const Row& row)
{
    std::vector<PeerName> names;
    for (int zone = 0; zone < row.zones; ++zone) {
        for (int entry = 0; entry < row.perZone; ++entry) {
            const auto zoneName = "z" + std::to_string(zone);
            names.emplace_back(
                PeerName { EntryId { zoneName + "-" + std::to_string(entry) }, ZoneId { zoneName } });
        }
    }
    return { { EntryId { "self" }, ZoneId { "z0" }, 1 }, names };
}

/** Guards against zones without a link, and against links that stay on entries that are gone. */
BOOST_DATA_TEST_CASE(keeps_two_links_per_zone, boost::unit_test::data::make(rows), row)
{
    auto membership = membershipOf(row);
    Links links;
    Changes changes;
    const auto first = links.update({ 1000 }, membership);
    BOOST_TEST(first.size() == row.links);
    std::size_t place = 0;
    membership.noteSent(1, { 1000 });
    for (const auto& peer : first) {
        if (place++ >= row.dead
            && membership.admit({ 1000 }, peer, { 1, 1 }, changes) == Admission::Accepted) {
            membership.apply({ 1000 }, peer, { .heard = { 1, 1 } }, changes);
        }
    }
    links.update({ 1500 }, membership);
    const auto second = links.update(Instant { 1500 } + linkTiming.removeAfter, membership);
    BOOST_TEST(second.size() == row.links);
    std::size_t kept = 0;
    for (const auto& peer : first) {
        kept += second.contains(peer) ? 1U : 0U;
    }
    BOOST_TEST(kept == row.kept);
}

} // namespace
