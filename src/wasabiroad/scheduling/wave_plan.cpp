#include "wasabiroad/scheduling/wave_plan.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace wasabiroad::scheduling {

namespace {

/** One in this many VMs of a pool with jobs may be out of service for waves. */
constexpr std::uint32_t outOfServiceDivisor = 4;

struct PoolUsage {
    std::uint32_t outOfService { 0 };
    std::uint32_t limit { 0 };
    bool runsJobs { false };
    std::int64_t surplus { 0 };
};

} // namespace

std::vector<model::VmId> selectWaveVms(const std::vector<WaveVm>& vms, const std::vector<PoolSize>& pools,
    std::uint32_t parallelism, bool sparesShortPools)
{
    std::map<model::ServiceId, PoolUsage> usages;
    for (const auto& pool : pools) {
        const auto surplus = static_cast<std::uint32_t>(std::max<std::int64_t>(pool.surplus, 0));
        const auto limit = pool.runsJobs
            ? std::max({ 1U, surplus, (pool.vms + outOfServiceDivisor - 1) / outOfServiceDivisor })
            : parallelism;
        usages[pool.pool] = { pool.outOfService, limit, pool.runsJobs, pool.surplus };
    }
    std::uint32_t outOfService = 0;
    std::vector<const WaveVm*> waiting;
    for (const auto& vm : vms) {
        if (isOutOfService(vm.stage)) {
            ++outOfService;
            ++usages[vm.pool].outOfService;
        } else if (vm.stage == WaveStage::Waiting) {
            waiting.push_back(&vm);
        }
    }
    std::ranges::stable_sort(waiting, {}, [&](const WaveVm* vm) {
        const auto& usage = usages[vm->pool];
        return std::tuple { usage.runsJobs, !vm->idle, -usage.surplus };
    });
    std::vector<model::VmId> chosen;
    for (const auto* const vm : waiting) {
        auto& use = usages[vm->pool];
        if (sparesShortPools && use.runsJobs && !vm->idle && use.surplus < 0) {
            continue;
        }
        if (outOfService < parallelism && use.outOfService < std::max(1U, use.limit)) {
            ++outOfService;
            ++use.outOfService;
            chosen.push_back(vm->vm);
        }
    }
    return chosen;
}

} // namespace wasabiroad::scheduling
