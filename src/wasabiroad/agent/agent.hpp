#pragma once

#include "wasabiroad/agent/duties.hpp"
#include "wasabiroad/agent/fleet_agent.hpp"
#include "wasabiroad/agent/job_api.hpp"
#include "wasabiroad/agent/pool_agent.hpp"
#include "wasabiroad/agent/queue_counter.hpp"
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
#include <variant>

namespace wasabiroad::agent {

/** @brief Services and settings of the daemon that its agent uses. */
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

/** @brief Control state of one daemon: configuration, duties and job operations. Control thread only. */
class Agent : public std::enable_shared_from_this<Agent> {
public:
    explicit Agent(AgentContext environment);

    /** @brief Starts to watch the operator's configuration and to compete for duties. */
    void start();

    /** @brief Releases all duties, then calls back. */
    void stop(std::function<void()> done);

    /** @brief Stops all work at once without releasing the duties, as a crash would. */
    void abandon();

    /** @return Whether the load balancer should route callers to this entry VM. */
    bool isReady() const;

    /** @brief Stores a job. */
    void submit(jobs::Job job, kernel::Duration deadline, store::Callback<SubmitOutcome> callback);

    /** @brief Looks up the state of a job in the pools that this daemon owns, else in the store. */
    void state(
        const model::ServiceId& service, const jobs::JobId& job, store::Callback<StateOutcome> callback);

    /**
     * @brief Cancels a job.
     *
     * Concurrent changes of its record cause conflicts, so several attempts may be needed.
     */
    void cancel(const model::ServiceId& service, const jobs::JobId& job, int attempts,
        store::Callback<StateOutcome> callback);

    /** @return The job operations, bound to this agent. */
    JobApi makeJobApi();

private:
    void readOperator();
    void watchOperator(store::Revision after);
    void onOperator(const ports::OperatorOutcome& outcome);
    void adopt(const jobs::Configuration& configuration);
    void updateFleetAgent();
    std::function<bool()> dutiesPredicate(bool (Duties::*predicate)() const) const;
    std::function<std::optional<kernel::Duration>(store::Revision)> maxViewAge() const;
    void beginFleetDuty(ports::Term term);
    void beginDuty(const std::string& duty, ports::Term term);
    void endDuty(const std::string& duty);
    /** @return Whether the agent of a held duty makes progress. */
    DutyHealth dutyHealth(const std::string& duty) const;
    /** @brief Reads the reports of all pools again and again. */
    void readReportedPools();
    /**
     * @brief Wants the duties of all pools that have a report: they may hold jobs of queues that were removed
     * or are sent elsewhere.
     * @return Whether the owners of all pools have reported.
     */
    bool onReports(const store::Listing& reports);
    /** @return Pending jobs of a pool that this daemon owns, or nothing. */
    std::optional<PendingView> ownPendingCounts(const model::ServiceId& pool) const;
    void onUpstreams();
    /** @param readsAcceptance Whether a job without a record is looked up in the service that accepted it. */
    void readState(const model::ServiceId& service, const jobs::JobId& job, bool readsAcceptance,
        store::Callback<StateOutcome> callback);
    /** @brief The job was accepted for a service. */
    struct AcceptedBy {
        const model::ServiceId service;

        friend auto operator<=>(const AcceptedBy&, const AcceptedBy&) = default;
    };

    /** @brief No daemon has accepted the job so far. */
    struct NotAccepted {
        friend auto operator<=>(const NotAccepted&, const NotAccepted&) = default;
    };

    /** @brief The job was cancelled before it was accepted, and cannot be accepted any more. */
    struct CancelledEarly {
        friend auto operator<=>(const CancelledEarly&, const CancelledEarly&) = default;
    };

    using Acceptance = std::variant<AcceptedBy, NotAccepted, CancelledEarly, Unavailable>;

    void readAcceptance(const jobs::JobId& job, store::Callback<Acceptance> callback);
    /** @brief Cancels a job without a record: its queue may have been reassigned, or it is not accepted yet.
     */
    void cancelUnrecorded(const model::ServiceId& service, const jobs::JobId& job, int attempts,
        const store::Callback<StateOutcome>& callback);
    /** @brief Cancels a job that was not accepted so far, also for submissions that are still under way. */
    void preventAcceptance(const model::ServiceId& service, const jobs::JobId& job, int attempts,
        const store::Callback<StateOutcome>& callback);
    void retryCancel(const model::ServiceId& service, const jobs::JobId& job, int attempts,
        const store::Callback<StateOutcome>& callback);
    void cancelRecord(const model::ServiceId& service, const jobs::JobId& job, int attempts,
        const store::Entry& entry, const store::Callback<StateOutcome>& callback);

    const std::shared_ptr<RevisionClock> revisions;
    const AgentContext environment;
    const std::shared_ptr<Submissions> submissions;
    std::shared_ptr<QueueCounter> queueCounter {};
    std::shared_ptr<Duties> duties {};
    std::set<std::string> wantedDuties {};
    std::set<model::ServiceId> poolsWithJobs {};
    std::set<model::ServiceId> sparePools {};
    std::map<std::uint64_t, ports::WaveRequest> waves {};
    std::map<model::ServiceId, std::shared_ptr<PoolAgent>> poolAgents {};
    std::shared_ptr<FleetAgent> fleetAgent {};
    std::shared_ptr<UpstreamDirectory> directory {};
    kernel::Instant lastOperatorAnswer {};
    kernel::Timer reportedPoolsTimer;
    bool abandoned { false };
    /** @brief The pools are being handed over; their agents have ended before the duties are released. */
    bool stopping { false };
};

} // namespace wasabiroad::agent
