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

/** Guards against upstreams that stay closed to tasks since the daemon that drained them is gone. */
BOOST_AUTO_TEST_CASE(drains_of_a_former_owner_are_removed)
{
    Site site { 1, 2 };
    BOOST_REQUIRE(site.hasOwner());
    for (const auto& vm : site.workers.vms()) {
        site.store.put(
            "pool/checks/drain/" + vm.vm.text(), jobs::encode(jobs::Drain { vm.upstream.text(), false }));
    }
    site.runFor(100);
    site.submit(makeJob("a", 50, 4));
    BOOST_TEST(site.reaches("a", jobs::JobState::Completed));
    BOOST_TEST(site.store.list("pool/checks/drain/").entries.empty());
}

/** Guards against a pool that gets no VMs of the reserve, and against moves that end tasks. */
BOOST_AUTO_TEST_CASE(vms_of_the_reserve_come_when_tasks_wait)
{
    Site site { 1, 3 };
    for (const auto* const name : { "r0", "r1", "r2" }) {
        site.workers.add(name, spare, 4000);
    }
    BOOST_REQUIRE(site.hasOwner());
    site.runFor(600);
    site.submit(makeJob("wide", 1500, 40));
    BOOST_TEST(site.reaches("wide", jobs::JobState::Completed));
    BOOST_TEST(site.workers.moveCount() >= 3);
    // The pool gives back what it no longer needs.
    BOOST_TEST(site.runUntil([&] { return site.workers.moveCount() >= 6; }));
    BOOST_TEST(site.workers.broken().empty());
}

} // namespace

} // namespace wasabiroad::agent::test
