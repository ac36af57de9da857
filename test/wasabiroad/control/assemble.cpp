#include "wasabiroad/control/assemble.hpp"

#include "wasabiroad/control/adopt.hpp"
#include "wasabiroad/example.hpp"
#include "wasabiroad/manifest/read.hpp"

#include <algorithm>
#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using model::VmState;

struct Row {
    const std::string label;
    const std::map<model::VmId, control::Assignment> assignments;
    const std::set<model::VmId> leaving;
    const std::vector<model::EntryId> zoneEntries;
    /** Expected view of vm-by-1-01, which the manifest puts into pool furnace. */
    const std::string pool;
    const bool accepting;
    const std::uint32_t slots;
    /** Expected slots of vm-by-2-01 in another availability zone; 1 when that zone's entry VMs use the rest.
     */
    const std::uint32_t otherZoneSlots;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const model::VmId vm { "vm-by-1-01" };
const model::EntryId self { "entry-a" };

const std::array rows {
    Row { "no peers", {}, {}, {}, "furnace", true, 8, 8 },
    Row { "only entry of its zone", {}, {}, { self }, "furnace", true, 8, 1 },
    Row { "two entries in the zone", {}, {}, { self, model::EntryId { "entry-b" } }, "furnace", true, 4, 1 },
    Row { "draining", { { vm, { model::PoolId { "furnace" }, VmState::Draining } } }, {}, {}, "furnace",
        false, 8, 8 },
    Row {
        "moved", { { vm, { model::PoolId { "office" }, VmState::Serving } } }, {}, {}, "office", true, 8, 8 },
    Row { "leaving", {}, { vm }, {}, "furnace", false, 8, 8 },
    Row { "serving and leaving", { { vm, { model::PoolId { "office" }, VmState::Serving } } }, { vm }, {},
        "office", false, 8, 8 },
};

/** Guards against work sent to VMs that drain or leave, a VM in two pools, and entry VMs that together use
 * more slots than an upstream has. */
BOOST_DATA_TEST_CASE(assembles_the_snapshot, boost::unit_test::data::make(rows), row)
{
    const auto text = test::example("hallbach.json");
    const auto configuration = control::adopt(nullptr, { { 1 }, manifest::digest(text) }, text);
    BOOST_REQUIRE(configuration);
    const control::ControlState state { *configuration, row.assignments, row.leaving,
        { row.zoneEntries, 1 } };
    const auto snapshot = control::assemble(state, { self, model::ZoneId { "by-1" } }, 7);

    const auto find = [&](const std::string& id) {
        return *std::ranges::find(snapshot.upstreams, model::VmId { id }, &model::UpstreamView::vm);
    };
    BOOST_TEST(find("vm-by-1-01").pool.text() == row.pool);
    BOOST_TEST(find("vm-by-1-01").accepting == row.accepting);
    BOOST_TEST(find("vm-by-1-01").slots == row.slots);
    BOOST_TEST(find("vm-by-2-01").slots == row.otherZoneSlots);
    std::map<std::uint32_t, int> servicesPerUpstream;
    for (const auto& [id, view] : snapshot.services) {
        for (const auto index : view.own) {
            ++servicesPerUpstream[index];
        }
    }
    BOOST_TEST(std::ranges::all_of(servicesPerUpstream, [](const auto& count) { return count.second == 1; }));
}

} // namespace
