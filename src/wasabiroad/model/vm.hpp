#pragma once

#include "wasabiroad/model/identifier.hpp"

namespace wasabiroad::model {

/** @brief A VM as declared in the manifest; it never changes its availability zone. */
struct Vm {
    const VmId id;
    const ZoneId zone;
    const RackId rack;
    /** @brief Pool that the VM belongs to until the ledger says otherwise. */
    const PoolId pool;
    /** @brief IP address and port of the upstream that runs on the VM. */
    const std::string address {};
    const std::uint32_t cores { 0 };
    /** @brief Memory in GB. */
    const std::uint32_t memory { 0 };
    const std::uint32_t accelerators { 0 };
    /** @brief Requests that the upstream runs at once. */
    const std::uint32_t slots { 0 };
    /** @brief Connections that the upstream accepts from all entry VMs together. */
    const std::uint32_t connections { 0 };

    friend auto operator<=>(const Vm&, const Vm&) = default;
};

} // namespace wasabiroad::model
