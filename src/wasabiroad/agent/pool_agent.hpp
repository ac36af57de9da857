#pragma once

#include "wasabiroad/agent/duty_health.hpp"
#include "wasabiroad/agent/record_writer.hpp"
#include "wasabiroad/agent/revision_clock.hpp"
#include "wasabiroad/agent/stall_log.hpp"
#include "wasabiroad/agent/upstream_agent.hpp"
#include "wasabiroad/jobs/codec.hpp"
#include "wasabiroad/metrics/metrics.hpp"
#include "wasabiroad/ports/fleet.hpp"
#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace wasabiroad::agent {

/** @brief Services and permissions that the owner of a pool receives from its daemon. */
struct PoolContext {
    boost::asio::io_context& context;
    const std::shared_ptr<const store::Store> store;
    const std::shared_ptr<const ports::Fleet> fleet;
    const std::shared_ptr<const ports::Upstreams> upstreams;
    const std::shared_ptr<metrics::Metrics> metrics;
    /** @brief Maximum lease that upstreams grant. */
    const kernel::Duration taskLease;
    /** @brief Whether the daemon may renew the leases of its tasks. */
    const std::function<bool()> mayRenewLeases;
    /** @brief Whether no other daemon can own the pool and start the same tasks. */
    const std::function<bool()> mayStartTasks;
    /** @brief Boot clock time of the last update of the list of upstreams. */
    const std::function<kernel::Instant()> upstreamsUpdatedAt;
    /** @brief Upper bound for the age of a view at a revision, see RevisionClock. */
    const std::function<std::optional<kernel::Duration>(store::Revision)> maxViewAge;
};

/** @brief Schedules one pool for one term: passes events to the scheduler and executes its orders. */
class PoolAgent : public std::enable_shared_from_this<PoolAgent> {
public:
    PoolAgent(PoolContext context, model::ServiceId service, ports::Term term);

    /** @brief Reads the open jobs of the pool, then starts scheduling. */
    void start();

    /**
     * @brief Updates the members of the pool.
     * @param all Current upstreams of all pools.
     */
    void setUpstreams(const std::vector<scheduling::UpstreamFacts>& all);

    /** @return State of a job, or nothing when this owner does not know the job. */
    std::optional<jobs::JobState> stateOf(const jobs::JobId& job) const;

    /** @return Number of pending jobs of each queue, or nothing unless the pool is loaded. */
    std::optional<jobs::PendingCounts> pendingCounts() const;

    /** @return Revision up to which this owner has received the changes of the pool. */
    store::Revision watchedRevision() const { return this->watched; }

    /** @return Whether the pool is scheduled from current views of its jobs and upstreams. */
    DutyHealth health() const;

    /** @brief Ends the term; no further orders are sent. */
    void close();

    /** @brief Ends the term and records how long leases can last, so that the next owner waits no longer. */
    void handOver(std::function<void()> done);

private:
    /** @brief The ends that one incarnation of an upstream has listed, up to a number. */
    struct ListedEnds {
        kernel::Instant incarnation {};
        std::uint64_t last { 0 };
    };

    /** @brief A drain and the revision of its request. */
    struct RequestedDrain {
        jobs::Drain drain {};
        store::Revision revision {};
    };

    /** @brief The latest listed ends of each upstream. */
    using TaskEnds = std::map<scheduling::UpstreamId, ListedEnds>;

    /** @brief Upstreams that the previous owner recorded as used, and the revision of that record. */
    struct RecordedUpstreams {
        const jobs::UsedUpstreams used {};
        const store::Revision revision {};
    };

    /** @brief Wraps a callback so that it does nothing once this term has ended. */
    template <typename Function> auto unlessClosed(Function function)
    {
        return [weak = weak_from_this(), function](const auto&... arguments) {
            if (const auto self = weak.lock(); self && !self->closed) {
                function(*self, arguments...);
            }
        };
    }

