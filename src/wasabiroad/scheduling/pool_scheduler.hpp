#pragma once

#include "wasabiroad/scheduling/arrivals.hpp"
#include "wasabiroad/scheduling/effort.hpp"
#include "wasabiroad/scheduling/footprint.hpp"
#include "wasabiroad/scheduling/move_plan.hpp"
#include "wasabiroad/scheduling/policy.hpp"
#include "wasabiroad/scheduling/run_times.hpp"
#include "wasabiroad/scheduling/state.hpp"
#include "wasabiroad/scheduling/waiting_reasons.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace wasabiroad::scheduling {

/**
 * @brief Assigns the tasks of a pool to upstreams; performs no I/O and reads no clock.
 *
 * The owner of the pool passes in events and carries out the returned orders. A run occupies resources of its
 * upstream from the start order until the upstream lists its end or rejects it, or until any lease for it
 * has expired.
 */
class PoolScheduler {
public:
    /**
     * @param policy Limits and time-outs.
     * @param term Term of ownership; runs of a later term have higher numbers.
     * @param started When the term began.
     * @param used Upstreams that may run tasks started by a previous owner.
     * @param leaseLeft Longest time for which leases of some of these can last; it is Policy::takeoverTimeout
     * for the others.
     */
    PoolScheduler(Policy policy, std::uint64_t term, Moment started, const std::vector<UpstreamId>& used = {},
        const std::map<UpstreamId, kernel::Duration>& leaseLeft = {});

    /**
     * @brief Applies one event.
     * @param event What happened.
     * @param now Current time.
     * @return Orders to send to upstreams.
     */
    std::vector<Order> apply(const Event& event, Moment now);

    /** @brief Sets whether tasks may be started; false while the owner may have been replaced. */
    void setActive(bool mayStart) { this->active = mayStart; }

    /** @return Job records that changed since the last call and have to be written. */
    std::vector<RecordChange> takeChanges();

    /** @return Upstreams whose leases expired since the last call. */
    std::vector<LeaseExpiry> takeExpiries() { return std::exchange(this->expiries, {}); }

    /** @return Whether an unwritten record ends a job; a caller may be waiting for it. */
    bool hasUrgentChange() const { return this->urgent; }

    bool hasChange() const { return !this->changed.empty(); }

    /** @return State of a job, or nothing if the job is unknown; a final state is returned only once its
     * record has been written. */
    std::optional<jobs::JobState> stateOf(const jobs::JobId& job) const;

    /** @return Wall clock at which a job was accepted, or nothing if the job is unknown. */
    std::optional<kernel::Instant> acceptedAt(const jobs::JobId& job) const;

    /** @return Jobs that have not ended. */
    std::vector<jobs::JobId> openJobs() const;

    /** @return Number of pending jobs of each queue, without jobs that have a scheduled time. */
    std::map<jobs::QueueId, std::uint64_t> pendingCounts() const;

    /** @return Current demand of the pool. */
    PoolDemand demand(Moment now) const;

    /** @return Whether the upstream is to be drained, is reconciled and has no tasks. */
    bool isDrained(const UpstreamId& upstream) const;

    /** @return Whether the upstream may have tasks or ends of a previous owner that it has not listed yet. */
    bool isUnreconciled(const UpstreamId& upstream) const { return this->unreconciled.contains(upstream); }

    /** @return Number of unreconciled upstreams; until it is 0, tasks that a previous owner may have started
     * wait. */
    std::size_t unreconciledCount() const { return this->unreconciled.size(); }

    /** @return Upstreams that are not reconciled. */
    std::vector<UpstreamId> unreconciledUpstreams() const;

    /** @return Upstreams that do not answer and hold up tasks: they may run some, or tasks of a previous
     * owner. */
    std::vector<UpstreamId> unheardUpstreams() const;

    /**
     * @brief Computes how long leases of tasks on an upstream can last, unless they are renewed.
     * @param lastRenewal When the last call that renews leases was sent.
     * @return The longest time.
     */
    kernel::Duration leaseLeft(const UpstreamId& upstream, kernel::Instant lastRenewal, Moment now) const;

