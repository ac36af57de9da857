#include "wasabiroad/agent/pool_agent.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/agent/log_capture.hpp"
#include "wasabiroad/agent/site.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

/** @brief The owner of a pool with a job, without the daemon around it. */
struct OwnedPool {
    OwnedPool()
    {
        this->workers.add("vm0", service, 4000);
        this->workers.add("vm1", service, 4000);
    }

    /** @brief Begins the term and adds a job, before it if an earlier owner may have started the job. */
    void start()
    {
        const auto job = makeJob("a", 50, 2);
        const auto addJob = [&] { this->store.put(keys::job(service, job.id), jobs::encode(job)); };
        if (this->jobIsOld) {
            addJob();
        }
        this->store.put(keys::poolOwner(service), "entry-0#1");
        this->agent = std::make_shared<PoolAgent>(
            PoolContext { this->context,
                std::make_shared<const store::Store>(this->store.connect(this->storeFaults)),
                std::make_shared<const ports::Fleet>(makeFleet()),
                std::make_shared<const ports::Upstreams>(this->workers.connect(this->workerFaults)),
                std::make_shared<metrics::Metrics>(), kernel::Duration { 4000 }, [] { return true; },
                [this] { return this->leaseValid; }, [] { return kernel::bootNow(); },
                [this](store::Revision) { return std::optional { this->viewAge }; } },
            service, ports::Term { this->store.find(keys::poolOwner(service))->revision.value });
        this->agent->start();
        this->agent->setUpstreams(
            this->hasMembers ? this->workers.members() : std::vector<scheduling::UpstreamFacts> {});
        this->context.run_for(std::chrono::milliseconds { 100 });
        if (!this->jobIsOld) {
            addJob();
        }
    }

    /** @return Calls of which only that for the list of VMs is made; it fails. */
    static ports::Fleet makeFleet()
    {
        return {
            .readOperator = {},
            .watchOperator = {},
            .listUpstreams = {},
            .watchUpstreams = {},
            .listVms =
                [](const auto& callback) {
                    callback(kernel::fail(kernel::ResultCode::PlatformTimeout, "vms", "no answer"));
                },
            .maintain = {},
            .move = {},
            .waveStatus = {},
        };
    }

    boost::asio::io_context context { 1 };
    standin::KeyValue store { context };
    standin::Workers workers { context };
    std::shared_ptr<standin::StoreFaults> storeFaults { std::make_shared<standin::StoreFaults>() };
    std::shared_ptr<standin::WorkerFaults> workerFaults { std::make_shared<standin::WorkerFaults>() };
    bool leaseValid { true };
    kernel::Duration viewAge { 100 };
    bool hasMembers { true };
    bool jobIsOld { false };
    std::shared_ptr<PoolAgent> agent {};
};

/** What keeps the tasks of a pool waiting, and the cause in the log. */
struct StallRow {
    const char* cause;
    const std::function<void(OwnedPool&)> arrange;

    friend std::ostream& operator<<(std::ostream& out, const StallRow& row) { return out << row.cause; }
};

const std::vector<StallRow> stalls {
    { "starts-held-lease", [](OwnedPool& pool) { pool.leaseValid = false; } },
    { "starts-held-view", [](OwnedPool& pool) { pool.viewAge = { 2500 }; } },
    { "no-members", [](OwnedPool& pool) { pool.hasMembers = false; } },
    { "upstreams-silent",
        [](OwnedPool& pool) {
            for (const auto& facts : pool.workers.members()) {
                pool.workerFaults->cut.insert(facts.id);
            }
        } },
    { "upstreams-not-recorded",
        [](OwnedPool& pool) { pool.storeFaults->refusedPrefix = keys::usedUpstreams(service); } },
    { "upstreams-drained",
        [](OwnedPool& pool) {
            for (const auto& facts : pool.workers.members()) {
                pool.store.put(keys::drain(service, model::VmId { facts.id.text() }),
                    jobs::encode(jobs::Drain { facts.id.text(), false }));
            }
        } },
    { "tasks-unresolved",
        [](OwnedPool& pool) {
            pool.jobIsOld = true;
            pool.store.put(keys::usedUpstreams(service), jobs::encode(std::vector<std::string> { "lost" }));
        } },
};

/** Guards against a pool whose tasks stand without a log line that tells why. */
BOOST_DATA_TEST_CASE(stalled_pool_logs_the_cause, data::make(stalls), row)
{
    LogCapture capture;
    OwnedPool pool;
    row.arrange(pool);
    pool.start();
    pool.context.run_for(std::chrono::milliseconds { 4200 });
    const auto started = pool.workers.startsOf(jobs::JobId { "a" });
    pool.agent->close();
    pool.context.run_for(std::chrono::milliseconds { 20 });
    const auto lines = capture.linesOf("pool-stalled");
    BOOST_TEST(started == 0);
    BOOST_REQUIRE(!lines.empty());
    BOOST_TEST(lines.size() <= 3);
    for (const auto& line : lines) {
        BOOST_TEST(LogCapture::fieldOf(line, "cause") == row.cause);
        BOOST_TEST(LogCapture::fieldOf(line, "ready") == "2");
    }
}

/** Guards against starts that are held without a reason in the log. */
BOOST_DATA_TEST_CASE(held_starts_log_the_reason, data::make({ "lease", "view", "lease-and-view" }), reason)
{
    const std::string held { reason };
    LogCapture capture;
    OwnedPool pool;
    pool.start();
    pool.leaseValid = !held.starts_with("lease");
    pool.viewAge = { held.ends_with("view") ? 2500 : 100 };
    pool.context.run_for(std::chrono::milliseconds { 400 });
    pool.leaseValid = true;
    pool.viewAge = { 100 };
    pool.context.run_for(std::chrono::milliseconds { 400 });
    pool.agent->close();
    pool.context.run_for(std::chrono::milliseconds { 20 });
    const auto lines = capture.linesOf("starts-held");
    BOOST_REQUIRE(lines.size() == 1);
    BOOST_TEST(LogCapture::fieldOf(lines[0], "reason") == held);
    BOOST_TEST(capture.linesOf("starts-resumed").size() == 2);
}

} // namespace

} // namespace wasabiroad::agent::test
