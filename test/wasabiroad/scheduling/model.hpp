#pragma once

#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include <pcg_random.hpp>

namespace wasabiroad::scheduling::test {

/** @brief Faults of a run of the model; probabilities are per thousand. */
struct Faults {
    const char* title { "" };
    /** @brief Calls that are lost on the way. */
    const unsigned lostCalls { 0 };
    /** @brief Calls that are carried out but whose answers are lost. */
    const unsigned lostAnswers { 0 };
    /** @brief Orders that are carried out seconds later and not answered. */
    const unsigned lateOrders { 0 };
    /** @brief Crashes of an upstream per time increment. */
    const unsigned crashes { 0 };
    /** @brief Changes of the owner per time increment. */
    const unsigned ownerChanges { 0 };
    /** @brief A replaced owner keeps renewing leases for a while, without starting tasks. */
    const bool previousOwnersStayActive { false };
    /** @brief Network partitions between an upstream and its owner per time increment. */
    const unsigned partitions { 0 };
    /** @brief Maximum number of ends in a list of an upstream. */
    const std::size_t endsPerList { 500 };
    /** @brief Orders that are neither sent nor answered. */
    const unsigned droppedOrders { 0 };
    /** @brief Stops that an upstream rejects. */
    const unsigned rejectedStops { 0 };
    /** @brief Runs that vanish without an end, per upstream and time increment. */
    const unsigned vanishedRuns { 0 };
    /** @brief Drains that begin, per upstream and time increment. */
    const unsigned drains { 0 };
    /** @brief Upstreams that begin to report that they are shutting down, per time increment. */
    const unsigned shutdowns { 0 };
    /** @brief Upstreams that leave the pool for a while, per time increment. */
    const unsigned departures { 0 };
    /** @brief Pauses of the owner, after which it handles all events late, per time increment. */
    const unsigned pauses { 0 };
    /** @brief Restarts of an upstream during a call for its tasks, which gets no answer, per time increment.
     */
    const unsigned unnoticedRestarts { 0 };
    /** @brief Spans in which the owner may not start tasks, per time increment. */
    const unsigned holds { 0 };

    friend std::ostream& operator<<(std::ostream& out, const Faults& faults) { return out << faults.title; }
};

/**
 * @brief Runs schedulers against simulated upstreams and a store in virtual time and checks invariants.
 *
 * The upstreams handle leases, fencing tokens, run numbers and task ends like real ones. Time advances in
 * fixed increments; calls take random times, so orders and answers overtake each other.
 */
class Model {
public:
    Model(std::uint64_t seed, Faults faults);

    /** @return The first violated invariant, or nothing. */
    std::optional<std::string> run();

    std::uint64_t startCount() const { return this->starts; }
    std::uint64_t completedJobs() const { return this->completedCount; }

private:
    struct Running {
        jobs::Run run {};
        std::int64_t started { 0 };
        std::int64_t ends { 0 };
        bool fails { false };
        bool hangs { false };
    };

    struct End {
        EndedTask ended {};
        std::int64_t time { 0 };
        /** @brief The lease of the upstream expired after this end. */
        bool leaseExpiredSince { false };
    };

    struct Upstream {
        UpstreamFacts facts;
        std::int64_t born { 1 };
        std::int64_t formerBorn { 1 };
        bool up { true };
        std::int64_t restartTime { 0 };
        std::int64_t partitionedUntil { 0 };
        /** @brief Until then a call for its tasks waits for an answer of its earlier incarnation. */
        std::int64_t listsLostUntil { 0 };
        std::int64_t drainedUntil { 0 };
        std::int64_t shutdownUntil { 0 };
        std::int64_t absentUntil { 0 };
        /** @brief Highest fencing token accepted. */
        std::uint64_t highestTerm { 0 };
        std::int64_t leaseEnd { 0 };
        std::map<jobs::TaskId, Running> running {};
        /** @brief Times at which stopping tasks end; until then they occupy their resources. */
        std::map<jobs::TaskId, std::int64_t> stopping {};
        /** @brief Highest run of each task that ended or was stopped; starts up to it are stale. */
        std::map<jobs::TaskId, jobs::Run> lastEndedRuns {};
        std::map<std::uint64_t, End> ends {};
        std::uint64_t nextEnd { 1 };
    };

