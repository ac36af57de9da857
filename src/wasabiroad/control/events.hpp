#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/manifest.hpp"
#include "wasabiroad/model/vm_state.hpp"

#include <map>
#include <memory>
#include <set>
#include <variant>

namespace wasabiroad::control {

/** @brief A manifest with its generation and digest, read from the platform or received from a peer. */
struct Configuration {
    const model::Generation generation {};
    const std::string digest {};
    /** @brief JSON text, kept so that peers can fetch it. */
    const std::string text {};
    const model::Manifest manifest;

    friend auto operator<=>(const Configuration&, const Configuration&) = default;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

/** @brief This daemon adopted a higher manifest generation. */
struct ConfigurationAdopted {
    const ConfigurationPointer configuration;

    friend bool operator==(const ConfigurationAdopted&, const ConfigurationAdopted&) = default;
};

/** @brief Current pool and state of a VM. */
struct Assignment {
    const model::PoolId pool;
    const model::VmState state { model::VmState::Serving };

    friend auto operator<=>(const Assignment&, const Assignment&) = default;
};

/** @brief Pools and states of VMs changed; VMs that are not listed are serving in their manifest pool. */
struct AssignmentsChanged {
    const std::map<model::VmId, Assignment> assignments;

    friend auto operator<=>(const AssignmentsChanged&, const AssignmentsChanged&) = default;
};

/** @brief The set of VMs that the platform's list marks as leaving changed. */
struct LeavingVmsChanged {
    const std::set<model::VmId> leaving;

    friend auto operator<=>(const LeavingVmsChanged&, const LeavingVmsChanged&) = default;
};

/** @brief The set of live entry VMs changed. */
struct MembershipChanged {
    /** @brief Live entry VMs of this daemon's availability zone, itself included; empty when it has no peers.
     */
    const std::vector<model::EntryId> zoneEntries {};
    /** @brief Number of live entry VMs in the site, that is in all availability zones, this one included. */
    const std::uint32_t entriesInSite { 1 };

    friend auto operator<=>(const MembershipChanged&, const MembershipChanged&) = default;
};

/** @brief An upstream announced in a response that it is leaving; published at most once until a snapshot
 * marks it as leaving.
 */
struct UpstreamLeaving {
    const model::VmId vm;

    friend auto operator<=>(const UpstreamLeaving&, const UpstreamLeaving&) = default;
};

/** @brief All traffic threads of this daemon use a snapshot. */
struct SnapshotInUse {
    const std::uint64_t sequence { 0 };

    friend auto operator<=>(const SnapshotInUse&, const SnapshotInUse&) = default;
};

/** @brief The daemon keeps a watch request open on the head, the key `config/head`. */
struct HoldWatch {
    friend auto operator<=>(const HoldWatch&, const HoldWatch&) = default;
};

/** @brief The daemon reads the head once per interval. */
struct PollHead {
    const kernel::Duration interval { 60000 };

    friend auto operator<=>(const PollHead&, const PollHead&) = default;
};

/** @brief How a daemon follows the head of the configuration in the platform. */
using HeadPolicy = std::variant<HoldWatch, PollHead>;

/** @brief The peer module changed whether this daemon watches or polls the head. */
struct HeadPolicyChanged {
    const HeadPolicy policy;

    friend auto operator<=>(const HeadPolicyChanged&, const HeadPolicyChanged&) = default;
};

} // namespace wasabiroad::control
