#include "wasabiroad/scheduling/wave_plan.hpp"

#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling {

namespace {

namespace data = boost::unit_test::data;

const model::ServiceId checks { "checks" };
const model::ServiceId spare { "spare" };

WaveVm vm(const std::string& name, const model::ServiceId& pool, WaveStage stage, bool idle = false)
{
    return { model::VmId { name }, pool, stage, idle };
}

struct Row {
    const char* title;
    const std::vector<WaveVm> vms;
    const std::uint32_t parallelism;
    const std::vector<std::string> chosen;
    /** @brief VMs of the pool with jobs beyond its need. */
    const std::int64_t surplus { 0 };
    const bool sparesShortPools { false };
    /** @brief VMs of the pool with jobs that other waves have out of service. */
    const std::uint32_t otherWaves { 0 };

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "pools without jobs first", { vm("a", checks, WaveStage::Waiting), vm("b", spare, WaveStage::Waiting) },
        1, { "b" } },
    { "a quarter of a pool with jobs",
        { vm("a", checks, WaveStage::Waiting), vm("b", checks, WaveStage::Waiting),
            vm("c", checks, WaveStage::Waiting) },
        5, { "a", "b" } },
    { "draining VMs count against the pool",
        { vm("a", checks, WaveStage::Draining), vm("b", checks, WaveStage::Draining),
            vm("c", checks, WaveStage::Waiting) },
        5, {} },
    { "VMs in maintenance count against the wave",
        { vm("a", spare, WaveStage::InMaintenance), vm("b", checks, WaveStage::Waiting) }, 1, {} },
    { "idle VMs before busy ones",
        { vm("a", checks, WaveStage::Waiting), vm("b", checks, WaveStage::Waiting, true) }, 1, { "b" } },
    { "busy VMs fill up what idle ones leave",
        { vm("a", checks, WaveStage::Waiting), vm("b", checks, WaveStage::Waiting, true) }, 2, { "b", "a" } },
    { "a pool gives its surplus, beyond a quarter",
        { vm("a", checks, WaveStage::Waiting), vm("b", checks, WaveStage::Waiting),
            vm("c", checks, WaveStage::Waiting), vm("d", checks, WaveStage::Waiting) },
        5, { "a", "b", "c" }, 3 },
    { "a short pool gives idle VMs only while it is spared",
        { vm("a", checks, WaveStage::Waiting), vm("b", checks, WaveStage::Waiting, true) }, 5, { "b" }, -1,
        true },
    { "a pool without a shortage is not spared", { vm("a", checks, WaveStage::Waiting) }, 5, { "a" }, 0,
        true },
    { "a short pool that is no longer spared gives a quarter",
        { vm("a", checks, WaveStage::Waiting), vm("b", checks, WaveStage::Waiting),
            vm("c", checks, WaveStage::Waiting) },
        5, { "a", "b" }, -1 },
    { "VMs of other waves count against the pool",
        { vm("a", checks, WaveStage::Waiting), vm("b", checks, WaveStage::Waiting) }, 5, { "a" }, 0, false,
        1 },
    { "other waves have taken what the pool can give", { vm("a", checks, WaveStage::Waiting) }, 5, {}, 0,
        false, 2 },
    { "only VMs that are up", { vm("a", spare, WaveStage::Unavailable), vm("b", spare, WaveStage::Done) }, 4,
        {} },
};

/** Guards against more VMs out of service than the limits of the wave and of the pool allow. */
BOOST_DATA_TEST_CASE(selection_stays_within_the_limits, data::make(rows), row)
{
    const std::vector<PoolSize> pools { { checks, 8, true, row.surplus, row.otherWaves },
        { spare, 4, false } };
    std::vector<std::string> names;
    for (const auto& chosen : selectWaveVms(row.vms, pools, row.parallelism, row.sparesShortPools)) {
        names.push_back(chosen.text());
    }
    BOOST_TEST(names == row.chosen, boost::test_tools::per_element());
}

} // namespace

} // namespace wasabiroad::scheduling
