#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/agent/site.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;
using jobs::JobState;

/** The event through which the owner loses the pool. */
struct Row {
    const char* title;
    const std::function<void(Site&, std::size_t)> loss;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "it crashes", [](Site& site, std::size_t owner) { site.daemons[owner]->agent->abandon(); } },
    { "it stops", [](Site& site, std::size_t owner) { site.daemons[owner]->agent->stop([] {}); } },
    { "it is cut off from the store",
        [](Site& site, std::size_t owner) { site.daemons[owner]->storeFaults->silent = true; } },
    { "the store ends its lease", [](Site& site, std::size_t) { site.store.endLeases(); } },
    { "it is cut off from the store and the next owner from an upstream",
        [](Site& site, std::size_t owner) {
            site.daemons[owner]->storeFaults->silent = true;
            site.daemons[1 - owner]->workerFaults->cut.insert(site.workers.members().front().id);
        } },
};

/** Guards against tasks that are lost or run twice when another daemon takes over a pool. */
BOOST_DATA_TEST_CASE(jobs_go_on_under_the_next_owner, data::make(rows), row)
{
    Site site { 2 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(300);
    const auto owner = *site.owner();
    const auto other = 1 - owner;
    const auto before = site.store.find("owner/pool/checks")->revision;
    site.submit(makeJob("long", 3000, 8), other);
    site.submit(makeJob("short", 50, 4), other);
    BOOST_REQUIRE(site.reaches("short", JobState::Completed, other));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 8; }));
    row.loss(site, owner);
    BOOST_REQUIRE(site.runUntil([&] {
        const auto entry = site.store.find("owner/pool/checks");
        return entry && entry->revision > before;
    }));
    BOOST_TEST((site.submit(makeJob("later", 50), other) == SubmitOutcome { Accepted {} }));
    BOOST_TEST(site.reaches("later", JobState::Completed, other));
    BOOST_TEST(site.reaches("long", JobState::Completed, other));
    BOOST_TEST(site.workers.broken().empty());
    for (const auto& fault : site.workers.broken()) {
        BOOST_TEST_MESSAGE(fault);
    }
}

/** @return Number of upstreams that are recorded as used. */
std::size_t usedCount(const Site& site)
{
    const auto entry = site.store.find(keys::usedUpstreams(service));
    return entry ? jobs::decodeUpstreams(entry->value).value_or(std::vector<std::string> {}).size() : 0;
}

/** Guards against a delayed write that removes a used upstream from the record: the next owner would not wait
 * for the tasks there. */
BOOST_AUTO_TEST_CASE(late_record_of_used_upstreams_does_not_replace_a_newer_one)
{
    Site site { 1, 1 };
    const auto used = [&] { return usedCount(site); };
    BOOST_REQUIRE(site.runUntil([&] { return used() == 1; }));
    site.daemons[0]->storeFaults->changeDelay = { 2500 };
    site.workers.add("vm-b", service, 4000);
    site.runFor(450);
    site.daemons[0]->storeFaults->changeDelay = {};
    site.workers.add("vm-c", service, 4000);
    BOOST_REQUIRE(site.runUntil([&] { return used() == 3; }));
    std::size_t least = used();
    for (int step = 0; step < 300; ++step) {
        site.runFor(10);
        least = std::min(least, used());
    }
    BOOST_TEST(least == 3);
}

/** Guards against one daemon taking all duties of a site. */
BOOST_AUTO_TEST_CASE(duties_are_spread_over_daemons)
{
    Site site { 2 };
    BOOST_REQUIRE(site.runUntil([&] {
        return site.store.find("owner/pool/checks").has_value() && site.store.find("owner/fleet").has_value();
    }));
    BOOST_TEST(site.store.find("owner/pool/checks")->value != site.store.find("owner/fleet")->value);
}

/** Guards against a takeover that also reads the jobs that have ended. */
BOOST_DATA_TEST_CASE(takeover_reads_open_jobs_only, data::make({ 0, 40 }), ended)
{
    Site site { 1 };
    BOOST_REQUIRE(site.waitForOwner());
    for (int number = 0; number < ended; ++number) {
        site.submit(makeJob("ended-" + std::to_string(number), 10, 1));
    }
    for (int number = 0; number < ended; ++number) {
        BOOST_REQUIRE(site.reaches("ended-" + std::to_string(number), JobState::Completed));
    }
    site.submit(makeJob("open", 3000));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 2; }));
    site.daemons[0]->agent->abandon();
    const auto listed = [&] {
        return site.store.listedCount(keys::pool(service)) + site.store.listedCount(keys::progressOf(service))
            + site.store.listedCount(keys::recordsOf(service));
    };
    const auto before = listed();
    site.addDaemon();
    BOOST_TEST(site.reaches("open", JobState::Completed, 1));
    // The open job and its progress; the owner of the fleet also lists the drains of the pool, which are few.
    BOOST_TEST(listed() - before <= 8);
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "open" }) == 2);
    BOOST_TEST(site.workers.broken().empty());
}