    /** @return Sequence number of the last task end applied for an upstream. */
    std::uint64_t lastEndNumber(const UpstreamId& upstream) const;

    /** @return Whether pace control or a drain needs lists of its tasks in short intervals: it runs both
     * filler and serving tasks, or tasks of a step that limits how many a drain may stop, or a run whose stop
     * awaits a list, or it has no tasks and is being drained, or has not answered since its drain ended. */
    bool needsFrequentPolling(const UpstreamId& upstream) const;

    /** @brief Reports that the record of a job was written; an ended job is erased once none of its tasks
     * runs. */
    void recordWritten(const jobs::JobId& job);

    /** @return Whether the upstream may still run a task of a known job. */
    bool hasTasks(const UpstreamId& upstream) const;

    std::size_t jobCount() const { return this->jobEntries.size(); }

    /** @return Steps and tasks held in memory. */
    Footprint footprint() const;

    /** @return Jobs, steps and upstreams examined since the term began. */
    Effort effort() const { return { this->jobsExamined, this->stepsExamined, this->upstreamsExamined }; }

    /** @return Why ready tasks wait. */
    WaitingReasons waitingReasons(Moment now) const;

private:
    using JobEntry = internal::JobEntry;
    using OccurrenceEntry = internal::OccurrenceEntry;
    using StepEntry = internal::StepEntry;
    using Task = internal::Task;
    using Upstream = internal::Upstream;

    void on(const JobAdded& event, Moment now);
    void on(const JobCancelled& event, Moment now);
    void on(const MembersListed& event, Moment now);
    void on(const DrainsChanged& event, Moment now);
    void on(const TasksListed& event, Moment now);
    void on(const StartAnswered& event, Moment now);
    void on(const StopAnswered& event, Moment now);
    void on(const UpstreamUnresponsive& event, Moment now);
    void on(const UpstreamReplaced& event, Moment now);
    void on(const UpstreamDown& event, Moment now);
    void on(const Tick& event, Moment now);

    void restore(JobEntry& entry, const jobs::Record& record, Moment now);
    OccurrenceEntry& openOccurrence(JobEntry& entry, std::uint32_t number, Moment now);
    /** @brief Opens the occurrences that are due, as far as the number of waiting steps allows. */
    void openDueOccurrences(JobEntry& entry, Moment now);
    /** @brief Opens the occurrence of a task that an upstream has listed: a previous owner may have started
     * it. */
    void openReported(const jobs::TaskId& id, Moment now);
    void cancelOpening(JobEntry& entry);
    void countDone(JobEntry& entry, const jobs::TaskPosition& position, Moment now);
    void closeIfCompleted(JobEntry& entry, std::uint32_t number);
    void applyEnd(const UpstreamId& id, const EndedTask& end, Moment now);
    void applyRunning(const UpstreamId& id, const RunningTask& running, Moment now);
    /** @brief Resolves tasks of an upstream that a complete list does not contain. */
    void resolveUnlisted(const TasksListed& event, Moment now);
    /** @brief Marks upstreams without a recent list as unresponsive. */
    void checkTaskLists(Moment now);
    void releaseAll(const UpstreamId& id, Moment now);
    /** @brief Releases the tasks of upstreams that do not answer once their leases have expired. */
    void releaseExpired(Moment now);
    /** @return Longest time for which a task can run there after a call that extends its lease. */
    kernel::Duration maxLease(const Upstream& upstream, const Task& task) const;
    /** @return Time by which the lease of a task there has expired, unless it is extended. */
    kernel::Instant leaseEnd(const Upstream& upstream, const Task& task) const;
    /** @brief Releases the tasks of the earlier incarnation of an upstream that has restarted. */
    void releaseRestarted(const TasksListed& event, Moment now);
    void release(const jobs::TaskId& id, Task& task, Moment now);
    void resolveTasks();
    void markReconciled(const UpstreamId& id);
    void eraseIfEnded(const jobs::JobId& job);
    void eraseUpstream(const UpstreamId& id);
    void finish(JobEntry& entry, jobs::JobState state, Moment now, std::string_view reason);
    void learnRunTime(JobEntry& entry, std::uint32_t step, kernel::Duration actual);
    void taskDone(JobEntry& entry, const jobs::TaskId& id, Task& task, Moment now);
    void taskFailed(JobEntry& entry, const jobs::TaskId& id, Task& task, const UpstreamId& where, Moment now);
    void markSuspect(const UpstreamId& id, Moment now);
    /** @return Whether one more member may be suspect. */
    bool admitsSuspect(Moment now) const;
    void setPhase(Task& task, internal::Phase phase);
    void requeue(const jobs::TaskId& id, Task& task, Moment now);
    void markRunning(JobEntry& entry);
    void attach(const jobs::TaskId& id, const Task& task);
    void detach(const jobs::TaskId& id, Task& task);
    void stop(const jobs::TaskId& id, Task& task, Moment now, std::string_view reason);
    /** @brief Stops a run whose start was not answered and may still be carried out; where that could end a
     * task at work, only once a list shows that it has not been. */
    void stopUnanswered(const jobs::TaskId& id, Task& task, Moment now);
    /** @return Whether the stop of a run is sent only after a list without the run. */
    bool awaitsList(const jobs::TaskId& id, const Task& task) const;
    void sendStop(const jobs::TaskId& id, Task& task, Moment now, std::string_view reason);
    void stopUnexpected(
        const UpstreamId& upstream, const jobs::TaskId& id, jobs::Run run, std::string_view reason);
    void markChanged(const jobs::JobId& job, bool isUrgent);
    void checkStalls(Moment now);
    void drainUpstreams(Moment now);
    /** @return Whether all long-running tasks of an upstream may be unavailable at once. */
    bool mayStopAll(const Upstream& upstream, Moment now) const;
    /** @return Whether another upstream may run a task of a long-running step besides those of the step that
     * wait or are being stopped, once it has free resources. */
    bool hasDestination(const JobEntry& entry, const jobs::TaskId& id) const;
    bool mayHost(const UpstreamId& id, const Upstream& upstream, const jobs::Step& step) const;
    void adjustPace(Upstream& upstream, Moment now);

