#include "wasabiroad/agent/site.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

/** A wave, and what happens to the daemon that carries it out. */
struct Row {
    const char* title;
    const std::uint32_t parallelism;
    const bool ownerCrashes;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "one at a time", 1, false },
    { "three at once", 3, false },
    { "the owner crashes", 3, true },
};

/** Guards against waves that end tasks, take down too many VMs, or are said to be completed too early. */
BOOST_DATA_TEST_CASE(wave_maintains_all_vms, data::make(rows), row)
{
    Site site { 2 };
    site.workers.add("reserve", spare, 4000);
    std::vector<model::VmId> vms;
    for (const auto& vm : site.workers.vms()) {
        vms.push_back(vm.vm);
    }
    site.waves.push_back({ model::WaveId { "1" }, 1, vms, { 20000 }, row.parallelism });
    BOOST_REQUIRE(site.hasOwner());
    site.submit(makeJob("a", 700, 8));
    BOOST_REQUIRE(site.runUntil([&] { return !site.workers.maintained().empty(); }));
    const std::size_t owner = site.store.find("owner/fleet")->value.starts_with("entry-0") ? 0 : 1;
    if (row.ownerCrashes) {
        site.daemons[owner]->agent->abandon();
    }
    BOOST_REQUIRE(site.runUntil([&] {
        const auto status = site.store.find("status/1");
        return status && status->value == "completed";
    }));
    BOOST_TEST(site.workers.maintained().size() == vms.size());
    BOOST_TEST(site.workers.mostDown() <= row.parallelism);
    BOOST_TEST(site.workers.broken().empty());
    BOOST_TEST(site.reaches("a", jobs::JobState::Completed, 1 - owner));
}

} // namespace

} // namespace wasabiroad::agent::test
