#pragma once

#include "wasabiroad/ports/fleet.hpp"
#include "wasabiroad/ports/upstreams.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace wasabiroad::standin {

/** @brief What is wrong between one daemon and the upstreams; tests change it while they run. */
struct WorkerFaults {
    /** @brief Upstreams that do not answer this daemon. */
    std::set<scheduling::UpstreamId> cut {};
    /** @brief Upstreams whose calls are answered by another upstream. */
    std::set<scheduling::UpstreamId> misdirected {};
    /** @brief Starts are carried out and not answered. */
    bool losesStartAnswers { false };
};

/**
 * @brief Upstreams in memory that run tasks under leases, and the VMs under them.
 *
 * They keep fences, run numbers, ends and leases as the platform's do, and note each broken promise. The
 * payload of a task is the time that it runs, in ms.
 */
class Workers {
public:
    explicit Workers(boost::asio::io_context& context);

    /** @brief Adds an upstream on a VM of the same number. */
    void add(const std::string& name, const model::ServiceId& service, std::int64_t cpu);

    /** @return Calls of a daemon with these faults. */
    ports::Upstreams connect(std::shared_ptr<WorkerFaults> faults);

    /** @return The upstreams that are up. */
    std::vector<scheduling::UpstreamFacts> members() const;

    /** @return The VMs. */
    std::vector<ports::VmFacts> vms() const;

    /** @brief The daemon that sends an order to a VM, and the fencing token of the order. */
    struct OrderOrigin {
        const std::string holder {};
        const std::uint64_t fence { 0 };

        friend auto operator<=>(const OrderOrigin&, const OrderOrigin&) = default;
    };

    /** @brief Takes a VM down; a new upstream comes up on it after a while. */
    ports::VmOrderResult maintain(const model::VmId& vm, const OrderOrigin& origin);

    /** @brief Gives a VM to another pool; a new upstream comes up on it after a while. */
    ports::VmOrderResult move(const model::VmId& vm, const model::ServiceId& pool, const OrderOrigin& origin);

    /** @return Moves that were carried out. */
    std::size_t moveCount() const { return this->movingHolders.size(); }

    /** @return The daemons that ordered the moves, in order. */
    const std::vector<std::string>& holdersOfMoves() const { return this->movingHolders; }

    /** @brief Sets the time within which orders of two daemons to one VM break a promise. */
    void setOrderGap(kernel::Duration gap) { this->orderGap = gap; }

    /** @brief Sets the longest lease that an upstream grants. */
    void setMaxLease(kernel::Duration lease) { this->maxLease = lease; }

    /** @brief Sets how many ends an upstream lists at a time. */
    void setEndsPerList(std::size_t count) { this->endsPerList = count; }

    /** @brief Sets the pools whose VMs are switched off: a VM that joins one runs no upstream. */
    void setSparePools(std::set<model::ServiceId> pools) { this->sparePools = std::move(pools); }

    /** @brief Sets the time that a VM takes for a move or for maintenance. */
    void setDownTime(kernel::Duration time) { this->downTime = time; }

    /** @brief Sets for how long upstreams that are gone stay listed, and for how long calls to them wait for
     * their failure. */
    void setDeparture(kernel::Duration listedFor, kernel::Duration silentFor);

    /** @brief Sets how much later the next incarnation carries out a call for tasks that met a restart; 0 for
     * never. */
    void setLateLooks(kernel::Duration delay) { this->lateLooks = delay; }

    /** @brief Sets for how long the directory gives the facts of the earlier incarnation after a crash. */
    void setRegistrationDelay(kernel::Duration delay) { this->registrationDelay = delay; }

    /** @brief Lets an upstream lose all that it runs and start again. */
    void crash(const std::string& name);

    /** @brief Ends an upstream and its VM for good. */
    void powerOff(const std::string& name);

    /** @brief Ends an upstream; another one comes up on its VM after a while. */
    void replace(const std::string& name);

    /** @brief Raises the highest term that an upstream and its VM have seen, as an unknown caller can. */
    void raiseFence(const std::string& name, std::uint64_t term);

    /** @return Promises that were broken, in order. */
    const std::vector<std::string>& broken() const { return this->faults; }

    /** @return Upstreams that were gone when a start reached them, in order. */
    const std::vector<scheduling::UpstreamId>& startsOnDeparted() const { return this->departedStarts; }

    /** @return Starts of tasks of a job. */
    std::size_t startsOf(const jobs::JobId& job) const;