    /** @brief A step with tasks to start. */
    struct ReadyStep {
        JobEntry* entry;
        std::uint32_t occurrence;
        std::uint32_t step;

        StepId id() const { return { this->entry->job.id, this->occurrence, this->step }; }
    };

    void markDirty(const jobs::JobId& job, std::uint32_t occurrence)
    {
        this->dirtySteps.emplace(job, occurrence);
    }
    void markDirty(const JobEntry& entry);
    void markDirty(const UpstreamId& upstream) { this->dirtyUpstreams.insert(upstream); }
    void processWakes(Moment now);
    void refresh(Moment now);
    void refreshDirtySteps(Moment now);
    void refreshSteps(JobEntry& entry, std::uint32_t occurrence, Moment now);
    void refreshUpstream(const UpstreamId& id, Moment now);
    void indexUpstream(const UpstreamId& id, Upstream& upstream, Moment now);
    void setWaiting(StepEntry& step, const std::optional<internal::WaitingKey>& waiting);
    void setWakes(const StepId& id, StepEntry& step, std::optional<kernel::Instant> wall,
        std::optional<kernel::Instant> steady);
    Requirements requirementsOf(const JobEntry& entry, const StepId& id, Moment now) const;

    void schedule(Moment now);
    bool place(const ReadyStep& ready, Moment now);
    bool placeGang(const ReadyStep& ready, Moment now);
    std::vector<UpstreamId> chooseGang(const ReadyStep& ready, Moment now, const model::RackId* onlyRack);
    void startOn(const ReadyStep& ready, std::uint32_t number, UpstreamId where, jobs::Run run, Moment now);
    bool admits(const jobs::Step& step, const Room& room) const;
    /** @brief Number of tasks of a gang for which each upstream is chosen while the rest is placed. */
    using Chosen = std::map<UpstreamId, std::uint32_t>;
    std::vector<const UpstreamId*> candidates(
        const ReadyStep& ready, const Task& task, const std::set<UpstreamId>& group, const Chosen& chosen);
    const UpstreamId* chooseUpstream(const ReadyStep& ready, const Task& task, Moment now,
        const model::RackId* onlyRack, const Chosen& chosen);
    /** @return Number of tasks of the step that an upstream has or is chosen for. */
    std::uint32_t countOfStep(const UpstreamId& upstream, const StepId& step, const Chosen& chosen) const;
    const std::vector<model::RackId>& racksInOrder();
    bool mayStartMore() const { return this->unansweredStarts < this->policy.maxStartsInFlight; }
    bool isSchedulable(const UpstreamId& id, const Upstream& upstream, Moment now) const;
    /** @return Expected time until its tasks have ended, or nothing if it exceeds the limit for a release. */
    std::optional<kernel::Duration> timeToDrain(const Upstream& upstream, Moment now) const;
    static std::uint32_t countOfStep(const Upstream& upstream, const StepId& step);
    bool arePredecessorsDone(const JobEntry& entry, std::uint32_t occurrence, std::uint32_t step) const;
    bool isStepReady(const JobEntry& entry, std::uint32_t occurrence, std::uint32_t step, Moment now) const;
    bool isUnavailable(const Task& task, Moment now) const;
    std::uint32_t countOtherUnavailable(const JobEntry& entry, const jobs::TaskId& id, Moment now) const;

