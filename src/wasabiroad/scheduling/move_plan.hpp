#pragma once

#include "wasabiroad/scheduling/event.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace wasabiroad::scheduling {

/** @brief What a pool needs now, as its owner reports it. */
struct PoolDemand {
    /** @brief Resources of all tasks that run or could run now. */
    const jobs::Resources wanted {};
    /** @brief Resources of the upstreams that may get tasks, and what is taken of them. */
    const jobs::Resources room {};
    const jobs::Resources taken {};
    /** @brief Upstreams that the widest long-running step needs, so that its tasks are spread as asked. */
    const std::uint32_t spread { 0 };
    /** @brief Upstreams that run out of tasks soon, the first of them first. */
    const std::vector<UpstreamId> releasable {};
    /** @brief Thousandths of a core that keep up with the work that arrives and with long-running tasks. */
    const std::int64_t arriving { 0 };

    friend bool operator==(const PoolDemand&, const PoolDemand&) = default;
};

/** @brief A VM that could change its pool. */
struct MovableVm {
    const model::VmId vm {};
    const model::ServiceId pool {};
    const UpstreamId upstream {};
    const jobs::Resources capacity {};
    /** @brief It is on its way to its pool, or is being taken from it. */
    const bool busy { false };
    /** @brief It is emptied for maintenance, so its pool has to do without it. */
    const bool leaving { false };

    friend bool operator==(const MovableVm&, const MovableVm&) = default;
};

/** @brief A pool as the mover sees it. */
struct PoolView {
    const model::ServiceId pool {};
    /** @brief Its VMs are a reserve that is switched off. */
    const bool spare { false };
    const PoolDemand demand {};
    /** @brief Growth of the cpu that its tasks need, in thousandths of a core a second. */
    const std::int64_t cpuGrowth { 0 };
    /** @brief For how long the pool has had more VMs than it needs. */
    const kernel::Duration surplusDuration {};

    friend bool operator==(const PoolView&, const PoolView&) = default;
};

/** @brief A VM that changes its pool. */
struct VmMove {
    const model::VmId vm {};
    const model::ServiceId from {};
    const model::ServiceId to {};
    const UpstreamId upstream {};

    friend auto operator<=>(const VmMove&, const VmMove&) = default;
};

/**
 * @brief Computes how many VMs a pool needs by the time that a VM takes to change its pool.
 * @param pool The pool, with the growth of its load.
 * @param vm Capacity of one VM.
 */
std::uint32_t vmsNeeded(const PoolView& pool, const jobs::Resources& vm);

/**
 * @brief Chooses VMs that change their pool, for load that rises and falls by turns over the pools.
 *
 * A pool that needs more takes VMs of pools that need fewer, then of the reserve. A pool that has had too
 * many for a while gives one back to the reserve, where a VM costs nothing.
 */
std::vector<VmMove> planMoves(const std::vector<PoolView>& pools, const std::vector<MovableVm>& vms);

} // namespace wasabiroad::scheduling
