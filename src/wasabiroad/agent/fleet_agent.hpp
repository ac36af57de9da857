#pragma once

#include "wasabiroad/agent/duty_health.hpp"
#include "wasabiroad/kernel/timer.hpp"
#include "wasabiroad/ports/fleet.hpp"
#include "wasabiroad/scheduling/move_plan.hpp"
#include "wasabiroad/scheduling/wave_plan.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabiroad::agent {

/** @brief Services and settings of the daemon that the owner of the fleet duty uses. */
struct FleetContext {
    boost::asio::io_context& context;
    const std::shared_ptr<const store::Store> store;
    const std::shared_ptr<const ports::Fleet> fleet;
    /** @brief Minimum time between orders of two daemons to the same VM. */
    const kernel::Duration orderGap;
    /** @brief Whether the daemon's lease is valid; until it expires no other daemon can own its duties. */
    const std::function<bool()> isLeaseValid;
    /** @brief Upper bound on the age of data read at a store revision; empty if the age is unknown. */
    const std::function<std::optional<kernel::Duration>(store::Revision)> maxViewAge;
};

/**
 * @brief Carries out maintenance waves and moves of VMs between pools for one term.
 *
 * A VM that runs an upstream is drained first: a key in the store asks the owner of the pool to drain its
 * upstream, and another key reports that it is drained. The progress of waves is stored, so the next owner
 * resumes them. Ordered VMs are recorded before the orders are sent, so that the next owner has to wait
 * before it orders these VMs, but no others.
 */
class FleetAgent : public std::enable_shared_from_this<FleetAgent> {
public:
    FleetAgent(FleetContext context, ports::Term term);

    void start();

    /** @brief Adds the waves that the operator has requested. */
    void addWaves(const std::map<std::uint64_t, ports::WaveRequest>& requests);

    /** @brief Sets the pools that queues name or have named since the daemon started, and the spare pools; a
     * pool may be both. */
    void setPools(std::set<model::ServiceId> withJobs, std::set<model::ServiceId> spare);

    /** @return Whether waves and moves are carried out. */
    DutyHealth health() const;

    void close();

private:
    /** @brief Progress of a VM in a wave. */
    struct WaveVmState {
        scheduling::WaveStage stage { scheduling::WaveStage::Waiting };
        /** @brief The upstream that is drained, or that ran on the VM before the maintenance. */
        scheduling::UpstreamId upstream {};
        model::ServiceId pool {};
        /** @brief Revision of the drain request; drain reports with older revisions answer another one. */
        std::optional<store::Revision> drainRevision {};
        /** @brief When this agent last set the stage; VM lists requested before do not reflect it. */
        kernel::Instant stageChangedAt {};
        bool orderInFlight { false };
        /** @brief An order was not answered and may still be carried out, until an order of a term as high or
         * higher is answered. */
        bool mayBeTakenDown { false };
        /** @brief The last list showed it in maintenance, ordered by a previous owner or for another wave. */
        bool seenInMaintenance { false };
        /** @brief Consecutive lists without the VM. */
        std::uint32_t missedLists { 0 };
        /** @brief Its drain was logged as overdue. */
        bool isOverdueLogged { false };
        /** @brief Until then it is not selected again, since a drain of it was given up. */
        kernel::Instant deferredUntil {};
        /** @brief Drains that were given up. */
        std::uint32_t failedDrains { 0 };
    };

    struct Wave {
        ports::WaveRequest request;
        std::map<model::VmId, WaveVmState> vms {};
        bool loaded { false };
        bool loading { false };
        bool statusWritten { false };
        bool completed { false };
        bool writingStatus { false };
        /** @brief When this agent loaded its progress. */
        kernel::Instant loadedAt {};
    };

    struct Move {
        scheduling::VmMove order;
        /** @brief Tells moves of one VM apart. */
        std::uint64_t number { 0 };
        /** @brief Revision of the drain request, as for waves. */
        std::optional<store::Revision> drainRevision {};
        /** @brief When the move was planned; replaced by the time at which the platform accepted it. */
        kernel::Instant stateChangedAt {};
        bool orderInFlight { false };
        /** @brief The owner of its pool has reported the drain. */
        bool drained { false };
        /** @brief An order was not answered and may still be carried out. */
        bool mayBeCarriedOut { false };
        /** @brief The platform has accepted the order and is moving the VM. */
        bool accepted { false };
        /** @brief Consecutive complete lists without the VM. */
        std::uint32_t missedLists { 0 };
    };

