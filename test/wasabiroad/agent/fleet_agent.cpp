#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/agent/site.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

enum class OwnerEvent : unsigned char { Stays, Stops, Crashes };

/** A wave, and what happens to the daemon that owns the fleet duty. */
struct Row {
    const char* title;
    const std::uint32_t parallelism;
    const OwnerEvent ownerEvent;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "one at a time", 1, OwnerEvent::Stays },
    { "three at once", 3, OwnerEvent::Stays },
    { "the owner crashes", 3, OwnerEvent::Crashes },
    { "the owner stops while a VM is down", 1, OwnerEvent::Stops },
};

/** Guards against waves that end tasks, take down too many VMs, or are reported as completed too early. */
BOOST_DATA_TEST_CASE(wave_maintains_all_vms, data::make(rows), row)
{
    Site site { 2 };
    site.workers.add("reserve", spare, 4000);
    if (row.ownerEvent == OwnerEvent::Stops) {
        // Longer than the next owner needs to take over.
        site.workers.setDownTime({ 2000 });
    }
    std::vector<model::VmId> vms;
    for (const auto& vm : site.workers.vms()) {
        vms.push_back(vm.vm);
    }
    site.waves.push_back({ model::WaveId { "1" }, 1, vms, { 20000 }, row.parallelism });
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(makeJob("a", 700, 8));
    BOOST_REQUIRE(site.runUntil([&] { return !site.workers.maintained().empty(); }));
    const std::size_t owner = site.store.find("owner/fleet")->value.starts_with("entry-0") ? 0 : 1;
    if (row.ownerEvent == OwnerEvent::Crashes) {
        site.daemons[owner]->agent->abandon();
    } else if (row.ownerEvent == OwnerEvent::Stops) {
        site.daemons[owner]->agent->stop([] {});
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

/** Pool of the VMs of a wave whose orders are carried out late, and whether the owner changes meanwhile. */
struct LateRow {
    const char* title;
    const bool isSpare;
    const OwnerEvent ownerEvent;

    friend std::ostream& operator<<(std::ostream& out, const LateRow& row) { return out << row.title; }
};

const std::vector<LateRow> lateRows {
    { "the owner stays", false, OwnerEvent::Stays },
    { "the owner stops", false, OwnerEvent::Stops },
    { "the owner crashes", false, OwnerEvent::Crashes },
    { "the owner of spare VMs stays", true, OwnerEvent::Stays },
    { "the owner of spare VMs stops", true, OwnerEvent::Stops },
};

/** Guards against a second VM of a wave that goes down while an unanswered order for the first may still be
 * carried out. */
BOOST_DATA_TEST_CASE(unanswered_order_counts_until_it_is_settled, data::make(lateRows), row)
{
    Site site { 2 };
    site.workers.setDownTime({ 1500 });
    for (const auto* const name : { "r0", "r1" }) {
        site.workers.add(name, spare, 4000);
    }
    const std::vector<model::VmId> vms { model::VmId { row.isSpare ? "r0" : "vm0" },
        model::VmId { row.isSpare ? "r1" : "vm1" } };
    for (const auto& vm : vms) {
        site.lateMaintenance.emplace(vm, kernel::Duration { 3000 });
    }
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(500);
    site.waves.push_back({ model::WaveId { "1" }, 1, vms, { 20000 }, 1 });
    BOOST_REQUIRE(site.runUntil([&] { return !site.lateHolder.empty(); }));
    site.runFor(300);
    const std::size_t owner = site.store.find("owner/fleet")->value.starts_with("entry-0") ? 0 : 1;
    if (row.ownerEvent == OwnerEvent::Stops) {
        site.daemons[owner]->agent->stop([] {});
    } else if (row.ownerEvent == OwnerEvent::Crashes) {
        site.daemons[owner]->agent->abandon();
    }
    BOOST_TEST(site.runUntil([&] {
        const auto status = site.store.find("status/1");
        return status && status->value == "completed";
    }));
    // Orders that are late may still be carried out.
    site.runFor(3500);
    BOOST_TEST(site.workers.mostDown() == 1);
    BOOST_TEST(site.workers.maintained().size() == vms.size());
}

/** Why VMs are taken down while tasks are started all the time. */
struct DepartureRow {
    const char* title;
    const bool isWave;

    friend std::ostream& operator<<(std::ostream& out, const DepartureRow& row) { return out << row.title; }
};

const std::vector<DepartureRow> departures {
    { "maintenance", true },
    { "moves", false },
};

/** Guards against tasks that start on a VM after it was ordered into maintenance or to another pool. */
BOOST_DATA_TEST_CASE(no_task_starts_on_a_vm_that_was_ordered_away, data::make(departures), row)
{
    Site site { 1, 6 };
    // Upstreams stay listed after they have gone, and calls to them are not answered.
    site.workers.setDeparture({ 3000 }, { 1500 });
    site.workers.add("r0", spare, 4000);
    BOOST_REQUIRE(site.waitForOwner());
    if (row.isWave) {
        std::vector<model::VmId> vms;
        for (const auto* const name : { "vm0", "vm1", "vm2", "vm3", "vm4", "vm5" }) {
            vms.emplace_back(name);
        }
        site.waves.push_back({ model::WaveId { "1" }, 1, vms, { 20000 }, 2 });
    }
    const auto isOver
        = [&] { return row.isWave ? site.workers.maintained().size() == 6 : site.workers.moveCount() >= 3; };
    constexpr int most = 400;
    int jobs = 0;
    while (!isOver() && jobs < most) {
        site.submit(makeJob("j" + std::to_string(++jobs), 40, 2));
        site.runFor(20);
    }
    BOOST_TEST(isOver());
    for (int more = 0; more < 30; ++more) {
        site.submit(makeJob("j" + std::to_string(++jobs), 40, 8));
        site.runFor(20);
    }
    BOOST_TEST(site.workers.startsOnDeparted().empty(), boost::test_tools::per_element());
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

/** Guards against a pool that stands while VMs that it has drained for a move cannot be moved. */
BOOST_AUTO_TEST_CASE(pool_gets_back_vms_whose_moves_are_rejected)
{
    /** Time for which a job with tasks to start may stand, in ms. */
    constexpr std::int64_t standLimit = 3000;
    Site site { 1, 6 };
    site.workers.add("r0", spare, 4000);
    site.moveFault = MoveFault::Rejected;
    BOOST_REQUIRE(site.waitForOwner());
    const auto drains = [&] { return site.store.list(keys::drainsOf(service)).entries.size(); };
    BOOST_REQUIRE(site.runUntil([&] { return drains() >= 3; }));
    const auto submitted = kernel::now(kernel::SteadyClock {});
    site.submit(makeJob("wide", 20000, 24));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 24; }));
    BOOST_TEST((kernel::now(kernel::SteadyClock {}) - submitted).milliseconds < standLimit);
}