/** Guards against completed tasks that run again under the next owner. */
BOOST_AUTO_TEST_CASE(next_owner_knows_what_is_done)
{
    Site site { 1, 1 };
    BOOST_REQUIRE(site.waitForOwner());
    // The last two tasks start after the first two are done.
    site.submit(makeJob("a", 1500, 6));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.startsOf(jobs::JobId { "a" }) == 6; }));
    site.runFor(200);
    site.daemons[0]->agent->abandon();
    site.addDaemon();
    BOOST_TEST(site.reaches("a", JobState::Completed, 1));
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 6);
    BOOST_TEST(site.workers.broken().empty());
}

/** Guards against starting completed tasks again whose ends an upstream lists only after earlier ones have
 * been acknowledged. */
BOOST_AUTO_TEST_CASE(next_owner_awaits_ends_beyond_the_first_list)
{
    Site site { 1, 1 };
    site.workers.setEndsPerList(1);
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(makeJob("a", 600, 4));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 4; }));
    // Without a record of the ends the owner acknowledges none.
    site.daemons[0]->storeFaults->refusedPrefix = keys::recordsOf(service);
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 0; }));
    site.daemons[0]->agent->abandon();
    site.addDaemon();
    BOOST_TEST(site.reaches("a", JobState::Completed, 1));
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 4);
    BOOST_TEST(site.workers.broken().empty());
}

/** How each owner in turn gives up the pool after an upstream was lost. */
struct HandOverRow {
    const char* title;
    const bool lastCrashes;
    /** @brief Maximum time after the loss until its tasks run elsewhere, in ms. */
    const std::int64_t limit;

    friend std::ostream& operator<<(std::ostream& out, const HandOverRow& row) { return out << row.title; }
};

const std::vector<HandOverRow> handOvers {
    { "all owners stop", false, 10000 },
    { "the last owner crashes", true, 20000 },
};

/** Guards against a task of a lost upstream that stays away as each new owner waits for its lease anew. */
BOOST_DATA_TEST_CASE(owners_in_turn_wait_for_a_lost_upstream_once, data::make(handOvers), row)
{
    Site site { 4, 3 };
    BOOST_REQUIRE(site.waitForOwner());
    BOOST_REQUIRE(site.runUntil([&] { return usedCount(site) == 3; }));
    site.submit(makeJob("a", 60000, 4));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 4; }));
    site.runFor(500);
    const auto lost = site.workers.busiest();
    const auto lostAt = kernel::now(kernel::SteadyClock {});
    for (const auto& daemon : site.daemons) {
        daemon->workerFaults->cut.insert(lost);
    }
    for (int turn = 0; turn < 3; ++turn) {
        site.runFor(1300);
        BOOST_REQUIRE(site.waitForOwner());
        const auto owner = *site.owner();
        const auto term = site.store.find(keys::poolOwner(service))->revision;
        if (row.lastCrashes && turn == 2) {
            site.daemons[owner]->agent->abandon();
        } else {
            site.daemons[owner]->agent->stop([] {});
        }
        BOOST_REQUIRE(site.runUntil([&] {
            const auto entry = site.store.find(keys::poolOwner(service));
            return entry && entry->revision > term;
        }));
    }
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.startsOf(jobs::JobId { "a" }) == 8; }));
    const auto away = kernel::now(kernel::SteadyClock {}) - lostAt;
    BOOST_TEST(away.milliseconds < row.limit);
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

/** How an upstream is lost at the same time as the owner of its pool. */
struct LostUpstreamRow {
    const char* title;
    const std::function<void(Site&, const scheduling::UpstreamId&)> loss;
    /** @brief Whether its tasks may still run there. */
    const bool mayRun;

    friend std::ostream& operator<<(std::ostream& out, const LostUpstreamRow& row)
    {
        return out << row.title;
    }
};

const std::vector<LostUpstreamRow> lostUpstreams {
    { "its VM loses power", [](Site& site, const auto&) { site.workers.powerOff("vm0"); }, false },
    { "its VM has another upstream", [](Site& site, const auto&) { site.workers.replace("vm0"); }, false },
    { "it cannot be reached",
        [](Site& site, const auto& id) {
            for (const auto& daemon : site.daemons) {
                daemon->workerFaults->cut.insert(id);
            }
        },
        true },
};

