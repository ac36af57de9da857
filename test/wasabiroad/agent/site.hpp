#pragma once

#include "wasabiroad/agent/agent.hpp"
#include "wasabiroad/jobs/codec.hpp"
#include "wasabiroad/standin/key_value.hpp"
#include "wasabiroad/standin/workers.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace wasabiroad::agent::test {

inline const model::ServiceId service { "checks" };
inline const model::ServiceId spare { "spare" };
inline const jobs::QueueId queue { "queue" };

/** Maximum wait for a condition; reached only in a failing test. */
inline constexpr kernel::Duration waitTimeout { 30000 };

/** Time for which orders are carried out late, see Site::lateMaintenance. */
inline constexpr kernel::Duration lateOrdersSpan { 1000 };

/** Delay of moves that are not answered; longer than a move may take. */
inline constexpr kernel::Duration lateMoveDelay { 9000 };

/** @brief What happens to orders that move VMs. */
enum class MoveFault : unsigned char {
    None,
    /** @brief They are rejected and have no effect. */
    Rejected,
    /** @brief They are not answered and carried out after `lateMoveDelay`. */
    Late,
};

/** @return A job with one step of `count` tasks, each of which runs for `runMs`. */
inline jobs::Job makeJob(const std::string& id, std::int64_t runMs = 50, std::uint32_t count = 2)
{
    const jobs::Step step { .count = count, .resources = { 1000, 100, 0 }, .estimate = { runMs } };
    return { .id = jobs::JobId { id },
        .queue = queue,
        .service = service,
        .payload = std::to_string(runMs),
        .steps = { step },
        .accepted = kernel::now(kernel::WallClock {}),
        .maxAttempts = 3,
        .stretch = 2,
        .allowance = { 1000 } };
}

/** @return The job as it is accepted for another queue or pool. */
inline jobs::Job withPool(const jobs::Job& job, const jobs::QueueId& itsQueue, const model::ServiceId& pool)
{
    return { .id = job.id,
        .queue = itsQueue,
        .service = pool,
        .payload = job.payload,
        .steps = job.steps,
        .accepted = job.accepted,
        .maxAttempts = job.maxAttempts,
        .stretch = job.stretch,
        .allowance = job.allowance };
}

/** @return A queue whose jobs run in a pool. */
inline jobs::Queue makeQueue(const jobs::QueueId& id, const model::ServiceId& pool)
{
    return { .id = id, .host = "h", .prefix = "/" + id.text() + "/", .service = pool };
}

/** @brief Daemons of a site with in-memory stand-ins, all on one execution context. */
class Site {
public:
    /** @brief A daemon and the faults injected into its connections. */
    struct Daemon {
        std::shared_ptr<standin::StoreFaults> storeFaults { std::make_shared<standin::StoreFaults>() };
        std::shared_ptr<standin::WorkerFaults> workerFaults { std::make_shared<standin::WorkerFaults>() };
        std::shared_ptr<Agent> agent {};
        JobApi jobApi;
    };

    explicit Site(std::size_t daemons, std::size_t upstreams = 4, kernel::Duration gapBetweenOrders = { 100 },
        kernel::Duration longest = { 6000 })
        : orderGap(gapBetweenOrders)
        , longestLease(longest)
        , store(context)
        , workers(context)
    {
        this->workers.setOrderGap(this->orderGap);
        this->workers.setMaxLease(this->longestLease);
        this->workers.setSparePools({ spare });
        for (std::size_t index = 0; index < upstreams; ++index) {
            this->workers.add("vm" + std::to_string(index), service, 4000);
        }
        for (std::size_t index = 0; index < daemons; ++index) {
            addDaemon();
        }
    }

    ~Site()
    {
        for (const auto& daemon : this->daemons) {
            daemon->agent->abandon();
        }
        this->context.run_for(std::chrono::milliseconds { 20 });
        this->context.stop();
    }

    Site(const Site&) = delete;
    Site& operator=(const Site&) = delete;

    Daemon& addDaemon(settings::VmCapacity vm = {})
    {
        const auto number = this->daemons.size();
        auto daemon = std::make_unique<Daemon>();
        const settings::FleetAccess access { .readiness = {},
            .vms = {},
            .advice = {},
            .taskLease = this->longestLease,
            .orderGap = this->orderGap };
        auto agent = std::make_shared<Agent>(AgentContext {
            .context = this->context,
            .entry = model::EntryId { "entry-" + std::to_string(number) },
            .access = access,
            .store = std::make_shared<const store::Store>(this->store.connect(daemon->storeFaults)),
            .fleet = std::make_shared<const ports::Fleet>(
                makeFleet(daemon->storeFaults, "entry-" + std::to_string(number))),
            .upstreams
            = std::make_shared<const ports::Upstreams>(this->workers.connect(daemon->workerFaults)),
            .metrics = std::make_shared<metrics::Metrics>(),
            .configurations = std::make_shared<kernel::Publisher<jobs::Configuration>>(),
            .incarnation = number + 1,
            .vm = vm,
        });
        daemon->agent = agent;
        auto started = std::make_unique<Daemon>(
            Daemon { daemon->storeFaults, daemon->workerFaults, agent, agent->makeJobApi() });
        agent->start();
        this->daemons.push_back(std::move(started));
        return *this->daemons.back();
    }