/** Guards against tasks that end with a VM whose unanswered move is carried out late. */
BOOST_AUTO_TEST_CASE(vm_stays_drained_while_its_move_may_be_carried_out)
{
    Site site { 1, 6 };
    site.workers.add("r0", spare, 4000);
    site.moveFault = MoveFault::Late;
    BOOST_REQUIRE(site.waitForOwner());
    const auto drains = [&] { return site.store.list(keys::drainsOf(service)).entries.size(); };
    BOOST_REQUIRE(site.runUntil([&] { return drains() >= 3; }));
    site.runFor(500);
    site.submit(makeJob("wide", 20000, 24));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.moveCount() >= 3; }));
    site.runFor(500);
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

/** Guards against an unanswered order of a move that is carried out after the VM was moved on. */
BOOST_AUTO_TEST_CASE(late_order_does_not_move_a_vm_that_later_orders_have_moved)
{
    Site site { 1, 6 };
    site.workers.add("r0", spare, 4000);
    site.moveFault = MoveFault::Late;
    BOOST_REQUIRE(site.waitForOwner());
    BOOST_REQUIRE(site.runUntil([&] { return !site.store.list(keys::drainsOf(service)).entries.empty(); }));
    site.runFor(1000);
    // The orders are repeated and answered. A burst takes the VMs back before the first orders are carried
    // out.
    site.moveFault = MoveFault::None;
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.moveCount() >= 3; }));
    site.submit(makeJob("wide", 20000, 28));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 28; }));
    site.runFor(lateMoveDelay.milliseconds);
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

/** Whether VMs can be listed while drains are stale. */
struct DrainRow {
    const char* title;
    const bool failsToListVms;

    friend std::ostream& operator<<(std::ostream& out, const DrainRow& row) { return out << row.title; }
};

const std::vector<DrainRow> drainRows {
    { "VMs are listed", false },
    { "VMs cannot be listed", true },
};

/** Guards against upstreams that get no more tasks after the daemon that drained them is gone. */
BOOST_DATA_TEST_CASE(drains_of_a_previous_owner_are_removed, data::make(drainRows), row)
{
    Site site { 1, 2 };
    site.failsToListVms = row.failsToListVms;
    BOOST_REQUIRE(site.waitForOwner());
    for (const auto& vm : site.workers.vms()) {
        site.store.put(
            "pool/checks/drain/" + vm.vm.text(), jobs::encode(jobs::Drain { vm.upstream.text(), false }));
    }
    site.runFor(100);
    site.submit(makeJob("a", 50, 4));
    BOOST_TEST(site.reaches("a", jobs::JobState::Completed));
    BOOST_TEST(site.store.list("pool/checks/drain/").entries.empty());
}

