#pragma once

#include "wasabiroad/scheduling/event.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace wasabiroad::scheduling {

/** @brief Current demand of a pool, as reported by its owner. */
struct PoolDemand {
    /** @brief Resources of all running tasks and of tasks that are ready to run. */
    const jobs::Resources wanted {};
    /** @brief Total resources of the schedulable upstreams, and the part in use. */
    const jobs::Resources room {};
    const jobs::Resources taken {};
    /** @brief Upstreams that the widest long-running step needs to keep its limit of tasks per upstream. */
    const std::uint32_t spread { 0 };
    /** @brief Upstreams whose tasks end soon, in order of the expected time. */
    const std::vector<UpstreamId> releasable {};
    /** @brief Millicores required to keep up with arriving work and to run long-running tasks. */
    const std::int64_t arriving { 0 };

    friend bool operator==(const PoolDemand&, const PoolDemand&) = default;
};

/** @brief A VM that may be moved to another pool. */
struct MovableVm {
    const model::VmId vm {};
    const model::ServiceId pool {};
    const UpstreamId upstream {};
    const jobs::Resources capacity {};
    /** @brief It is joining or leaving its pool. */
    const bool busy { false };
    /** @brief It is drained for maintenance and does not count towards the size of its pool. */
    const bool leaving { false };

    friend bool operator==(const MovableVm&, const MovableVm&) = default;
};

/** @brief Input of planMoves() for one pool. */
struct PoolView {
    const model::ServiceId pool {};
    /** @brief The pool is the spare pool, whose VMs are switched off. */
    const bool spare { false };
    const PoolDemand demand {};
    /** @brief Growth of the cpu that its tasks need, in millicores per second. */
    const std::int64_t cpuGrowth { 0 };
    /** @brief Time for which the pool has had more VMs than it needs. */
    const kernel::Duration surplusDuration {};

    friend bool operator==(const PoolView&, const PoolView&) = default;
};

/** @brief Move of a VM to another pool. */
struct VmMove {
    const model::VmId vm {};
    const model::ServiceId from {};
    const model::ServiceId to {};
    const UpstreamId upstream {};

    friend auto operator<=>(const VmMove&, const VmMove&) = default;
};

/**
 * @brief Computes how many VMs a pool will need by the time that a move started now is finished.
 * @param pool The pool, with the growth of its load.
 * @param vm Capacity of one VM.
 */
std::uint32_t vmsNeeded(const PoolView& pool, const jobs::Resources& vm);

/**
 * @brief Plans moves of VMs between pools whose loads peak at different times.
 *
 * A pool that needs more VMs gets them from pools with a surplus, then from the spare pool. VMs of a surplus
 * that lasts are returned to the spare pool, where a VM costs nothing.
 */
std::vector<VmMove> planMoves(const std::vector<PoolView>& pools, const std::vector<MovableVm>& vms);

} // namespace wasabiroad::scheduling
