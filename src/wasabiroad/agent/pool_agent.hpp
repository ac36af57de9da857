#pragma once

#include "wasabiroad/agent/record_writer.hpp"
#include "wasabiroad/agent/revision_clock.hpp"
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

/** @brief What the owner of a pool needs from its daemon. */
struct PoolContext {
    boost::asio::io_context& context;
    const std::shared_ptr<const store::Store> store;
    const std::shared_ptr<const ports::Upstreams> upstreams;
    const std::shared_ptr<metrics::Metrics> metrics;
    /** @brief Longest lease that upstreams grant. */
    const kernel::Duration taskLease;
    /** @brief Whether the daemon may renew leases of its tasks. */
    const std::function<bool()> mayRenewLeases;
    /** @brief Whether the daemon surely holds its duties, so that nobody else starts the same tasks. */
    const std::function<bool()> mayStart;
    /** @brief Boot clock at which the list of upstreams was last known to be complete. */
    const std::function<kernel::Instant()> upstreamsKnownAt;
    /** @brief Longest time for which changes can be missing from a view up to a revision, see RevisionClock.
     */
    const std::function<std::optional<kernel::Duration>(store::Revision)> ageOf;
};

/** @brief Owns the scheduling of one pool for one term: feeds the scheduler and carries out its orders. */
class PoolAgent : public std::enable_shared_from_this<PoolAgent> {
public:
    PoolAgent(PoolContext context, model::ServiceId service, ports::Term term);

    /** @brief Reads the open jobs of the pool, then begins to schedule. */
    void start();

    /** @brief Uses the current list of upstreams of all pools. */
    void setUpstreams(const std::vector<scheduling::UpstreamFacts>& members);

    /** @return State of a job, or nothing when it is not known here. */
    std::optional<jobs::JobState> stateOf(const jobs::JobId& job) const;

    /** @return Numbers of jobs that have not begun, or nothing while they are not known. */
    std::optional<jobs::PendingCounts> pendingCounts() const;

    /** @return Revision up to which this owner has seen the changes of the pool. */
    store::Revision watchedRevision() const { return this->watched; }

    /** @brief Ends the term: no order is given any more. */
    void close();

private:
    /** @brief Ends of one life of an upstream up to a number. */
    struct ListedEnds {
        kernel::Instant life {};
        std::uint64_t last { 0 };
    };

    /** @brief The latest listed ends of each upstream. */
    using Ends = std::map<scheduling::UpstreamId, ListedEnds>;

    /** Upstreams that the former owner recorded as used, and the revision of that record. */
    struct UsedBefore {
        const std::vector<std::string> ids {};
        const store::Revision revision {};
    };

    /** Makes a callback that does nothing once this term has ended. */
    template <typename Function> auto guarded(Function function)
    {
        return [weak = weak_from_this(), function](const auto&... arguments) {
            if (const auto self = weak.lock(); self && !self->closed) {
                function(*self, arguments...);
            }
        };
    }

    void load();
    void readUsed(const store::Listing& progress);
    void readPool(const store::Listing& progress, const UsedBefore& usedBefore);
    void begin(const store::Listing& pool, const store::Listing& progress, const UsedBefore& usedBefore);
    void addJobs(const store::Listing& pool, const store::Listing& progress, bool mayHaveStarted);
    /** Ends what a list shows to be gone, after a watch has lost the history. */
    void cancelMissing(const store::Listing& pool);
    void watch(store::Revision after);
    void onKeyEvents(const std::vector<store::KeyEvent>& events);
    void onKeyEvent(const store::KeyEvent& event);
    void retryLoad(const kernel::Error& error);
    void onJobEnded(const jobs::JobId& job);
    /** Whether tasks may be started now; what changes by the age of the view is logged. */
    bool mayStart();
    void apply(const scheduling::Event& event);
    void carryOut(const scheduling::Order& order);
    void carryOut(const scheduling::StartTask& order, UpstreamAgent& upstream);
    void carryOut(const scheduling::StopTask& order, UpstreamAgent& upstream);
    void carryOut(const scheduling::PaceTask& order, UpstreamAgent& upstream);
    void onTasks(const scheduling::UpstreamId& id, const ports::Tasks& tasks, kernel::Instant sent);
    void planFlush();
    void flush();
    void onFlushed(std::uint64_t batch);
    void acknowledge(const Ends& ends);
    void tick();
    /** Logs when the tasks that a former owner may have started need not wait any more. */
    void logSettled();
    void publishReport();
    void countLooks(const scheduling::Effort& looks);
    void useMembers();
    void openLinks();
    void closeUnused();
    std::set<std::string> upstreamsInUse() const;
    void recordUsed(const std::set<std::string>& ids);
    void onUsedRecorded(const std::set<std::string>& ids, const store::ChangeOutcome& outcome);
    void onDrain(const std::string& key, const std::optional<std::string>& value);
    void announceEmptied();
    void superseded();
    void replaced(const scheduling::UpstreamId& id);
    scheduling::Moment now() const;
    UpstreamEvents upstreamEvents();

    const PoolContext environment;
    const kernel::Duration taskLease;
    const model::ServiceId service;
    const ports::Term term;
    std::optional<scheduling::PoolScheduler> scheduler {};
    std::shared_ptr<RecordWriter> writer {};
    std::map<scheduling::UpstreamId, std::shared_ptr<UpstreamAgent>> links {};
    std::vector<scheduling::UpstreamFacts> members {};
    /** @brief Upstreams that are recorded as used: tasks may be started there. */
    std::set<std::string> used {};
    /** @brief Upstreams that are to be emptied, by VM. */
    std::map<std::string, jobs::Drain> drains {};
    /** @brief VMs whose emptiness is written. */
    std::set<std::string> announced {};
    /** @brief Revision of that record, as far as it is known. */
    store::Revision usedRevision {};
    bool recordingUsed { false };
    /** @brief Changes of the pool up to this revision have reached the scheduler. */
    store::Revision watched {};
    /** @brief When the term began. */
    kernel::Instant begun {};
    /** @brief Upstreams of the former owner that had not answered at the last tick. */
    std::size_t unheard { 0 };
    /** @brief Whether the view of the pool was young enough for starts when it was last asked for. */
    bool viewIsCurrent { false };
    /** @brief When the upstreams were last compared with those in use. */
    kernel::Instant membersUsed {};
    /** @brief Starts that have no answer yet. */
    std::size_t startsInFlight { 0 };
    bool loaded { false };
    bool closed { false };
    bool flushPlanned { false };
    /** @brief Listed ends that no batch of records covers yet. */
    Ends openEnds {};
    /** @brief Listed ends by the batch of records that covers them. */
    std::map<std::uint64_t, Ends> unrecordedEnds {};
    std::map<scheduling::UpstreamId, std::uint64_t> seenEnds {};
    metrics::Counter startCounter;
    metrics::Histogram jobTimes;
    std::optional<jobs::PoolReport> publishedReport {};
    bool publishing { false };
    /** @brief Thousandths of a core that the last report asked for. */
    std::int64_t reportedNeed { 0 };
    kernel::Instant lastPublished {};
    /** @brief Effort of the scheduler that the metrics hold. */
    std::optional<scheduling::Effort> countedEffort {};
    kernel::Timer tickTimer;
    kernel::Timer flushTimer;
};

} // namespace wasabiroad::agent
