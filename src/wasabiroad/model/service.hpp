#pragma once

#include "wasabiroad/model/operation.hpp"

#include <vector>

namespace wasabiroad::model {

/** @brief How a service keeps a non-idempotent request from running twice. */
enum class AtMostOnce : std::uint8_t {
    /** @brief A ticket names the only daemon incarnation that may run the request. */
    Ticket,
    /** @brief A claim is created in the platform before the request runs. */
    Claim,
};

/** @brief A service and the pool that it runs on. */
struct Service {
    const ServiceId id;
    const PoolId pool;
    /** @brief Availability budget: VMs of the pool that may be out of service at once. */
    const std::uint32_t maxUnavailable { 0 };
    /** @brief Bound of the queue in one daemon. */
    const std::uint32_t queueBound { 0 };
    /** @brief Retries as a percentage of requests. */
    const std::uint32_t retryPercent { 0 };
    const AtMostOnce atMostOnce { AtMostOnce::Ticket };
    /** @brief Other pools whose idle VMs can run this service, in order of preference. */
    const std::vector<PoolId> borrowFrom {};
    const std::vector<Operation> operations {};

    friend auto operator<=>(const Service&, const Service&) = default;
};

} // namespace wasabiroad::model
