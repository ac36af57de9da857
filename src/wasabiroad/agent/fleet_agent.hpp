#pragma once

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
#include <variant>
#include <vector>

namespace wasabiroad::agent {

/** @brief What the owner of the fleet duty needs from its daemon. */
struct FleetContext {
    boost::asio::io_context& context;
    const std::shared_ptr<const store::Store> store;
    const std::shared_ptr<const ports::Fleet> fleet;
    /** @brief Two daemons must not give orders to one VM within this time. */
    const kernel::Duration orderGap;
    /** @brief Whether the daemon surely holds its duties. */
    const std::function<bool()> holdsDuties;
    /** @brief Age at most of a view that shows all changes up to a revision; nothing when it is not known. */
    const std::function<std::optional<kernel::Duration>(store::Revision)> ageOf;
};

/**
 * @brief Carries out maintenance waves for one term.
 *
 * A VM whose pool runs jobs is drained first: a key asks the owner of the pool to empty its upstream, another
 * one says that it is empty. What was done is kept in the store, so the next owner goes on from there. VMs
 * that get an order are recorded before it is sent, so that the next owner waits with these VMs only.
 */
class FleetAgent : public std::enable_shared_from_this<FleetAgent> {
public:
    FleetAgent(FleetContext context, ports::Term term);

    void start();

    /** @brief Sets the waves that the operator asks for. */
    void setWaves(const std::map<std::uint64_t, ports::WaveRequest>& requests);

    /** @brief Sets the pools that run jobs, and those whose VMs are a reserve. */
    void setPools(std::set<model::ServiceId> withJobs, std::set<model::ServiceId> spare);

    void close();

private:
    struct Vm {
        scheduling::WaveStage stage { scheduling::WaveStage::Waiting };
        /** @brief The upstream that is drained, or that ran before the maintenance. */
        scheduling::UpstreamId upstream {};
        model::ServiceId pool {};
        /** @brief Revision of the drain; an older note that the upstream is empty is a former owner's. */
        std::optional<store::Revision> drained {};
        kernel::Instant since {};
        bool ordering { false };
        /** @brief The last list showed it in maintenance, by a former owner's order or by another wave's. */
        bool seenInMaintenance { false };
        /** @brief Lists in a row that did not name the VM. */
        std::uint32_t missing { 0 };
    };

    struct Wave {
        ports::WaveRequest request;
        std::map<model::VmId, Vm> vms {};
        bool loaded { false };
        bool loading { false };
        bool announced { false };
        bool completed { false };
        bool writing { false };
    };

    struct Move {
        scheduling::VmMove order;
        /** @brief Revision of the drain, as for waves. */
        std::optional<store::Revision> drained {};
        kernel::Instant since {};
        bool ordering { false };
        /** @brief The platform has accepted it; the VM is on its way. */
        bool accepted { false };
    };

    /** @brief A decided order to move a VM to another pool. */
    struct MoveOrder {
        model::VmId vm;
    };

    /** @brief A decided order to maintain a VM. */
    struct MaintenanceOrder {
        std::uint64_t wave { 0 };
        model::VmId vm;
    };

    using Order = std::variant<MoveOrder, MaintenanceOrder>;

    /** @brief Growth of the load of a pool. */
    struct Trend {
        void observe(kernel::Instant now, std::int64_t cpu);

        kernel::Instant at {};
        std::int64_t cpu { 0 };
        std::int64_t growth { 0 };
    };

    void tick();
    void readReports(const std::vector<ports::VmFacts>& facts);
    void planMoves(const std::vector<ports::VmFacts>& facts, const store::Listing& reports);
    std::vector<scheduling::PoolView> viewPools(
        const store::Listing& reports, const std::vector<scheduling::MovableVm>& vms);
    std::vector<scheduling::MovableVm> movableVms(const std::vector<ports::VmFacts>& facts) const;
    void updateMoves(const std::map<model::VmId, const ports::VmFacts*>& facts);
    void beginMove(const scheduling::VmMove& order);
    void decideMove(const model::VmId& vm);
    void repeatMoves();
    void loadRecentOrders();
    /** Records the decided orders, then sends them; the next owner must not order these VMs at once. */
    void sendOrders();
    void send(const MoveOrder& order);
    void send(const MaintenanceOrder& order);
    void drop(const MoveOrder& order);
    void drop(const MaintenanceOrder& order);
    void onMoved(const model::VmId& vm, ports::VmOrderResult result);
    void endMove(const model::VmId& vm);
    bool isInWave(const model::VmId& vm) const;
    /** Removes drains that nobody carries on: a former owner's, and those whose removal failed. */
    void removeStaleDrains();
    void removeStaleDrains(const model::ServiceId& pool, const store::Listing& drains);
    void removeDrain(const model::ServiceId& pool, const model::VmId& vm);
    bool isDraining(const model::VmId& vm) const;
    void load(std::uint64_t number);
    void onVms(const std::vector<ports::VmFacts>& facts);
    void onEmptied(const store::Listing& listing);
    void updateStages(Wave& wave, const std::map<model::VmId, const ports::VmFacts*>& facts);
    void advance(Wave& wave, const std::vector<ports::VmFacts>& facts);
    void requestDrain(Wave& wave, const model::VmId& name, Vm& vm);
    void decideMaintenance(std::uint64_t number, const model::VmId& name);
    void onMaintained(std::uint64_t number, const model::VmId& name, ports::VmOrderResult result);
    void recordDone(Wave& wave, const model::VmId& name, const Vm& vm);
    void writeStatus(Wave& wave, bool completed);
    /** Changes the store on the condition that this term is still the owner's, and on further ones. */
    void change(std::vector<store::Put> puts, std::vector<std::string> removals,
        store::Callback<store::ChangeOutcome> callback, const std::vector<store::Condition>& further = {});
    bool mayOrder() const;
    /** Whether the VM may get orders: none came from a former owner within the gap. */
    bool mayOrder(const model::VmId& vm) const;

    const FleetContext environment;
    const ports::Term term;
    kernel::Instant begun {};
    std::vector<Order> decided {};
    /** @brief When VMs got orders; those of former owners count from the begin of this term. */
    std::map<model::VmId, kernel::Instant> ordered {};
    /** @brief VMs that former owners gave orders to, within the gap before this term. */
    std::set<model::VmId> orderedBefore {};
    bool recentOrdersLoaded { false };
    std::map<std::uint64_t, Wave> waves {};
    std::set<model::ServiceId> poolsWithJobs {};
    std::set<model::ServiceId> sparePools {};
    std::map<model::VmId, Move> moves {};
    std::map<model::ServiceId, kernel::Instant> surplusSince {};
    std::map<model::ServiceId, Trend> trends {};
    /** @brief VMs that the platform did not let change their pool. */
    std::set<model::VmId> unmovable {};
    bool listing { false };
    bool readingReports { false };
    bool readingEmptied { false };
    std::size_t vmCount { 0 };
    kernel::Instant listRequested {};
    kernel::Instant drainsChecked {};
    bool closed { false };
    kernel::Timer timer;
};

} // namespace wasabiroad::agent
