#include "wasabiroad/agent/site.hpp"

namespace wasabiroad::agent::test {

namespace {

/** Guards against a long-running task that is moved away from a VM of a wave when no other VM has room. */
BOOST_AUTO_TEST_CASE(long_running_tasks_work_while_a_wave_waits_for_room)
{
    constexpr std::size_t count = 2;
    Site site { 1, 2 };
    site.workers.setDownTime({ 60000 });
    BOOST_REQUIRE(site.waitForOwner());
    const jobs::Step step { .count = count,
        .resources = { 1500, 100, 0 },
        .estimate = { 1000000 },
        .longRunning = true,
        .maxUnavailable = 1 };
    const jobs::JobId lasting { "lasting" };
    site.submit({ .id = lasting,
        .queue = queue,
        .service = service,
        .payload = "10000000",
        .steps = { step },
        .accepted = kernel::now(kernel::WallClock {}),
        .maxAttempts = 3,
        .stretch = 2,
        .allowance = { 1000 } });
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningOf(lasting) == count; }));
    site.workers.maintain(
        model::VmId { "vm1" }, { "operator", site.store.find("owner/fleet")->revision.value });
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningOf(lasting) == count; }));
    site.waves.push_back({ model::WaveId { "1" }, 1, { model::VmId { "vm0" } }, { 20000 }, 1 });
    site.runFor(12000);
    BOOST_TEST(site.workers.runningOf(lasting) == count);
}

} // namespace

} // namespace wasabiroad::agent::test