    /** @brief Adds the waiting tasks of a ready step to the tallies. */
    void tallyWaiting(const JobEntry& entry, const StepId& id, Moment now,
        std::map<WaitReason, internal::WaitingTally>& tallies) const;
    UpstreamCondition conditionOf(const UpstreamId& id, const Upstream& upstream, Moment now) const;
    /** @return Number of indexed upstreams with enough free resources for a task of the step. */
    std::size_t countFitting(const jobs::Step& step) const;

    std::pair<JobEntry*, Task*> find(const jobs::TaskId& id);
    /** @return A task that is known to exist. */
    const Task& taskAt(const jobs::TaskId& id) const;
    const jobs::Step& stepOf(const jobs::TaskId& id) const;

    const Policy policy;
    const std::uint64_t term;
    /** @brief Run numbers assigned in this term; the members of a gang share one. */
    std::uint64_t assignedRuns { 0 };
    std::size_t unansweredStarts { 0 };
    std::uint64_t jobsExamined { 0 };
    std::uint64_t stepsExamined { 0 };
    std::uint64_t upstreamsExamined { 0 };
    bool active { true };
    bool schedulingNeeded { false };
    bool urgent { false };
    /** @brief Upstreams that may have tasks or ends of a previous owner that they have not listed yet, and
     * when a lease there has surely expired unless it was renewed in this term. */
    std::map<UpstreamId, kernel::Instant> unreconciled {};
    /** @brief Upstreams to be drained. */
    std::map<UpstreamId, internal::DrainState> drains {};
    /** @brief Upstreams that have not answered a call since their drain ended, and when it did: their VMs may
     * have been taken down. They get no tasks. */
    std::map<UpstreamId, kernel::Instant> reopening {};
    std::unordered_map<jobs::JobId, JobEntry> jobEntries {};
    std::map<UpstreamId, Upstream> upstreams {};
    std::set<jobs::JobId> changed {};
    std::vector<Order> orders {};
    std::vector<LeaseExpiry> expiries {};
    /** @brief Occurrences and upstreams whose index entries may be out of date. */
    std::set<std::pair<jobs::JobId, std::uint32_t>> dirtySteps {};
    std::set<UpstreamId> dirtyUpstreams {};
    /** @brief Times at which waiting steps have to be indexed again. */
    std::set<std::pair<kernel::Instant, StepId>> wallWakes {};
    std::set<std::pair<kernel::Instant, StepId>> steadyWakes {};
    std::set<std::pair<kernel::Instant, UpstreamId>> suspicionEnds {};
    WaitingIndex waiting {};
    RoomIndex rooms {};
    /** @brief Racks in the order of their first upstreams; empty if the list has to be rebuilt. */
    std::vector<model::RackId> racks {};
    ArrivalRate arrivals {};
    RunTimes runTimes {};
};

} // namespace wasabiroad::scheduling
