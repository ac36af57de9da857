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

WaveVm vm(const std::string& name, const model::ServiceId& pool, WaveStage stage)
{
    return { model::VmId { name }, pool, stage };
}

struct Row {
    const char* title;
    const std::vector<WaveVm> vms;
    const std::uint32_t parallelism;
    const std::vector<std::string> chosen;

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
    { "only VMs that are up", { vm("a", spare, WaveStage::Unavailable), vm("b", spare, WaveStage::Done) }, 4,
        {} },
};

/** Guards against more VMs out of service than the limits of the wave and of the pool allow. */
BOOST_DATA_TEST_CASE(selection_stays_within_the_limits, data::make(rows), row)
{
    const std::vector<PoolSize> pools { { checks, 8, true }, { spare, 4, false } };
    std::vector<std::string> names;
    for (const auto& chosen : selectWaveVms(row.vms, pools, row.parallelism)) {
        names.push_back(chosen.text());
    }
    BOOST_TEST(names == row.chosen, boost::test_tools::per_element());
}

} // namespace

} // namespace wasabiroad::scheduling