    /** @brief A queued order to move a VM to another pool. */
    struct MoveOrder {
        model::VmId vm;
    };

    /** @brief A queued order to maintain a VM. */
    struct MaintenanceOrder {
        std::uint64_t wave { 0 };
        model::VmId vm;
    };

    using Order = std::variant<MoveOrder, MaintenanceOrder>;

    /** @brief Growth of the load of a pool, in thousandths of a core per second. */
    struct Trend {
        void observe(kernel::Instant now, std::int64_t cpu);

        kernel::Instant observedAt {};
        std::int64_t cpu { 0 };
        std::int64_t growth { 0 };
    };

    void tick();
    void readReports(const std::vector<ports::VmFacts>& facts);
    void planMoves(const std::vector<ports::VmFacts>& facts, const store::Listing& reports);
    std::vector<scheduling::PoolView> makePoolViews(
        const store::Listing& reports, const std::vector<scheduling::MovableVm>& vms);
    std::vector<scheduling::MovableVm> movableVms(const std::vector<ports::VmFacts>& facts) const;
    void updateMoves(const std::map<model::VmId, const ports::VmFacts*>& facts);
    /** Clears `mayBeCarriedOut` once a list of VMs shows that the unanswered order was carried out, or that
     * the drained upstream is gone. */
    static void settleUnansweredOrder(Move& move, const ports::VmFacts& vm);
    /** Ends the moves that have taken too long, and their drains. */
    void expireMoves();
    /** Returns VMs to pools that need them, if their moves take long to be ordered. */
    void returnNeededVms();
    /** @return The stage of a move for logs. */
    static std::string_view stageOf(const Move& move);
    void beginMove(const scheduling::VmMove& order);
    void queueMove(const model::VmId& vm);
    void retryMoves();
    void loadRecentOrders();
    /** Records the queued orders, then sends them: the next owner must know which VMs it has to wait for. */
    void sendOrders();
    /** @param fence Fencing token: the revision at which the order was recorded. */
    void send(const MoveOrder& order, ports::Term fence);
    void send(const MaintenanceOrder& order, ports::Term fence);
    void discardOrder(const MoveOrder& order);
    void discardOrder(const MaintenanceOrder& order);
    void onMoveOrderResult(const model::VmId& vm, ports::VmOrderResult result);
    void endMove(const model::VmId& vm);
    bool isInWave(const model::VmId& vm) const;
    /** Removes drains without a move or wave, left by a previous owner or by a failed removal. */
    void removeStaleDrains();
    void removeStaleDrains(const model::ServiceId& pool, const store::Listing& drains);
    /** Requests the drains of waves again, and ends the moves, whose requests are missing from the store. */
    void restoreLostDrains(const model::ServiceId& pool, const store::Listing& drains);
    /** Removes a drain if it is still the one of this revision: a late removal must not end the next one. */
    void removeDrain(const model::ServiceId& pool, const model::VmId& vm, store::Revision revision);
    bool isDraining(const model::VmId& vm) const;
    /** @return Whether a move or a wave drains the VM in this pool. */
    bool isDraining(const model::ServiceId& pool, const model::VmId& vm) const;
    /** @return Pools that may have drains. */
    std::set<model::ServiceId> poolsWithDrains() const;
    void loadWave(std::uint64_t number);
    void loadUnansweredOrders(std::uint64_t number, const std::vector<std::string>& done);
    void startWave(std::uint64_t number, const std::vector<std::string>& done,
        const std::vector<std::string>& unanswered);
    std::vector<std::string> decodeVms(std::uint64_t wave, const std::optional<store::Entry>& entry) const;
    void onVms(const std::vector<ports::VmFacts>& facts);
    /** @return Whether a VM of a move or a wave is being drained. */
    bool isAwaitingDrain() const;
    void readDrained();
    void onDrained(const store::Listing& listing);
    void updateStages(Wave& wave, const std::map<model::VmId, const ports::VmFacts*>& facts);
    /** @brief Logs the drains of a wave that have lasted too long, each once. */
    static void logOverdueDrains(Wave& wave);
    /** Ends the drains of a wave that have lasted too long: what their tasks wait for may need these VMs. */
    void returnUndrainedVms(Wave& wave);
    /** @return VMs of each pool that the other waves have out of service. */
    std::map<model::ServiceId, std::uint32_t> outOfServiceInOtherWaves(const Wave& wave) const;
    /** @return Whether another wave has the VM out of service. */
    bool isOutOfServiceInOtherWave(const Wave& wave, const model::VmId& vm) const;
    /** @return Whether the VM waits after a drain that was given up, or for another wave. */
    bool isDeferred(const Wave& wave, const model::VmId& name, const WaveVmState& vm) const;
    void advance(Wave& wave, const std::vector<ports::VmFacts>& facts);
    /** Drains a VM for its maintenance, or orders it at once if it runs no upstream. */
    void takeOutOfService(Wave& wave, const model::VmId& name, WaveVmState& vm);
    /** @return The record of the VMs of a wave with unanswered orders. */
    static store::Put unansweredOrdersOf(const Wave& wave);
    void requestDrain(Wave& wave, const model::VmId& name, WaveVmState& vm);
    void queueMaintenance(std::uint64_t number, const model::VmId& name);
    void onMaintenanceOrderResult(std::uint64_t number, const model::VmId& name, ports::VmOrderResult result);
    void recordProgress(Wave& wave, const model::VmId& name, const WaveVmState& vm);
    void writeStatus(Wave& wave, bool completed);
    /** Changes the store if this term still owns the fleet duty and the extra conditions hold. */
    void changeInTerm(std::vector<store::Put> puts, std::vector<std::string> removals,
        store::Callback<store::ChangeOutcome> callback,
        const std::vector<store::Condition>& extraConditions = {});
    /** @return Whether this term may order VMs. */
    bool mayOrder() const;
    /** @return Whether it may order this VM: no previous owner has ordered it within the gap. */
    bool mayOrder(const model::VmId& vm) const;
    /** @return Permission of an order that may wait for its connection. */
    ports::Permission permission();