    /** @brief Puts another configuration in force. */
    void configure(std::vector<jobs::Queue> newQueues, std::vector<jobs::ServicePool> newPools)
    {
        this->queues.swap(newQueues);
        this->pools.swap(newPools);
        ++this->generation.value;
    }

    /** @brief Runs until a condition holds. @return Whether it did within `waitTimeout`. */
    bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = kernel::now(kernel::SteadyClock {}) + waitTimeout;
        while (!condition() && kernel::now(kernel::SteadyClock {}) < end) {
            this->context.run_for(std::chrono::milliseconds { 5 });
        }
        return condition();
    }

    void runFor(std::int64_t milliseconds)
    {
        this->context.run_for(std::chrono::milliseconds { milliseconds });
    }

    /** @brief Starts a call and runs until there is an outcome. */
    template <typename Outcome> Outcome await(const std::function<void(store::Callback<Outcome>)>& start)
    {
        // The result is shared, since an answer may arrive after the wait has failed.
        auto result = std::make_shared<std::optional<Outcome>>();
        start([result](const Outcome& outcome) { result->emplace(outcome); });
        BOOST_REQUIRE(runUntil([&] { return result->has_value(); }));
        return **result;
    }

    /** @brief Submits a job and runs until there is an outcome. */
    SubmitOutcome submit(const jobs::Job& job, std::size_t daemon = 0)
    {
        return await<SubmitOutcome>(
            [&](auto callback) { this->daemons[daemon]->jobApi.submit(job, { 3000 }, std::move(callback)); });
    }

    /** @brief Queries the state of a job and runs until there is an answer. */
    StateOutcome state(const std::string& job, std::size_t daemon = 0)
    {
        return await<StateOutcome>([&](auto callback) {
            this->daemons[daemon]->jobApi.state(service, jobs::JobId { job }, std::move(callback));
        });
    }

    /** @brief Counts the pending jobs of `queue`, which is sent to a pool, and runs until there is an answer.
     */
    std::optional<std::uint64_t> pending(std::size_t daemon, const model::ServiceId& pool = service)
    {
        return await<std::optional<std::uint64_t>>(
            [&](auto callback) { this->daemons[daemon]->jobApi.pending(pool, queue, std::move(callback)); });
    }

    StateOutcome cancel(const std::string& job, std::size_t daemon = 0)
    {
        return await<StateOutcome>([&](auto callback) {
            this->daemons[daemon]->jobApi.cancel(service, jobs::JobId { job }, std::move(callback));
        });
    }

    /** @brief Runs until a job has a state. @return Whether it did within `waitTimeout`. */
    bool reaches(const std::string& job, jobs::JobState expected, std::size_t daemon = 0)
    {
        const auto end = kernel::now(kernel::SteadyClock {}) + waitTimeout;
        while (kernel::now(kernel::SteadyClock {}) < end) {
            if (state(job, daemon) == StateOutcome { expected }) {
                return true;
            }
            runFor(20);
        }
        return false;
    }

    /** @return Index of the daemon that owns a pool, or nothing. */
    std::optional<std::size_t> owner(const model::ServiceId& pool = service) const
    {
        const auto entry = this->store.find("owner/pool/" + pool.text());
        if (!entry) {
            return std::nullopt;
        }
        const auto name = entry->value.substr(0, entry->value.find('#'));
        return static_cast<std::size_t>(std::stoul(name.substr(name.find('-') + 1)));
    }

    /** @brief Runs until a daemon owns the pool. @return Whether it did within `waitTimeout`. */
    bool waitForOwner()
    {
        return runUntil([&] { return owner().has_value(); });
    }

    const kernel::Duration orderGap;
    /** @brief Longest lease that upstreams grant. */
    const kernel::Duration longestLease;
    boost::asio::io_context context { 1 };
    standin::KeyValue store;
    standin::Workers workers;
    std::vector<std::unique_ptr<Daemon>> daemons {};
    /** @brief The configuration in force, see configure(). */
    model::Generation generation { 1 };
    std::vector<jobs::Queue> queues { makeQueue(queue, service) };
    std::vector<jobs::ServicePool> pools { { service, false }, { spare, true } };
    std::vector<ports::WaveRequest> waves {};
    /** @brief VMs whose maintenance orders by the first term are not answered and are carried out this much
     * later. */
    std::map<model::VmId, kernel::Duration> lateMaintenance {};
    /** @brief The daemon whose maintenance orders are late. */
    std::string lateHolder {};
    kernel::Instant lateUntil {};
    MoveFault moveFault { MoveFault::None };
    /** @brief VMs cannot be listed. */
    bool failsToListVms { false };
    /** @brief Number of reads of the whole list of upstreams by all daemons. */
    std::size_t upstreamLists { 0 };