    struct Owner {
        PoolScheduler scheduler;
        std::uint64_t term { 0 };
        std::int64_t activeUntil { 0 };
        bool terminated { false };
        std::int64_t pausedUntil { 0 };
        std::int64_t heldUntil { 0 };
        /** @brief Incarnation of each upstream and the last end recorded for it. */
        std::map<UpstreamId, std::pair<std::int64_t, std::uint64_t>> acknowledged {};
        std::map<UpstreamId, std::int64_t> lastRenewal {};
        /** @brief The incarnation of each upstream whose clock the owner has read last. */
        std::map<UpstreamId, std::int64_t> clockOf {};
        /** @brief Fencing tokens above the term, for upstreams whose restart the owner has seen. */
        std::map<UpstreamId, std::uint64_t> fences {};

        /** @return Fencing token of calls to the upstream. */
        std::uint64_t fenceOf(const UpstreamId& id) const
        {
            const auto found = this->fences.find(id);
            return found != this->fences.end() ? found->second : this->term;
        }
        std::set<UpstreamId> unresponsive {};
        std::vector<Drain> drains {};
        /** @brief Events that arrived during a pause, in order. */
        std::vector<Event> missed {};
    };

    using OwnerPointer = std::shared_ptr<Owner>;

    bool chance(unsigned perThousand);
    /** @return Whether a fault occurs that has this probability per thousand while faults are enabled. */
    bool fails(unsigned perThousand) { return this->faulty && chance(perThousand); }
    std::int64_t between(std::int64_t least, std::int64_t most);
    Moment moment() const;
    void after(std::int64_t delay, std::function<void()> action);
    void runScheduledActions();
    void reportViolation(const std::string& what);

    void advance();
    void injectFaults();
    void endFaults();
    /** @return A job that has not ended or a long-running task that does not run, or nothing. */
    std::optional<std::string> findStalled() const;

    void addJob();
    void addLongRunningJob();
    void publishJob(const jobs::Job& job);
    void cancelRandomJob();
    void replaceOwner();
    void listMembers(const OwnerPointer& owner);
    /** @brief Applies an event, or keeps it until the owner's pause has ended. */
    void applyEvent(const OwnerPointer& owner, const Event& event);
    void applyMissed(const OwnerPointer& owner);
    void handle(const OwnerPointer& owner, const Event& event);
    /** @brief Raises the fencing token for an upstream, unless another owner has taken over. */
    void raiseFence(const OwnerPointer& owner, const UpstreamId& id);
    void send(const OwnerPointer& owner, const Order& order);
    void sendStart(const OwnerPointer& owner, const StartTask& order);
    void sendStop(const OwnerPointer& owner, const StopTask& order);
    void poll(const OwnerPointer& owner, const UpstreamId& id);
    void writeRecords(const OwnerPointer& owner);
    void recordCompletion(const jobs::JobId& id, jobs::OccurrenceRange occurrences);

    Upstream& at(const UpstreamId& id);
    StartResult start(Upstream& upstream, const StartTask& order, std::uint64_t term, std::int64_t until);
    /** @return The end of a lease that a call asks for by the clock of an incarnation of the upstream. */
    std::int64_t grantedUntil(const Upstream& upstream, std::int64_t until, std::int64_t incarnation) const;
    void restartUnnoticed(Upstream& upstream);
    void checkStart(const Upstream& upstream, const StartTask& order);
    bool stop(Upstream& upstream, const StopTask& order, std::uint64_t term);
    void checkAcknowledged(const Upstream& upstream, std::uint64_t number);
    void end(Upstream& upstream, const jobs::TaskId& task, EndKind kind);
    void advanceUpstreams();
    void crash(Upstream& upstream);

    const Faults faults;
    pcg32 random;
    std::int64_t now { 0 };
    bool faulty { true };
    std::multimap<std::int64_t, std::function<void()>> scheduledActions {};
    std::vector<Upstream> upstreams {};
    std::vector<OwnerPointer> owners {};
    std::uint64_t term { 1 };
    std::map<jobs::JobId, jobs::Job> jobs {};
    /** @brief Records in the store. */
    std::map<jobs::JobId, jobs::Record> records {};
    /** @brief Tasks with a run that ended as done on an upstream. */
    std::set<jobs::TaskId> done {};
    std::map<jobs::TaskId, std::int64_t> lastStart {};
    /** @brief When the completion of a task was first recorded in the store. */
    std::map<jobs::TaskId, std::int64_t> recordedDone {};
    std::map<jobs::TaskId, std::uint32_t> failures {};
    std::map<jobs::JobId, std::int64_t> cancelled {};
    std::optional<std::string> violation {};
    std::uint64_t starts { 0 };
    std::uint64_t completedCount { 0 };
};

} // namespace wasabiroad::scheduling::test
