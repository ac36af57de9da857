#include "wasabiroad/agent/site.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

/** Time in ms for daemons to adopt a configuration. */
constexpr std::int64_t adoptionTime = 300;

/** When a queue names the spare pool. */
struct SpareQueueRow {
    const char* title;
    const bool fromStart;
    const bool isRemoved;

    friend std::ostream& operator<<(std::ostream& out, const SpareQueueRow& row) { return out << row.title; }
};

const std::vector<SpareQueueRow> spareQueueRows {
    { "from the start", true, false },
    { "added during the day", false, false },
    { "there from the start and removed", true, true },
    { "added and removed", false, true },
};

/** Brings a queue that names the spare pool into force as a row says, with a daemon in charge. */
void configureSpareQueue(Site& site, const SpareQueueRow& row)
{
    const auto usual = site.queues;
    auto withSpare = usual;
    withSpare.push_back(makeQueue(jobs::QueueId { "of-spare" }, spare));
    if (row.fromStart) {
        site.configure(withSpare, site.pools);
    }
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(adoptionTime);
    if (!row.fromStart) {
        site.configure(withSpare, site.pools);
        site.runFor(adoptionTime);
    }
    if (row.isRemoved) {
        site.configure(usual, site.pools);
        site.runFor(adoptionTime);
    }
}

/** Guards against spare VMs that enter no pool because a queue names the spare pool. */
BOOST_DATA_TEST_CASE(spare_vms_join_pools_while_a_queue_names_their_pool, data::make(spareQueueRows), row)
{
    /** Time in which a pool that lacks room has got a VM, in ms. */
    constexpr std::int64_t joinLimit = 3000;
    Site site { 1, 3 };
    for (const auto* const name : { "r0", "r1", "r2" }) {
        site.workers.add(name, spare, 4000);
    }
    configureSpareQueue(site, row);
    const auto submitted = kernel::now(kernel::SteadyClock {});
    site.submit(makeJob("wide", 20000, 24));
    BOOST_TEST(site.runUntil([&] { return site.workers.runningCount() == 24; }));
    BOOST_TEST((kernel::now(kernel::SteadyClock {}) - submitted).milliseconds < joinLimit);
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

/** Guards against a wave that never ends because a queue names the pool of its spare VMs. */
BOOST_DATA_TEST_CASE(wave_maintains_spare_vms_while_a_queue_names_their_pool, data::make(spareQueueRows), row)
{
    Site site { 1, 3 };
    for (const auto* const name : { "r0", "r1", "r2" }) {
        site.workers.add(name, spare, 4000);
    }
    configureSpareQueue(site, row);
    const std::vector<model::VmId> vms { model::VmId { "r0" }, model::VmId { "r1" }, model::VmId { "vm0" } };
    site.waves.push_back({ model::WaveId { "1" }, 1, vms, { 20000 }, 2 });
    BOOST_TEST(site.runUntil([&] {
        const auto status = site.store.find("status/1");
        return status && status->value == "completed";
    }));
    BOOST_TEST(site.workers.maintained().size() == vms.size());
    BOOST_TEST(site.workers.mostDown() <= 2);
}

/** Guards against tasks that end with VMs that still run upstreams when their pool becomes a spare pool. */
BOOST_AUTO_TEST_CASE(vms_are_drained_when_their_pool_becomes_a_spare_pool)
{
    const model::ServiceId other { "other" };
    const jobs::QueueId otherQueue { "other" };
    Site site { 1, 3 };
    for (const auto* const name : { "o0", "o1", "o2" }) {
        site.workers.add(name, other, 4000);
    }
    const std::vector<jobs::Queue> queues { makeQueue(queue, service), makeQueue(otherQueue, other) };
    site.configure(queues, { { service, false }, { other, false }, { spare, true } });
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(withPool(makeJob("earlier", 3000, 12), otherQueue, other));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 12; }));
    site.configure(queues, { { service, false }, { other, true }, { spare, true } });
    site.runFor(adoptionTime);
    site.submit(makeJob("wide", 8000, 24));
    BOOST_TEST(site.runUntil([&] { return site.workers.runningOf(jobs::JobId { "wide" }) == 24; }));
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

/** What a new configuration does to the queue of a job that waits. */
enum class QueueChange : unsigned char { Removed, OtherPool };

struct QueueChangeRow {
    const char* title;
    const QueueChange change;
    /** @brief The configuration still names the pool that accepted the job. */
    const bool keepsPool;

    friend std::ostream& operator<<(std::ostream& out, const QueueChangeRow& row) { return out << row.title; }
};

const std::vector<QueueChangeRow> queueChangeRows {
    { "queue removed", QueueChange::Removed, true },
    { "queue moved to another pool", QueueChange::OtherPool, true },
    { "queue and pool removed", QueueChange::Removed, false },
};

/** Guards against accepted jobs that nobody runs after their queue has changed and all daemons have
 * restarted.
 */
BOOST_DATA_TEST_CASE(accepted_jobs_run_after_their_queue_has_changed, data::make(queueChangeRows), row)
{
    const model::ServiceId other { "other" };
    Site site { 1, 2 };
    site.workers.add("o0", other, 4000);
    site.configure({ makeQueue(queue, service) }, { { service, false }, { other, false }, { spare, true } });
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(makeJob("waits", 300, 24));
    std::vector<jobs::Queue> queues { makeQueue(jobs::QueueId { "another" }, other) };
    if (row.change == QueueChange::OtherPool) {
        queues.push_back(makeQueue(queue, other));
    }
    std::vector<jobs::ServicePool> pools { { other, false }, { spare, true } };
    if (row.keepsPool) {
        pools.push_back({ service, false });
    }
    site.configure(queues, pools);
    site.runFor(adoptionTime);
    site.daemons[0]->agent->abandon();
    site.addDaemon();
    BOOST_TEST(site.reaches("waits", jobs::JobState::Completed, 1));
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

/** Guards against callers that wait for a job of a queue whose VMs are switched off. */
BOOST_AUTO_TEST_CASE(jobs_for_a_spare_pool_are_rejected_unless_accepted_before)
{
    Site site { 1, 2 };
    BOOST_REQUIRE(site.waitForOwner());
    BOOST_REQUIRE((site.submit(makeJob("earlier", 20000, 2)) == SubmitOutcome { Accepted {} }));
    site.configure(site.queues, { { service, true }, { spare, true } });
    site.runFor(adoptionTime);
    const auto outcome = site.submit(makeJob("later"));
    BOOST_REQUIRE(std::holds_alternative<Rejected>(outcome));
    BOOST_TEST(number(std::get<Rejected>(outcome).code) == number(kernel::ResultCode::NoUpstream));
    BOOST_TEST((site.submit(makeJob("earlier", 20000, 2)) == SubmitOutcome { Accepted {} }));
    BOOST_TEST((site.state("later") == StateOutcome { NoSuchJob {} }));
    // It is not blocked for later configurations.
    site.configure(site.queues, { { service, false }, { spare, true } });
    site.runFor(adoptionTime);
    BOOST_TEST((site.submit(makeJob("later")) == SubmitOutcome { Accepted {} }));
}

} // namespace

} // namespace wasabiroad::agent::test
