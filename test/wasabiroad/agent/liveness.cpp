#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/agent/site.hpp"

#include <random>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;
using jobs::JobState;
using kernel::Duration;

constexpr std::size_t daemonCount = 3;
constexpr std::uint32_t lastingTasks = 3;

/** Time during which faults begin. */
constexpr Duration faultSpan { 5000 };

/** Interval between faults, and between submissions. */
constexpr Duration faultInterval { 220 };
constexpr Duration submitInterval { 130 };

/** Time after the last fault within which all accepted jobs complete. */
constexpr Duration recoveryTime { 15000 };

/** Run time of the tasks of a long-running job, in ms; longer than the test. */
constexpr std::int64_t lastingRunMs = 10'000'000;

/** Random choices of a run. */
class Choices {
public:
    explicit Choices(unsigned seed)
        : generator(seed)
    {
    }

    std::size_t below(std::size_t bound) { return this->generator() % bound; }

    Duration between(std::int64_t least, std::int64_t most)
    {
        return { least + static_cast<std::int64_t>(below(static_cast<std::size_t>(most - least))) };
    }

private:
    std::mt19937 generator;
};

/** A site, the jobs that it has accepted, and the daemons that still run. */
class Run {
public:
    explicit Run(unsigned seed)
        : choices(seed)
        , site(daemonCount, 5)
    {
        for (const auto* const name : { "r0", "r1" }) {
            this->site.workers.add(name, spare, 4000);
        }
        for (std::size_t index = 0; index < daemonCount; ++index) {
            this->running.push_back(index);
        }
    }

    Site::Daemon& anyDaemon() { return *this->site.daemons[this->running[choices.below(running.size())]]; }

    std::string anyVm()
    {
        const auto vms = this->site.workers.vms();
        return vms[this->choices.below(vms.size())].vm.text();
    }

    void submit(const jobs::Job& job)
    {
        anyDaemon().jobApi.submit(job, { 3000 }, [this, id = job.id](const SubmitOutcome& outcome) {
            if (std::holds_alternative<Accepted>(outcome)) {
                this->accepted.insert(id);
            }
        });
    }

    /** Changes a daemon's connection to the store for a while. */
    void disturb(const std::function<void(standin::StoreFaults&)>& begin)
    {
        const auto faults = anyDaemon().storeFaults;
        begin(*faults);
        kernel::callLater(this->site.context, this->choices.between(100, 1800),
            [faults] { *faults = standin::StoreFaults { .lists = faults->lists }; });
    }

    /** Replaces a daemon by another one; a stopped daemon hands its duties over. */
    void replaceDaemon(bool stops)
    {
        const auto position = this->choices.below(this->running.size());
        const auto& agent = this->site.daemons[this->running[position]]->agent;
        stops ? agent->stop([] {}) : agent->abandon();
        this->running[position] = this->site.daemons.size();
        this->site.addDaemon();
    }

    JobState stateOf(const jobs::JobId& job) const
    {
        const auto entry = this->site.store.find(keys::record(service, job));
        const auto record = entry ? jobs::decodeRecord(entry->value) : std::nullopt;
        return record ? record->state : JobState::Pending;
    }

    std::set<jobs::JobId> notCompleted() const
    {
        std::set<jobs::JobId> open;
        std::ranges::copy_if(this->accepted, std::inserter(open, open.end()), [&](const jobs::JobId& job) {
            return job.text() != "lasting" && stateOf(job) != JobState::Completed;
        });
        return open;
    }

    bool hasSettled() const
    {
        const auto wave = this->site.store.find("status/1");
        return notCompleted().empty()
            && this->site.workers.runningOf(jobs::JobId { "lasting" }) == lastingTasks && wave
            && wave->value == "completed";
    }

    Choices choices;
    Site site;
    std::set<jobs::JobId> accepted {};
    std::vector<std::size_t> running {};
};

struct Fault {
    const char* title;
    const std::function<void(Run&)> begin;
};

