#pragma once

#include "wasabiroad/agent/duties.hpp"
#include "wasabiroad/agent/fleet_agent.hpp"
#include "wasabiroad/agent/intake.hpp"
#include "wasabiroad/agent/pending_counter.hpp"
#include "wasabiroad/agent/pool_agent.hpp"
#include "wasabiroad/agent/revision_clock.hpp"
#include "wasabiroad/agent/submissions.hpp"
#include "wasabiroad/agent/upstream_directory.hpp"
#include "wasabiroad/kernel/publisher.hpp"
#include "wasabiroad/metrics/metrics.hpp"
#include "wasabiroad/settings/settings.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace wasabiroad::agent {

/** @brief What a daemon gives its agent. */
struct AgentContext {
    boost::asio::io_context& context;
    const model::EntryId entry;
    const settings::FleetAccess access;
    const std::shared_ptr<const store::Store> store;
    const std::shared_ptr<const ports::Fleet> fleet;
    const std::shared_ptr<const ports::Upstreams> upstreams;
    const std::shared_ptr<metrics::Metrics> metrics;
    const std::shared_ptr<kernel::Publisher<jobs::Configuration>> configurations;
    /** @brief Number of this run of the daemon. */
    const std::uint64_t incarnation;
    const settings::VmCapacity vm;
};

/** @brief The control state of one daemon: configuration, duties and calls of callers. Control thread only.
 */
class Agent : public std::enable_shared_from_this<Agent> {
public:
    explicit Agent(AgentContext environment);

    /** @brief Begins to follow the operator's configuration and to compete for duties. */
    void start();

    /** @brief Gives up all duties, then calls back. */
    void stop(std::function<void()> done);

    /** @brief Ends all work at once and gives up nothing, as a crash would. */
    void abandon();

    /** @return Whether the load balancer should send callers to this entry. */
    bool isReady() const;

    /** @brief Stores a job. */
    void submit(jobs::Job job, kernel::Duration deadline, store::Callback<SubmitOutcome> callback);

    /** @brief Finds the state of a job, here or in the store. */
    void state(
        const model::ServiceId& service, const jobs::JobId& job, store::Callback<StateOutcome> callback);

    /** @brief Cancels a job; its record may change at the same time, so several attempts may be needed. */
    void cancel(const model::ServiceId& service, const jobs::JobId& job, int attempts,
        store::Callback<StateOutcome> callback);

    /**
     * @brief Counts the jobs of a queue that have not begun.
     *
     * The owner of the pool answers from what it has seen, others from its report, as long as these are
     * current; else the jobs are counted in the store.
     */
    void pending(const model::ServiceId& service, const jobs::QueueId& queue,
        store::Callback<std::optional<std::uint64_t>> callback);

    /** @return The calls of callers, bound to this agent. */
    JobApi makeJobApi();

private:
    void readOperator();
    void watchOperator(store::Revision after);
    void onOperator(const ports::OperatorOutcome& outcome);
    void adopt(const jobs::Configuration& configuration);
    void informFleetAgent();
    std::function<bool()> ifKept(bool (Duties::*question)() const) const;
    std::function<std::optional<kernel::Duration>(store::Revision)> viewAge() const;
    void beginFleetDuty(ports::Term term);
    void beginDuty(const std::string& duty, ports::Term term);
    void endDuty(const std::string& duty);
    void onUpstreams();
    void readState(const model::ServiceId& service, const jobs::JobId& job, bool mayBeElsewhere,
        store::Callback<StateOutcome> callback);
    /** What to do with a job that was accepted for another service, or for none. */
    struct Elsewhere {
        const std::function<void(const model::ServiceId&)> found;
        const std::function<void()> missing;
        const std::function<void()> unavailable;
    };

    /** A queue may have moved to another service since the job was accepted. */
    void findElsewhere(const model::ServiceId& service, const jobs::JobId& job, const Elsewhere& elsewhere);
    void retryCancel(const model::ServiceId& service, const jobs::JobId& job, int attempts,
        const store::Callback<StateOutcome>& callback);
    void cancelRecord(const model::ServiceId& service, const jobs::JobId& job, int attempts,
        const store::Entry& entry, const store::Callback<StateOutcome>& callback);

    /** @return Whether a view with all changes up to a revision may answer callers. */
    bool isCurrent(store::Revision asOf) const;

    const std::shared_ptr<RevisionClock> revisions;
    const AgentContext environment;
    const std::shared_ptr<Submissions> submissions;
    const std::shared_ptr<PendingCounter> pendingCounter;
    std::shared_ptr<Duties> duties {};
    std::set<std::string> wanted {};
    std::set<model::ServiceId> poolsWithJobs {};
    std::set<model::ServiceId> sparePools {};
    std::map<std::uint64_t, ports::WaveRequest> waves {};
    std::map<model::ServiceId, std::shared_ptr<PoolAgent>> pools {};
    std::shared_ptr<FleetAgent> fleetAgent {};
    std::shared_ptr<UpstreamDirectory> directory {};
    kernel::Instant contact {};
    bool abandoned { false };
};

} // namespace wasabiroad::agent
