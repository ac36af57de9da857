#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <cstdint>
#include <vector>

namespace wasabiroad::scheduling {

/** @brief Stage of a VM in a maintenance wave. */
enum class WaveStage : unsigned char {
    /** @brief Up; its maintenance has not started. */
    Waiting,
    /** @brief Up; its upstream is being drained. */
    Draining,
    /** @brief Down for maintenance in this wave. */
    InMaintenance,
    /** @brief Down for another reason, or not to be selected for now. */
    Unavailable,
    Done,
};

/** @return Whether a VM of this stage is withheld from its pool. */
constexpr bool isOutOfService(WaveStage stage)
{
    return stage == WaveStage::Draining || stage == WaveStage::InMaintenance;
}

/** @brief A VM in a maintenance wave. */
struct WaveVm {
    const model::VmId vm {};
    const model::ServiceId pool {};
    const WaveStage stage { WaveStage::Waiting };
    /** @brief Its upstream runs no task, or only tasks that end soon. */
    const bool idle { false };

    friend auto operator<=>(const WaveVm&, const WaveVm&) = default;
};

/** @brief Size of a pool. */
struct PoolSize {
    const model::ServiceId pool {};
    /** @brief Number of its VMs, without those that move to another pool. */
    const std::uint32_t vms { 0 };
    const bool runsJobs { false };
    /** @brief VMs that it has beyond its need; negative if it needs more. */
    const std::int64_t surplus { 0 };
    /** @brief Number of its VMs that other waves have out of service. */
    const std::uint32_t outOfService { 0 };

    friend auto operator<=>(const PoolSize&, const PoolSize&) = default;
};

/**
 * @brief Selects the VMs to take out of service next.
 *
 * VMs of pools without jobs come first, since they usually run no upstream, then idle VMs, then those of the
 * pools with the largest surplus. At most the surplus of a pool with jobs or a quarter of it, whichever is
 * more, but at least one VM, is out of service for all waves at once, so that its tasks fit on the other VMs.
 * @param vms VMs of the wave.
 * @param pools Sizes of the pools.
 * @param parallelism Maximum number of VMs of the wave out of service at once.
 * @param sparesShortPools Whether pools that need more VMs give none that run tasks.
 * @return VMs to drain or take down now, in order.
 */
std::vector<model::VmId> selectWaveVms(const std::vector<WaveVm>& vms, const std::vector<PoolSize>& pools,
    std::uint32_t parallelism, bool sparesShortPools = false);

} // namespace wasabiroad::scheduling
