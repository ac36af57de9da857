#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/agent/site.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

/** @return A job with `count` long-running tasks, of which one may be unavailable; each needs `cpu`
 * thousandths of a core. */
jobs::Job makeLastingJob(const jobs::JobId& id, std::uint32_t count, std::int64_t cpu)
{
    const jobs::Step step { .count = count,
        .resources = { cpu, 100, 0 },
        .estimate = { 1000000 },
        .longRunning = true,
        .maxUnavailable = 1 };
    return { .id = id,
        .queue = queue,
        .service = service,
        .payload = "10000000",
        .steps = { step },
        .accepted = kernel::now(kernel::WallClock {}),
        .maxAttempts = 3,
        .stretch = 2,
        .allowance = { 1000 } };
}

/** Guards against a long-running task that is moved away from a VM of a wave when no other VM has room. */
BOOST_AUTO_TEST_CASE(long_running_tasks_work_while_a_wave_waits_for_room)
{
    constexpr std::size_t count = 2;
    Site site { 1, 2 };
    site.workers.setDownTime({ 60000 });
    BOOST_REQUIRE(site.waitForOwner());
    const jobs::JobId lasting { "lasting" };
    site.submit(makeLastingJob(lasting, count, 1500));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningOf(lasting) == count; }));
    site.workers.maintain(
        model::VmId { "vm1" }, { "operator", site.store.find("owner/fleet")->revision.value });
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningOf(lasting) == count; }));
    site.waves.push_back({ model::WaveId { "1" }, 1, { model::VmId { "vm0" } }, { 20000 }, 1 });
    site.runFor(12000);
    BOOST_TEST(site.workers.runningOf(lasting) == count);
}

/** Number of waves that name VMs of one pool at once. */
struct ShortPoolRow {
    const char* title;
    const std::size_t waves;

    friend std::ostream& operator<<(std::ostream& out, const ShortPoolRow& row) { return out << row.title; }
};

const std::vector<ShortPoolRow> shortPoolRows {
    { "one wave", 1 },
    { "two waves", 2 },
};

/** Guards against VMs that waves withhold without an end from a pool whose tasks cannot move elsewhere. */
BOOST_DATA_TEST_CASE(waves_return_vms_that_cannot_be_emptied, data::make(shortPoolRows), row)
{
    /** Maximum time in ms for which one drain may withhold a VM: 9 s in a pool that needs VMs, and 3 s for
     * its removal. */
    constexpr std::int64_t withholdLimit = 12000;
    Site site { 1, 3 };
    BOOST_REQUIRE(site.waitForOwner());
    // One task finds no room, so none of the others may be stopped.
    const jobs::JobId lasting { "lasting" };
    site.submit(makeLastingJob(lasting, 4, 3000));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningOf(lasting) == 3; }));
    for (std::size_t number = 1; number <= row.waves; ++number) {
        const model::VmId vm { "vm" + std::to_string(number) };
        site.waves.push_back({ model::WaveId { std::to_string(number) }, number, { vm }, { 1000 }, 1 });
    }
    std::size_t mostDrains = 0;
    const auto drains = [&] {
        const auto count = site.store.list(keys::drainsOf(service)).entries.size();
        mostDrains = std::max(mostDrains, count);
        return count;
    };
    BOOST_REQUIRE(site.runUntil([&] { return drains() > 0; }));
    const auto begin = kernel::now(kernel::SteadyClock {});
    BOOST_TEST(site.runUntil([&] { return drains() == 0; }));
    BOOST_TEST((kernel::now(kernel::SteadyClock {}) - begin).milliseconds < withholdLimit);
    BOOST_TEST(mostDrains == 1);
    BOOST_TEST(site.workers.runningOf(lasting) == 3);
    // The drain is tried again.
    BOOST_TEST(site.runUntil([&] { return drains() > 0; }));
}

/** Guards against a wave that drains the same VM again and again, although it cannot be emptied. */
BOOST_AUTO_TEST_CASE(wave_turns_to_other_vms_after_a_drain_that_was_given_up)
{
    Site site { 1, 3 };
    BOOST_REQUIRE(site.waitForOwner());
    const jobs::JobId lasting { "lasting" };
    site.submit(makeLastingJob(lasting, 4, 3000));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningOf(lasting) == 3; }));
    std::vector<model::VmId> vms;
    for (const auto& vm : site.workers.vms()) {
        vms.push_back(vm.vm);
    }
    site.waves.push_back({ model::WaveId { "1" }, 1, vms, { 1000 }, 1 });
    std::set<std::string> drained;
    BOOST_TEST(site.runUntil([&] {
        for (const auto& entry : site.store.list(keys::drainsOf(service)).entries) {
            drained.insert(entry.key);
        }
        return drained.size() >= 2;
    }));
}

} // namespace

} // namespace wasabiroad::agent::test
