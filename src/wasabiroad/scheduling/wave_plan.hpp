#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <cstdint>
#include <vector>

namespace wasabiroad::scheduling {

/** @brief Where a VM of a wave stands. */
enum class WaveStage : unsigned char {
    /** @brief Up; its maintenance has not begun. */
    Waiting,
    /** @brief Up; its upstream is being emptied. */
    Draining,
    /** @brief Down for its maintenance of this wave. */
    InMaintenance,
    /** @brief Not up for another reason. */
    Unavailable,
    Done,
};

/** @brief A VM of a wave. */
struct WaveVm {
    const model::VmId vm {};
    const model::ServiceId pool {};
    const WaveStage stage { WaveStage::Waiting };

    friend auto operator<=>(const WaveVm&, const WaveVm&) = default;
};

/** @brief Number of VMs of a pool that are up, and whether tasks run there. */
struct PoolSize {
    const model::ServiceId pool {};
    const std::uint32_t vms { 0 };
    const bool runsJobs { false };

    friend auto operator<=>(const PoolSize&, const PoolSize&) = default;
};

/**
 * @brief Chooses the VMs that leave service next.
 *
 * VMs of pools without jobs go first, since nothing has to be drained there. Of a pool with jobs at most a
 * quarter is out of service for the wave at once, so that its tasks find room elsewhere.
 * @param vms VMs of the wave.
 * @param pools Sizes of the pools.
 * @param parallelism Most VMs of the wave that may be out of service at once.
 * @return VMs to drain or to take down now, in order.
 */
std::vector<model::VmId> selectWaveVms(
    const std::vector<WaveVm>& vms, const std::vector<PoolSize>& pools, std::uint32_t parallelism);

} // namespace wasabiroad::scheduling