/** Guards against takeovers that wait for a lost upstream, or start the tasks of one that is cut off. */
BOOST_DATA_TEST_CASE(takeover_waits_only_for_upstreams_that_may_run_tasks, data::make(lostUpstreams), row)
{
    /** Time for which a job with tasks to start may stand, in ms. */
    constexpr std::int64_t standLimit = 3000;
    Site site { 2, 3 };
    site.workers.setDeparture({ 5000 }, { 500 });
    BOOST_REQUIRE(site.runUntil([&] { return usedCount(site) == 3; }));
    const auto lost = site.workers.members().front().id;
    const auto owner = *site.owner();
    site.submit(makeJob("a", 60000, 12), 1 - owner);
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 12; }));
    site.daemons[owner]->agent->abandon();
    row.loss(site, lost);
    const auto term = site.store.find(keys::poolOwner(service))->revision;
    BOOST_REQUIRE(site.runUntil([&] {
        const auto entry = site.store.find(keys::poolOwner(service));
        return entry && entry->revision > term;
    }));
    const auto taken = kernel::now(kernel::SteadyClock {});
    for (const auto* const name : { "vm3", "vm4" }) {
        site.workers.add(name, service, 4000);
    }
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.startsOf(jobs::JobId { "a" }) >= 16; }));
    if (!row.mayRun) {
        BOOST_TEST((kernel::now(kernel::SteadyClock {}) - taken).milliseconds < standLimit);
    }
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

/** Guards against tasks of a crashed upstream that are not started again. */
BOOST_AUTO_TEST_CASE(tasks_of_a_crashed_upstream_run_again)
{
    Site site { 1, 2 };
    BOOST_REQUIRE(site.waitForOwner());
    // Both upstreams have joined. The tasks fill both, so the crash loses four of them.
    site.runFor(500);
    site.submit(makeJob("a", 1000, 8));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 8; }));
    site.workers.crash("vm0");
    BOOST_TEST(site.reaches("a", JobState::Completed));
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 12);
    BOOST_TEST(site.workers.broken().empty());
}

/** Guards against a drained upstream that leaves the record of used ones, or its VM the pool, before the ends
 * of its tasks are written: the next owner started the tasks again. */
BOOST_AUTO_TEST_CASE(ends_on_a_drained_upstream_are_written_before_it_is_given_up)
{
    Site site { 1, 2 };
    // No daemon owns the fleet, so the drain stays.
    site.store.put(keys::owner(keys::fleetDuty), "entry-9#9");
    BOOST_REQUIRE(site.runUntil([&] { return usedCount(site) == 2; }));
    const auto drained = site.workers.members().front().id;
    site.submit(makeJob("a", 600, 8));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 8; }));
    site.store.put(
        keys::drain(service, model::VmId { "vm0" }), jobs::encode(jobs::Drain { drained.text(), false }));
    site.daemons[0]->storeFaults->refusedPrefix = keys::recordsOf(service);
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 0; }));
    site.runFor(600);
    BOOST_TEST(usedCount(site) == 2);
    BOOST_TEST(!site.store.find(keys::drainedVms + "vm0").has_value());
    site.daemons[0]->agent->abandon();
    auto& next = site.addDaemon();
    next.workerFaults->cut.insert(drained);
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(1000);
    next.workerFaults->cut.clear();
    BOOST_TEST(site.reaches("a", JobState::Completed, 1));
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 8);
    BOOST_TEST(site.workers.broken().empty());
}

/** What happens to a drain before its report is written. */
struct LateReportRow {
    const char* title;
    const bool isRequestedAgain;

    friend std::ostream& operator<<(std::ostream& out, const LateReportRow& row) { return out << row.title; }
};

const std::vector<LateReportRow> lateReportRows {
    { "the drain has ended", false },
    { "the upstream is drained again", true },
};

/** Guards against an upstream that counts as drained while it runs tasks, since the report of an earlier
 * drain was written late. */