    /** @return Tasks that run now. */
    std::size_t runningCount() const;

    /** @return Tasks of a job that run now. */
    std::size_t runningOf(const jobs::JobId& job) const;

    /** @return The upstream that runs the most tasks. */
    scheduling::UpstreamId busiest() const;

    /** @return Most VMs that were down for maintenance at once. */
    std::size_t mostDown() const { return this->downAtMost; }

    /** @return VMs that have had maintenance. */
    const std::set<model::VmId>& maintained() const { return this->maintainedVms; }

private:
    struct Running {
        jobs::Run run {};
        kernel::Instant ends {};
        std::int64_t cpu { 0 };
        std::optional<kernel::Instant> stops {};
    };

    struct Worker {
        std::string name;
        model::ServiceId service;
        std::int64_t cpu { 0 };
        scheduling::UpstreamId id {};
        std::int64_t born { 0 };
        /** @brief The incarnation that has crashed last; 0 for none. */
        std::int64_t formerBorn { 0 };
        /** @brief When its clock was 0. */
        kernel::Instant started {};
        bool up { true };
        bool inMaintenance { false };
        bool poweredOff { false };
        /** @brief It joined a spare pool and runs no upstream. */
        bool switchedOff { false };
        std::uint64_t fence { 0 };
        std::uint64_t vmFence { 0 };
        std::string vmHolder {};
        kernel::Instant vmOrdered {};
        kernel::Instant leaseEnd {};
        /** @brief When its lease was last found to have ended. */
        kernel::Instant lapsed {};
        std::map<jobs::TaskId, Running> running {};
        std::map<jobs::TaskId, jobs::Run> closedRuns {};
        std::map<std::uint64_t, scheduling::EndedTask> ends {};
        std::uint64_t nextEnd { 1 };
    };

    /** @brief An upstream that is gone and is still listed. */
    struct Departed {
        scheduling::UpstreamFacts facts;
        kernel::Instant listedUntil {};
    };

    scheduling::UpstreamFacts factsOf(const Worker& worker) const;
    /** @brief Ends an upstream; its entry and its silence last as `setDeparture` says. */
    void depart(Worker& worker);
    void comeUpLater(const Worker& worker);
    /** @brief Calls back after the time for which calls to an upstream that is gone wait. */
    void failLater(std::function<void()> callback);
    /** @return Whether the order is not fenced. */
    bool takeOrder(Worker& worker, const OrderOrigin& origin);
    Worker* find(const scheduling::UpstreamId& id);
    void takeDown(Worker& worker, const std::string& reason);
    void advance(Worker& worker);
    bool isDone(const jobs::TaskId& task) const;
    void lose(Worker& worker);
    void end(Worker& worker, const jobs::TaskId& task, scheduling::EndKind kind);
    ports::LookOutcome look(const scheduling::UpstreamId& id, const ports::Look& look);
    ports::StartOutcome start(
        const scheduling::StartTask& order, ports::Term term, ports::UpstreamTime leaseEnd);
    static ports::UpstreamTime clockOf(const Worker& worker);
    /** @brief Extends the lease of all tasks of an upstream, which grants `maxLease` at most. */
    void extendLease(Worker& worker, ports::UpstreamTime end) const;
    ports::OrderOutcome stop(const scheduling::StopTask& order, ports::Term term);
    void waitForEnd(const scheduling::UpstreamId& id, const ports::Look& look, kernel::Instant until,
        store::Callback<ports::LookOutcome> callback, bool hasArrived = false);

    boost::asio::io_context& context;
    std::list<Worker> workers {};
    std::vector<std::string> faults {};
    std::map<jobs::JobId, std::size_t> starts {};
    /** @brief Tasks that were done, where and when. */
    std::map<jobs::TaskId, std::pair<std::string, kernel::Instant>> done {};
    std::set<model::VmId> maintainedVms {};
    std::size_t downAtMost { 0 };
    std::vector<std::string> movingHolders {};
    kernel::Duration orderGap {};
    std::optional<kernel::Duration> downTime {};
    std::set<model::ServiceId> sparePools {};
    std::vector<Departed> departed {};
    std::vector<scheduling::UpstreamId> departedStarts {};
    kernel::Duration departedListed {};
    kernel::Duration departedSilent {};
    kernel::Duration lateLooks {};
    kernel::Duration registrationDelay {};
    std::size_t endsPerList { 500 };
    kernel::Duration maxLease { 6000 };
    std::uint64_t lives { 0 };
};

} // namespace wasabiroad::standin
