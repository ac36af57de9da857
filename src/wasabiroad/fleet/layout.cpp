#include "wasabiroad/fleet/layout.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

namespace wasabiroad::fleet {

namespace {

struct Remainder {
    std::uint64_t value;
    model::ZoneId zone;
};

std::map<model::ZoneId, std::uint32_t> poolSizes(const model::Manifest& manifest, const model::PoolId& pool)
{
    std::map<model::ZoneId, std::uint32_t> sizes;
    for (const auto& vm : manifest.vms) {
        sizes[vm.zone] += vm.pool == pool ? 1 : 0;
    }
    return sizes;
}

} // namespace

std::map<model::ZoneId, std::uint32_t> splitByLargestRemainder(
    std::uint32_t total, const std::map<model::ZoneId, std::uint32_t>& weights)
{
    const auto sum = std::accumulate(weights.begin(), weights.end(), std::uint64_t { 0 },
        [](std::uint64_t value, const auto& entry) { return value + entry.second; });
    std::map<model::ZoneId, std::uint32_t> parts;
    if (sum == 0) {
        return parts;
    }
    std::vector<Remainder> remainders;
    auto undistributed = total;
    for (const auto& [zone, weight] : weights) {
        const auto product = static_cast<std::uint64_t>(total) * weight;
        parts[zone] = static_cast<std::uint32_t>(product / sum);
        undistributed -= parts[zone];
        remainders.push_back({ product % sum, zone });
    }
    std::ranges::stable_sort(remainders, std::ranges::greater {}, &Remainder::value);
    for (std::uint32_t index = 0; index < undistributed; ++index) {
        ++parts[remainders[index].zone];
    }
    return parts;
}

Layout layoutOf(const model::Manifest& manifest, model::Generation generation, const model::ZoneId& zone)
{
    std::map<model::VmId, model::Vm> vms;
    for (const auto& vm : manifest.vms) {
        if (vm.zone == zone) {
            vms.emplace(vm.id, vm);
        }
    }
    std::map<model::ServiceId, ServiceBudget> services;
    for (const auto& service : manifest.services) {
        const auto shares
            = splitByLargestRemainder(service.maxUnavailable, poolSizes(manifest, service.pool));
        const auto share = shares.find(zone);
        services.emplace(service.id,
            ServiceBudget {
                service.pool, service.maxUnavailable, share == shares.end() ? 0 : share->second });
    }
    std::vector<model::ZoneId> zones;
    for (const auto& declared : manifest.zones) {
        zones.push_back(declared.id);
    }
    return { generation, zone, std::move(zones), std::move(vms), std::move(services) };
}

} // namespace wasabiroad::fleet