BOOST_DATA_TEST_CASE(late_drain_report_counts_for_its_own_drain_only, data::make(lateReportRows), row)
{
    constexpr kernel::Duration writtenAfter { 3000 };
    Site site { 1, 2 };
    // No daemon owns the fleet, so drains change only here.
    site.store.put(keys::owner(keys::fleetDuty), "entry-9#9");
    BOOST_REQUIRE(site.runUntil([&] { return usedCount(site) == 2; }));
    const auto drain = keys::drain(service, model::VmId { "vm0" });
    const auto request = jobs::encode(jobs::Drain { site.workers.members().front().id.text(), false });
    site.daemons[0]->storeFaults->changeDelay = writtenAfter;
    site.store.put(drain, request);
    site.runFor(100);
    const auto store = site.store.connect(std::make_shared<standin::StoreFaults>());
    site.await<store::ChangeOutcome>([&](auto callback) {
        store.change({ {}, {}, { drain } }, std::move(callback));
    });
    site.daemons[0]->storeFaults->changeDelay = {};
    site.submit(makeJob("a", 10000, 8));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 8; }));
    if (row.isRequestedAgain) {
        site.store.put(drain, request);
    }
    // Long enough for the late report, and too short for tasks without progress to be stopped.
    site.runFor(writtenAfter.milliseconds / 2);
    BOOST_TEST(site.workers.runningCount() == 8);
    BOOST_TEST(!site.store.find(keys::drainedVms + "vm0").has_value());
}

/** Guards against recording a drained upstream as used: the next owner would wait for it in vain. */
BOOST_AUTO_TEST_CASE(drained_upstream_is_not_recorded_as_used)
{
    Site site { 1, 2 };
    // No daemon owns the fleet, so the drain stays.
    site.store.put(keys::owner(keys::fleetDuty), "entry-9#9");
    const auto used = [&] { return usedCount(site); };
    BOOST_REQUIRE(site.runUntil([&] { return used() == 2; }));
    const auto id = site.workers.members().front().id;
    site.store.put(
        keys::drain(service, model::VmId { "vm0" }), jobs::encode(jobs::Drain { id.text(), false }));
    BOOST_TEST(site.runUntil([&] { return used() == 1; }));
    site.submit(makeJob("a", 50, 4));
    BOOST_TEST(site.reaches("a", JobState::Completed));
    BOOST_TEST(site.workers.broken().empty());
}

/** What happens around the stop of the owner. */
struct StopRow {
    const char* title;
    const std::function<void(Site&, std::size_t)> stop;

    friend std::ostream& operator<<(std::ostream& out, const StopRow& row) { return out << row.title; }
};

const std::vector<StopRow> stopRows {
    { "a write is in flight",
        [](Site& site, std::size_t owner) {
            site.daemons[owner]->storeFaults->changeDelay = { 700 };
            site.submit(makeJob("in-flight", 50, 4), 2);
            site.runFor(80);
            site.daemons[owner]->agent->stop([] {});
        } },
    { "the next owner stops as well",
        [](Site& site, std::size_t owner) {
            site.daemons[owner]->agent->stop([] {});
            BOOST_REQUIRE(site.runUntil([&] { return site.owner() && *site.owner() != owner; }));
            if (const auto next = *site.owner(); next != 2) {
                site.daemons[next]->agent->stop([] {});
            }
        } },
    { "the next owner stops when it has read the pool",
        [](Site& site, std::size_t owner) {
            site.daemons[owner]->agent->stop([] {});
            BOOST_REQUIRE(site.runUntil([&] { return site.owner() && *site.owner() != owner; }));
            site.runFor(12);
            if (const auto next = *site.owner(); next != 2) {
                site.daemons[next]->agent->stop([] {});
            }
        } },
    { "the store is silent",
        [](Site& site, std::size_t owner) {
            site.daemons[owner]->storeFaults->silent = true;
            site.daemons[owner]->agent->stop([] {});
        } },
};

/** Guards against a pool that stands after its owner was stopped while something else went on. */
BOOST_DATA_TEST_CASE(stopped_owner_is_followed, data::make(stopRows), row)
{
    constexpr kernel::Duration takeoverLimit { 12000 };
    Site site { 2 };
    BOOST_REQUIRE(site.waitForOwner());
    site.addDaemon();
    site.submit(makeJob("long", 2500, 8), 2);
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 8; }));
    row.stop(site, *site.owner());
    BOOST_TEST((site.submit(makeJob("later", 50), 2) == SubmitOutcome { Accepted {} }));
    const auto stopped = kernel::now(kernel::SteadyClock {});
    BOOST_TEST(site.reaches("later", JobState::Completed, 2));
    BOOST_TEST((kernel::now(kernel::SteadyClock {}) - stopped < takeoverLimit));
    BOOST_TEST(site.reaches("long", JobState::Completed, 2));
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

} // namespace

} // namespace wasabiroad::agent::test