    const FleetContext environment;
    const ports::Term term;
    kernel::Instant termStart {};
    std::vector<Order> queuedOrders {};
    /** @brief Times of the last orders to VMs; for orders of previous owners the begin of this term. */
    std::map<model::VmId, kernel::Instant> orderTimes {};
    /** @brief VMs that previous owners may have sent orders to within `orderGap` before this term. */
    std::set<model::VmId> orderedByPreviousOwners {};
    bool recentOrdersLoaded { false };
    std::map<std::uint64_t, Wave> waves {};
    std::set<model::ServiceId> poolsWithJobs {};
    std::set<model::ServiceId> sparePools {};
    /** @brief Pools of the last list of VMs. */
    std::set<model::ServiceId> listedPools {};
    std::map<model::VmId, Move> moves {};
    std::uint64_t plannedMoves { 0 };
    /** @brief Whether the last list of VMs could be read in full. */
    bool isListComplete { false };
    std::map<model::ServiceId, kernel::Instant> surplusSince {};
    std::map<model::ServiceId, Trend> trends {};
    /** @brief VMs of each pool beyond its need, by the last reports. */
    std::map<model::ServiceId, std::int64_t> surpluses {};
    /** @brief Upstreams without tasks or with tasks that end soon, by the last reports. */
    std::set<scheduling::UpstreamId> idleUpstreams {};
    /** @brief VMs whose move the platform rejected. */
    std::set<model::VmId> unmovable {};
    /** @brief Ends of the times in which pools that need VMs give none to waves, since a drain was given up.
     */
    std::map<model::ServiceId, kernel::Instant> drainPauses {};
    bool listingVms { false };
    bool readingReports { false };
    bool readingDrained { false };
    std::size_t vmCount { 0 };
    kernel::Instant lastListRequest {};
    kernel::Instant lastDrainCheck {};
    bool closed { false };
    kernel::Timer timer;
    kernel::Timer drainedTimer;
};

} // namespace wasabiroad::agent