/** Guards against a wave that never ends because a late change has removed the drain of one of its VMs. */
BOOST_AUTO_TEST_CASE(lost_drain_is_requested_again)
{
    Site site { 1, 4 };
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(makeJob("a", 1500, 16));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 16; }));
    site.waves.push_back({ model::WaveId { "1" }, 1, { model::VmId { "vm0" } }, { 20000 }, 1 });
    const auto key = keys::drain(service, model::VmId { "vm0" });
    BOOST_REQUIRE(site.runUntil([&] { return site.store.find(key).has_value(); }));
    const auto store = site.store.connect(std::make_shared<standin::StoreFaults>());
    site.await<store::ChangeOutcome>([&](auto callback) {
        store.change({ {}, {}, { key } }, std::move(callback));
    });
    BOOST_TEST(site.runUntil([&] {
        const auto status = site.store.find("status/1");
        return status && status->value == "completed";
    }));
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

/** Guards against tasks that end with their VM because a drain report from before their start is accepted. */
BOOST_AUTO_TEST_CASE(drain_reports_of_earlier_drains_are_ignored)
{
    Site site { 1, 2 };
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(makeJob("a", 900, 8));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 8; }));
    std::vector<model::VmId> vms;
    for (const auto& vm : site.workers.vms()) {
        site.store.put("emptied/" + vm.vm.text(), vm.upstream.text());
        vms.push_back(vm.vm);
    }
    site.waves.push_back({ model::WaveId { "1" }, 1, vms, { 20000 }, 2 });
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.maintained().size() == vms.size(); }));
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
    BOOST_TEST(site.reaches("a", jobs::JobState::Completed));
}

/** Guards against a burst that waits for VMs because the fleet duty has a new owner. */
BOOST_AUTO_TEST_CASE(next_owner_orders_other_vms_at_once)
{
    constexpr kernel::Duration gap { 4000 };
    Site site { 2, 3, gap };
    for (const auto* const name : { "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9" }) {
        site.workers.add(name, spare, 4000);
    }
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(makeJob("wide", 6000, 20));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.moveCount() > 0; }));
    const auto moved = site.workers.moveCount();
    const auto holder = site.workers.holdersOfMoves().front();
    const std::size_t owner = site.store.find("owner/fleet")->value.starts_with("entry-0") ? 0 : 1;
    site.daemons[owner]->agent->stop([] {});
    site.submit(makeJob("wider", 6000, 60), 1 - owner);
    const auto changed = kernel::now(kernel::SteadyClock {});
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.holdersOfMoves().back() != holder; }));
    BOOST_TEST((kernel::now(kernel::SteadyClock {}) - changed < gap));
    BOOST_TEST(site.workers.moveCount() > moved);
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

/** Guards against a fleet whose VMs never move again because the list of recent orders is unreadable. */
BOOST_AUTO_TEST_CASE(unreadable_list_of_recent_orders_only_delays_orders)
{
    Site site { 1, 3 };
    site.store.put("orders", "\xff\xff");
    site.workers.add("r0", spare, 4000);
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(makeJob("wide", 1500, 20));
    BOOST_TEST(site.runUntil([&] { return site.workers.moveCount() > 0; }));
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

/** Guards against a pool that gets no spare VMs, and against moves that end tasks. */
BOOST_AUTO_TEST_CASE(spare_vms_are_moved_in_when_tasks_wait)
{
    Site site { 1, 3 };
    for (const auto* const name : { "r0", "r1", "r2" }) {
        site.workers.add(name, spare, 4000);
    }
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(600);
    site.submit(makeJob("wide", 1500, 40));
    BOOST_TEST(site.reaches("wide", jobs::JobState::Completed));
    BOOST_TEST(site.workers.moveCount() >= 3);
    // The pool returns the VMs that it no longer needs.
    BOOST_TEST(site.runUntil([&] { return site.workers.moveCount() >= 6; }));
    BOOST_TEST(site.workers.broken().empty());
}

/** Guards against moves based on the demand that a pool reported before its owner was lost. */
BOOST_AUTO_TEST_CASE(no_vm_moves_by_a_report_of_unknown_age)
{
    Site site { 1 };
    for (const auto* const name : { "reserve-0", "reserve-1", "reserve-2" }) {
        site.workers.add(name, spare, 4000);
    }
    site.store.put(keys::poolOwner(service), "entry-9#9");
    site.store.put(keys::report(service), jobs::encode(jobs::PoolReport { .wanted = { 100000, 1000, 0 } }));
    BOOST_REQUIRE(site.runUntil([&] { return site.store.find("owner/fleet").has_value(); }));
    site.runFor(1500);
    BOOST_TEST(site.workers.moveCount() == 0);
}

} // namespace

} // namespace wasabiroad::agent::test
