#include "wasabiroad/scheduling/move_plan.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace wasabiroad::scheduling {

namespace {

/** Factor over the current demand, which may rise while a VM is being moved. */
constexpr double headroom = 1.15;

/** Weight of the demand of waiting tasks. Jobs have slack until their due time, of which a task takes about
 * this share, so fewer VMs are needed than if all tasks started at once. */
constexpr double waitingDemandFactor = 0.6;

/** Projected growth is limited to the current demand divided by this, as a step with many tasks looks like
 * steep growth. */
constexpr std::int64_t growthLimitDivisor = 2;

/** Extra VMs beyond the widest long-running step, for upstreams that fail or are in maintenance. */
constexpr std::uint32_t extraSpreadVms = 2;

/** Minimum size of a pool with jobs. */
constexpr std::uint32_t minVms = 3;

/** Time that a surplus must last before VMs return to the spare pool, as demand may rise again. */
constexpr kernel::Duration spareReturnDelay { 2000 };

/** Time that a surplus must last before VMs move to a pool that needs more. */
constexpr kernel::Duration transferDelay { 800 };

/** Time from the decision to move a VM until it accepts tasks in its new pool. */
constexpr kernel::Duration moveTime { 2500 };

/** A pool whose free room exceeds the cpu of its waiting tasks by this factor does not lack room. */
constexpr std::int64_t idleRoomFactor = 4;

struct Balance {
    const PoolView* view { nullptr };
    std::uint32_t needed { 0 };
    std::uint32_t available { 0 };
    /** Millicores of one VM. */
    std::int64_t vmCpu { 0 };
    std::vector<const MovableVm*> movable {};
};

double vmEquivalents(std::int64_t demand, std::int64_t vmCapacity)
{
    return vmCapacity > 0 ? static_cast<double>(demand) / static_cast<double>(vmCapacity) : 0;
}

Balance balanceOf(const PoolView& view, const std::vector<MovableVm>& vms)
{
    Balance balance { .view = &view };
    jobs::Resources const* capacity = nullptr;
    const auto& order = view.demand.releasable;
    std::map<UpstreamId, const MovableVm*> byUpstream;
    for (const auto& vm : vms) {
        if (vm.pool != view.pool || vm.leaving) {
            continue;
        }
        ++balance.available;
        capacity = &vm.capacity;
        if (!vm.busy && view.spare) {
            balance.movable.push_back(&vm);
        } else if (!vm.busy) {
            byUpstream[vm.upstream] = &vm;
        }
    }
    // VMs are taken from the end of the list, so the one whose tasks end first is last.
    for (auto id = order.rbegin(); id != order.rend(); ++id) {
        if (const auto found = byUpstream.find(*id); found != byUpstream.end()) {
            balance.movable.push_back(found->second);
        }
    }
    if (!view.spare && capacity != nullptr) {
        balance.vmCpu = capacity->cpu;
        balance.needed = vmsNeeded(view, *capacity);
    }
    return balance;
}

/**
 * A pool keeps its VMs while enough tasks wait to fill one, as some VMs may still be joining. If fewer tasks
 * wait, or much free room is left beside them, the cause is one that more VMs do not remove, such as a limit
 * of tasks per upstream, a label or a suspect upstream.
 */
bool mayReleaseVm(const Balance& balance)
{
    const auto& demand = balance.view->demand;
    const auto waiting = demand.wanted.cpu - demand.taken.cpu;
    const auto free = demand.room.cpu - demand.taken.cpu;
    return balance.view->spare
        || (balance.view->surplusDuration >= transferDelay
            && (waiting < balance.vmCpu || waiting * idleRoomFactor < free));
}

/** Takes one VM from the pool with the largest surplus; from the spare pool only if no other pool can give
 * one. */
const MovableVm* takeVm(std::vector<Balance>& balances, const model::ServiceId& to)
{
    Balance* best = nullptr;
    for (auto& balance : balances) {
        if (balance.view->pool == to || balance.movable.empty() || balance.available <= balance.needed
            || !mayReleaseVm(balance)) {
            continue;
        }
        const auto rank = [](const Balance& item) {
            return std::pair { !item.view->spare, item.available - item.needed };
        };
        if (best == nullptr || rank(balance) > rank(*best)) {
            best = &balance;
        }
    }
    if (best == nullptr) {
        return nullptr;
    }
    const auto* const vm = best->movable.back();
    best->movable.pop_back();
    --best->available;
    return vm;
}

} // namespace

std::uint32_t vmsNeeded(const PoolView& pool, const jobs::Resources& vm)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const auto& demand = pool.demand;
    const auto growth = std::min(demand.wanted.cpu / growthLimitDivisor,
        std::max<std::int64_t>(0, pool.cpuGrowth) * moveTime.milliseconds / millisecondsPerSecond);
    const auto needed = [](std::int64_t wanted, std::int64_t taken) {
        const auto waiting = std::max<std::int64_t>(0, wanted - taken);
        return wanted - waiting
            + static_cast<std::int64_t>(waitingDemandFactor * static_cast<double>(waiting));
    };
    const auto load = std::max({ vmEquivalents(needed(demand.wanted.cpu, demand.taken.cpu) + growth, vm.cpu),
        vmEquivalents(demand.arriving, vm.cpu),
        vmEquivalents(needed(demand.wanted.memory, demand.taken.memory), vm.memory),
        vmEquivalents(demand.wanted.accelerators, vm.accelerators) });
    const auto forLoad = static_cast<std::uint32_t>(std::ceil(load * headroom)) + 1;
    return std::max({ minVms, forLoad, demand.spread + extraSpreadVms });
}

std::vector<VmMove> planMoves(const std::vector<PoolView>& pools, const std::vector<MovableVm>& vms)
{
    std::vector<Balance> balances;
    balances.reserve(pools.size());
    for (const auto& view : pools) {
        balances.push_back(balanceOf(view, vms));
    }
    std::vector<VmMove> moves;
    const auto move = [&](const MovableVm& vm, const model::ServiceId& to) {
        moves.push_back({ vm.vm, vm.pool, to, vm.upstream });
    };
    std::vector<Balance*> inNeed;
    for (auto& balance : balances) {
        if (!balance.view->spare && balance.available < balance.needed) {
            inNeed.push_back(&balance);
        }
    }
    std::ranges::sort(
        inNeed, std::greater {}, [](const Balance* balance) { return balance->needed - balance->available; });
    for (auto* const balance : inNeed) {
        while (balance->available < balance->needed) {
            const auto* const vm = takeVm(balances, balance->view->pool);
            if (vm == nullptr) {
                break;
            }
            move(*vm, balance->view->pool);
            ++balance->available;
        }
    }
    const auto sparePool = std::ranges::find_if(pools, [](const auto& view) { return view.spare; });
    if (sparePool == pools.end()) {
        return moves;
    }
    for (auto& balance : balances) {
        if (!balance.view->spare && balance.available > balance.needed && !balance.movable.empty()
            && balance.view->surplusDuration >= spareReturnDelay) {
            const auto surplus
                = std::min<std::size_t>(balance.available - balance.needed, balance.movable.size());
            for (std::size_t index = 0; index < surplus; ++index) {
                move(*balance.movable[balance.movable.size() - 1 - index], sparePool->pool);
            }
        }
    }
    return moves;
}

} // namespace wasabiroad::scheduling
