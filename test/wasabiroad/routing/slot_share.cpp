#include "wasabiroad/routing/slot_share.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

struct Row {
    /** Live entry VMs in each availability zone. */
    const std::size_t entries;
    const std::uint32_t zones;
    const std::uint32_t slots;
    const std::uint32_t connections;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << row.zones << " zones with " << row.entries << " entries, " << row.slots << " slots";
}

const std::array rows {
    Row { 1, 1, 8, 64 },
    Row { 2, 4, 8, 64 },
    Row { 3, 3, 8, 64 },
    Row { 5, 1, 8, 64 },
    Row { 20, 5, 8, 64 },
    Row { 1, 8, 1, 4 },
    Row { 4, 2, 3, 16 },
};

std::vector<std::string> entriesOf(std::uint32_t zone, std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back("entry-" + std::to_string(zone) + "-" + std::to_string(index));
    }
    return names;
}

/** Guards against slots granted to two entry VMs of a zone, and against too many connections. */
BOOST_DATA_TEST_CASE(shares_add_up, boost::unit_test::data::make(rows), row)
{
    for (int vm = 0; vm < 50; ++vm) {
        std::uint32_t localSlots = 0;
        std::uint32_t connections = 0;
        for (std::uint32_t zone = 0; zone < row.zones; ++zone) {
            const routing::SlotCapacity upstream { "vm-" + std::to_string(vm), zone == 0, row.slots,
                row.connections };
            const auto entries = entriesOf(zone, row.entries);
            for (const auto& entry : entries) {
                const auto share
                    = routing::slotShare(model::DividedSlots {}, upstream, { entry, entries, row.zones });
                localSlots += zone == 0 ? share.slots : 0;
                connections += share.connections;
                BOOST_TEST(share.connections >= share.slots);
            }
        }
        BOOST_TEST(localSlots == row.slots);
        BOOST_TEST(connections <= row.connections);
    }
}

} // namespace