    void load();
    void readRecordedUpstreams(const store::Listing& progress);
    void readPool(const store::Listing& progress, const RecordedUpstreams& previouslyRecorded);
    void startScheduling(const store::Listing& pool, const store::Listing& progress,
        const RecordedUpstreams& previouslyRecorded);
    void addJobs(const store::Listing& pool, const store::Listing& progress, bool mayHaveStarted);
    /** @brief Cancels jobs and drains that are missing from a new listing, after a watch lost its history. */
    void cancelMissing(const store::Listing& pool);
    void watch(store::Revision after);
    void onKeyEvents(const std::vector<store::KeyEvent>& events);
    void onKeyEvent(const store::KeyEvent& event);
    void retryLoad(const kernel::Error& error);
    void onJobEnded(const jobs::JobId& job);
    /** @return Whether tasks may be started now; logs when the answer or the reason for it changes. */
    bool mayStartTasks();
    void apply(const scheduling::Event& event);
    void execute(const scheduling::Order& order);
    void execute(const scheduling::StartTask& order, UpstreamAgent& upstream);
    void execute(const scheduling::StopTask& order, UpstreamAgent& upstream);
    void execute(const scheduling::PaceTask& order, UpstreamAgent& upstream);
    void onTasks(
        const scheduling::UpstreamId& id, const ports::Tasks& tasks, kernel::Instant sent, ports::Term fence);
    void scheduleFlush();
    void flush();
    void onFlushed(std::uint64_t batch);
    void acknowledge(const TaskEnds& ends);
    void tick();
    OwnerState ownerState(scheduling::Moment at) const;
    /** @brief Logs upstreams whose tasks count as ended since their leases have expired. */
    void logExpiries();
    /** @brief Logs when all upstreams with tasks of the previous owner have been reconciled. */
    void logReconciled();
    void publishReport();
    void countEffort(const scheduling::Effort& spent);
    void applyMembers();
    void startUpstreamAgents();
    void closeUnusedAgents();
    std::set<std::string> upstreamsInUse() const;
    /** @return Whether an upstream has listed ends whose records are not written yet. */
    bool hasUnrecordedEnds(const scheduling::UpstreamId& id) const;
    /** @return Whether an upstream runs no task, gets no new one, and all its ends are recorded. */
    bool isDrained(const scheduling::UpstreamId& id) const;
    void writeRecordedUpstreams(const std::set<std::string>& ids);
    void onUpstreamsRecorded(const std::set<std::string>& ids, const store::ChangeOutcome& outcome);
    void onDrain(const std::string& key, const std::optional<store::Entry>& entry);
    void reportDrained();
    /** @brief Reads the list of VMs while upstreams that do not answer hold up tasks. */
    void checkUnheard();
    void onVms(const ports::VmListing& listing, kernel::Instant requested);
    void onSuperseded();
    void onUpstreamReplaced(const scheduling::UpstreamId& id);
    /** @brief Handles an order that another upstream has answered, unless the upstream has changed its
     * address since. */
    void onAddressReused(const scheduling::UpstreamId& id, const std::weak_ptr<UpstreamAgent>& caller);
    /** @return Whether another upstream has recently answered at the address of this one. */
    bool isReplaced(const scheduling::UpstreamId& id) const;
    scheduling::Moment now() const;
    UpstreamCallbacks upstreamCallbacks();

    const PoolContext environment;
    const kernel::Duration taskLease;
    const model::ServiceId service;
    const ports::Term term;
    std::optional<scheduling::PoolScheduler> scheduler {};
    std::shared_ptr<RecordWriter> writer {};
    std::map<scheduling::UpstreamId, std::shared_ptr<UpstreamAgent>> upstreamAgents {};
    std::vector<scheduling::UpstreamFacts> members {};
    /** @brief When another upstream last answered at the address of a member. */
    std::map<scheduling::UpstreamId, kernel::Instant> replacedAt {};
    /** @brief Upstreams in the stored record; tasks start only on these, so that the next owner knows which
     * upstreams may run tasks. */
    std::set<std::string> recordedUpstreams {};
    /** @brief Requested drains by VM. */
    std::map<std::string, RequestedDrain> drains {};
    /** @brief VMs whose completed drain has been reported to the store. */
    std::set<std::string> reportedDrained {};
    /** @brief Last known revision of that record. */
    store::Revision recordedUpstreamsRevision {};
    bool writingRecordedUpstreams { false };
    /** @brief The record tells how long leases of the previous owner can last. No lease is renewed and no
     * task started until it is replaced, or an owner after a crash of this one would not wait for these. */
    bool recordLimitsLeases { false };
    /** @brief Revision up to which the scheduler has received the changes of the pool. */
    store::Revision watched {};
    /** @brief Boot clock time at which the term began. */
    kernel::Instant termStartedAt {};
    kernel::Instant lastTickAt {};
    /** @brief Upstreams that do not answer and hold up tasks, and since when they have. */
    std::map<scheduling::UpstreamId, kernel::Instant> unheardSince {};
    /** @brief Those that no VM named in the last list. */
    std::set<scheduling::UpstreamId> missingUpstreams {};
    bool listingVms { false };
    kernel::Instant lastVmList {};
    /** @brief Number of VMs in the last list; sets the interval of reads. */
    std::size_t vmCount { 0 };
    /** @brief Number of upstreams of the previous owner that had not answered at the last tick. */
    std::size_t unreconciled { 0 };
    /** @brief Result of the last check whether tasks may be started. */
    std::optional<StartPermission> startPermission {};
    std::optional<StallLog> stallLog {};
    /** @brief Boot clock time at which the members were last passed to the scheduler. */
    kernel::Instant membersAppliedAt {};
    /** @brief Number of start orders without an answer yet. */
    std::size_t startsInFlight { 0 };
    bool loaded { false };
    bool closed { false };
    bool flushScheduled { false };
    /** @brief Listed ends that are acknowledged after the next write of records. */
    TaskEnds endsToAcknowledge {};
    /** @brief Listed ends by the batch of records that contains them. */
    std::map<std::uint64_t, TaskEnds> endsByBatch {};
    /** @brief Ends that have been logged and passed to the scheduler. */
    TaskEnds seenEnds {};
    metrics::Counter startCounter;
    metrics::Histogram jobTimes;
    std::optional<jobs::PoolReport> publishedReport {};
    bool publishing { false };
    /** @brief CPU demand in the last report, in thousandths of a core. */
    std::int64_t reportedDemand { 0 };
    kernel::Instant lastPublishedAt {};
    /** @brief Effort of the scheduler that the metrics include already. */
    std::optional<scheduling::Effort> countedEffort {};
    kernel::Timer tickTimer;
    kernel::Timer flushTimer;
};

} // namespace wasabiroad::agent
