#include "wasabiroad/peer/watch_role.hpp"

#include "wasabiroad/peer/describe.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using namespace wasabiroad::peer;
using model::EntryId;
using model::ZoneId;

struct Row {
    const std::string label;
    const int entries;
    /** Entries from this index on do not reach the platform. */
    const int reaching;
    const std::size_t watchers;
    const std::size_t reserves;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "alone", 1, 1, 1, 0 },
    Row { "alone without platform", 1, 0, 1, 0 },
    Row { "two", 2, 2, 1, 1 },
    Row { "twenty", 20, 20, 1, 1 },
    Row { "only three reach the platform", 20, 3, 1, 1 },
    Row { "only one reaches the platform", 20, 1, 1, 0 },
    Row { "none reaches the platform", 20, 0, 1, 1 },
};

std::string nameOf(int index) { return "entry-" + std::to_string(index); }

/** Membership of one entry in which all others of the zone are live. */
Membership fullView(int self, const Row& row)
{
    std::vector<PeerName> names;
    for (int index = 0; index < row.entries; ++index) {
        if (index != self) {
            names.emplace_back(PeerName { EntryId { nameOf(index) }, ZoneId { "z1" } });
        }
    }
    Membership membership { { EntryId { nameOf(self) }, ZoneId { "z1" }, 1 }, names };
    Changes changes;
    membership.noteSent(1, { 1000 });
    for (int index = 0; index < row.entries; ++index) {
        const EntryId peer { nameOf(index) };
        const Heartbeat heartbeat { .platformReachable = index < row.reaching, .heard = { 1, 1 } };
        if (membership.admit({ 1000 }, peer, { 2, 1 }, changes) == Admission::Accepted) {
            membership.apply({ 1000 }, peer, heartbeat, changes);
        }
    }
    return membership;
}

/** Guards against a zone without a watch, or with one watch for each daemon. */
BOOST_DATA_TEST_CASE(few_daemons_of_a_zone_watch, boost::unit_test::data::make(rows), row)
{
    std::size_t watchers = 0;
    std::size_t reserves = 0;
    for (int self = 0; self < row.entries; ++self) {
        const auto role = roleOf(fullView(self, row), self < row.reaching);
        watchers += std::holds_alternative<Watcher>(role) ? 1U : 0U;
        reserves += std::holds_alternative<ReserveWatcher>(role) ? 1U : 0U;
    }
    BOOST_TEST(watchers == row.watchers);
    BOOST_TEST(reserves == row.reserves);
}

} // namespace
