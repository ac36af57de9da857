#pragma once

#include "wasabiroad/model/policy.hpp"
#include "wasabiroad/model/service.hpp"
#include "wasabiroad/model/team.hpp"
#include "wasabiroad/model/vm.hpp"

#include <map>
#include <memory>

namespace wasabiroad::model {

/** @brief An upstream as the dispatcher of one daemon sees it. */
struct UpstreamView {
    const VmId vm;
    const std::string address {};
    const PoolId pool {};
    /** @brief Whether new requests may be placed. */
    const bool accepting { true };
    /** @brief Whether the VM is in the availability zone of the daemon. */
    const bool sameZone { true };
    /** @brief Slots that this daemon may use. */
    const std::uint32_t slots { 0 };
    /** @brief Connections that this daemon may open. */
    const std::uint32_t connections { 0 };
    /** @brief Memory of the VM in GB. */
    const std::uint32_t memory { 0 };
    const std::uint32_t accelerators { 0 };

    friend auto operator<=>(const UpstreamView&, const UpstreamView&) = default;
};

/** @brief A service with the upstreams that can run it. */
struct ServiceView {
    const Service service;
    /** @brief Indices into the upstreams of the snapshot: the service's own pool. */
    const std::vector<std::uint32_t> own {};
    /** @brief Indices of upstreams of pools that the service may borrow from. */
    const std::vector<std::uint32_t> borrowed {};

    friend auto operator<=>(const ServiceView&, const ServiceView&) = default;
};

/** @brief All that traffic threads need for decisions, assembled by the control thread. */
struct RoutingSnapshot {
    /** @brief Generation of the manifest. */
    const Generation generation {};
    /** @brief Number of the snapshot in this daemon; decisions name it in the log. */
    const std::uint64_t sequence { 0 };
    const std::vector<UpstreamView> upstreams {};
    const std::map<ServiceId, ServiceView> services {};
    const std::map<TeamId, Team> teams {};
    /** @brief Live entry VMs that share the site's quotas, this one included. */
    const std::uint32_t entries { 1 };
    const Policies policies {};

    friend auto operator<=>(const RoutingSnapshot&, const RoutingSnapshot&) = default;
};

using RoutingSnapshotPointer = std::shared_ptr<const RoutingSnapshot>;

} // namespace wasabiroad::model