private:
    ports::Fleet makeFleet(const std::shared_ptr<standin::StoreFaults>& faults, const std::string& holder)
    {
        const auto operatorState = [this](store::Revision asOf) {
            return ports::OperatorState { jobs::Configuration { this->generation, this->queues, this->pools },
                this->waves, asOf };
        };
        const auto answer = [this](auto callback, auto result) {
            auto timer = std::make_shared<boost::asio::steady_timer>(
                this->context, std::chrono::milliseconds { 10 });
            timer->async_wait([timer, callback, result](boost::system::error_code) { callback(result); });
        };
        const auto seen = std::make_shared<std::set<scheduling::UpstreamId>>();
        const kernel::Error storeTimeout { kernel::ResultCode::PlatformTimeout, "store", "no answer" };
        return {
            .readOperator =
                [=](const store::Callback<ports::OperatorOutcome>& callback) {
                    answer(callback,
                        faults->silent ? ports::OperatorOutcome { storeTimeout } : operatorState({ 1 }));
                },
            .watchOperator =
                [=](store::Revision after, kernel::Duration,
                    const store::Callback<ports::OperatorOutcome>& callback) {
                    answer(callback,
                        faults->silent ? ports::OperatorOutcome { storeTimeout } : operatorState(after));
                },
            .listUpstreams =
                [=, this](const store::Callback<kernel::Expected<ports::UpstreamListing>>& callback) {
                    ++this->upstreamLists;
                    if (faults->silent) {
                        answer(callback,
                            kernel::Expected<ports::UpstreamListing> { tl::unexpected(storeTimeout) });
                    } else {
                        answer(callback,
                            kernel::Expected<ports::UpstreamListing> { { this->workers.members(), {} } });
                    }
                },
            .watchUpstreams =
                [=, this](store::Revision after, kernel::Duration,
                    const store::Callback<ports::UpstreamOutcome>& callback) {
                    if (faults->silent) {
                        answer(callback, ports::UpstreamOutcome { storeTimeout });
                        return;
                    }
                    // Each answer lists all running upstreams; those missing since an earlier answer are
                    // reported as gone.
                    const auto members = this->workers.members();
                    std::vector<scheduling::UpstreamId> gone;
                    for (const auto& id : *seen) {
                        if (std::ranges::find(members, id, &scheduling::UpstreamFacts::id) == members.end()) {
                            gone.push_back(id);
                        }
                    }
                    for (const auto& member : members) {
                        seen->insert(member.id);
                    }
                    answer(callback,
                        ports::UpstreamOutcome {
                            ports::UpstreamChanges { members, std::move(gone), after } });
                },
            .listVms =
                [=, this](const store::Callback<kernel::Expected<ports::VmListing>>& callback) {
                    if (this->failsToListVms) {
                        answer(callback,
                            kernel::Expected<ports::VmListing> { tl::unexpected(
                                kernel::Error { kernel::ResultCode::PlatformTimeout, "vms", "no answer" }) });
                        return;
                    }
                    answer(callback, kernel::Expected<ports::VmListing> { { this->workers.vms() } });
                },
            .maintain =
                [=, this](const model::VmId& vm, std::uint64_t, ports::Term fence, const ports::Permission&,
                    const store::Callback<ports::VmOrderResult>& callback) {
                    const auto late = this->lateMaintenance.find(vm);
                    const auto now = kernel::now(kernel::SteadyClock {});
                    if (this->lateHolder.empty()) {
                        this->lateUntil = now + lateOrdersSpan;
                    }
                    if (late != this->lateMaintenance.end() && now < this->lateUntil
                        && (this->lateHolder.empty() || this->lateHolder == holder)) {
                        this->lateHolder = holder;
                        kernel::callLater(this->context, late->second, [this, vm, holder, fence] {
                            this->workers.maintain(vm, { holder, fence.value });
                        });
                        answer(callback, ports::VmOrderResult::Unknown);
                        return;
                    }
                    answer(callback, this->workers.maintain(vm, { holder, fence.value }));
                },
            .move =
                [=, this](const model::VmId& vm, const model::ServiceId& pool, ports::Term fence,
                    const ports::Permission&, const store::Callback<ports::VmOrderResult>& callback) {
                    if (this->moveFault == MoveFault::Late) {
                        kernel::callLater(this->context, lateMoveDelay, [this, vm, pool, holder, fence] {
                            this->workers.move(vm, pool, { holder, fence.value });
                        });
                        answer(callback, ports::VmOrderResult::Unknown);
                    } else if (this->moveFault == MoveFault::Rejected) {
                        answer(callback, ports::VmOrderResult::Overloaded);
                    } else {
                        answer(callback, this->workers.move(vm, pool, { holder, fence.value }));
                    }
                },
            .waveStatus =
                [](std::uint64_t wave, bool completed) {
                    return store::Put { "status/" + std::to_string(wave),
                        completed ? "completed" : "running" };
                },
        };
    }
};

} // namespace wasabiroad::agent::test