const std::vector<Fault> faults {
    { "silent store", [](Run& run) { run.disturb([](auto& store) { store.silent = true; }); } },
    { "busy store", [](Run& run) { run.disturb([](auto& store) { store.busy = true; }); } },
    { "lost answers", [](Run& run) { run.disturb([](auto& store) { store.losesAnswers = true; }); } },
    { "late changes",
        [](Run& run) {
            run.disturb([&](auto& store) { store.changeDelay = run.choices.between(300, 2500); });
        } },
    { "refused changes",
        [](Run& run) {
            const std::vector<std::string> prefixes { "used/", "record/", "pool/", "owner/", "emptied/",
                "report/", "wave", "orders" };
            run.disturb(
                [&](auto& store) { store.refusedPrefix = prefixes[run.choices.below(prefixes.size())]; });
        } },
    { "slow lists",
        [](Run& run) {
            run.disturb([&](auto& store) { store.listDelay = run.choices.between(100, 1500); });
        } },
    { "silent watches", [](Run& run) { run.disturb([](auto& store) { store.silentWatches = true; }); } },
    { "dropped history", [](Run& run) { run.site.store.dropHistory(); } },
    { "ended leases", [](Run& run) { run.site.store.endLeases(); } },
    { "cut upstream",
        [](Run& run) {
            const auto cut = run.anyDaemon().workerFaults;
            const auto members = run.site.workers.members();
            if (!members.empty()) {
                cut->cut.insert(members[run.choices.below(members.size())].id);
                kernel::callLater(
                    run.site.context, run.choices.between(200, 3000), [cut] { cut->cut.clear(); });
            }
        } },
    { "crashed upstream", [](Run& run) { run.site.workers.crash(run.anyVm()); } },
    { "killed daemon", [](Run& run) { run.replaceDaemon(false); } },
    { "stopped daemon", [](Run& run) { run.replaceDaemon(true); } },
};

/** Guards against jobs that stand after the faults of the store, the upstreams and the daemons have ended. */
BOOST_DATA_TEST_CASE(accepted_jobs_complete_after_faults, data::make({ 1U, 2U, 5U, 11U, 15U, 17U }), seed)
{
    Run run { seed };
    auto& site = run.site;
    BOOST_REQUIRE(site.waitForOwner());
    auto lasting = makeJob("lasting", lastingRunMs, lastingTasks);
    const jobs::Step step { .count = lastingTasks,
        .resources = { 1000, 100, 0 },
        .estimate = { lastingRunMs },
        .longRunning = true,
        .maxUnavailable = 1 };
    BOOST_REQUIRE((site.submit({ .id = lasting.id,
                       .queue = queue,
                       .service = service,
                       .payload = lasting.payload,
                       .steps = { step },
                       .accepted = lasting.accepted,
                       .maxAttempts = 3,
                       .stretch = 2,
                       .allowance = { 1000 } })
        == SubmitOutcome { Accepted {} }));
    std::vector<model::VmId> vms;
    for (const auto& vm : site.workers.vms()) {
        vms.push_back(vm.vm);
    }
    const auto begin = kernel::now(kernel::SteadyClock {});
    const auto end = begin + faultSpan;
    auto nextFault = begin;
    auto nextJob = begin;
    for (int number = 0; kernel::now(kernel::SteadyClock {}) < end; site.runFor(10)) {
        const auto now = kernel::now(kernel::SteadyClock {});
        if (now >= nextFault) {
            nextFault = now + faultInterval;
            const auto& fault = faults[run.choices.below(faults.size())];
            BOOST_TEST_MESSAGE((now - begin).milliseconds << " ms: " << fault.title);
            fault.begin(run);
        }
        if (now >= nextJob) {
            nextJob = now + submitInterval;
            run.submit(makeJob("job-" + std::to_string(++number), run.choices.between(20, 600).milliseconds,
                static_cast<std::uint32_t>(1 + run.choices.below(5))));
        }
        if (site.waves.empty() && now - begin > Duration { faultSpan.milliseconds / 3 }) {
            site.waves.push_back({ model::WaveId { "1" }, 1, vms, { 12000 }, 2 });
        }
    }
    // The last faults end, and late changes are carried out, within this time.
    site.runFor(3000);
    const auto limit = kernel::now(kernel::SteadyClock {}) + recoveryTime;
    while (!run.hasSettled() && kernel::now(kernel::SteadyClock {}) < limit) {
        site.runFor(20);
    }
    for (const auto& job : run.notCompleted()) {
        BOOST_TEST_MESSAGE("open: " << job.text() << ", started " << site.workers.startsOf(job));
    }
    BOOST_TEST(run.notCompleted().empty());
    BOOST_TEST(site.workers.runningOf(jobs::JobId { "lasting" }) == lastingTasks);
    BOOST_TEST((site.store.find("status/1") && site.store.find("status/1")->value == "completed"));
    BOOST_TEST(site.workers.broken().empty());
    for (const auto& fault : site.workers.broken()) {
        BOOST_TEST_MESSAGE(fault);
    }
}

} // namespace

} // namespace wasabiroad::agent::test
