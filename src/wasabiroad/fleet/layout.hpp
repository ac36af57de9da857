#pragma once

#include "wasabiroad/model/manifest.hpp"

#include <map>

namespace wasabiroad::fleet {

/** @brief Availability budget of a service and the share of one zone. */
struct ServiceBudget {
    const model::PoolId pool;
    /** @brief VMs of the pool that may be out of service in the whole site. */
    const std::uint32_t maxUnavailable { 0 };
    /** @brief Part of the budget that is assigned to the zone. */
    const std::uint32_t share { 0 };

    friend auto operator<=>(const ServiceBudget&, const ServiceBudget&) = default;
};

/** @brief VMs and budgets that one manifest generation declares for an availability zone. */
struct Layout {
    const model::Generation generation {};
    const model::ZoneId zone;
    /** @brief All zones of the site. */
    const std::vector<model::ZoneId> zones {};
    const std::map<model::VmId, model::Vm> vms {};
    const std::map<model::ServiceId, ServiceBudget> services {};

    friend auto operator<=>(const Layout&, const Layout&) = default;
};

/**
 * @brief Splits a number by the largest remainder method.
 * @param total Number to split.
 * @param weights Weight of each zone. Equal remainders are resolved in the order of the zones.
 * @return Parts with the sum `total`; empty when all weights are 0.
 */
std::map<model::ZoneId, std::uint32_t> splitByLargestRemainder(
    std::uint32_t total, const std::map<model::ZoneId, std::uint32_t>& weights);

/** @brief Derives the layout of a zone. Daemons with the same manifest derive the same shares. */
Layout layoutOf(const model::Manifest& manifest, model::Generation generation, const model::ZoneId& zone);

} // namespace wasabiroad::fleet
