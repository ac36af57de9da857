#pragma once

#include "wasabiroad/fleet/step.hpp"
#include "wasabiroad/fleet/wave.hpp"

namespace wasabiroad::fleet {

/** @brief Why a VM of a wave is not started now. */
enum class WaitReason : std::uint8_t {
    WaveNotRunning,
    /** @brief All parallel places are held. */
    Parallel,
    /** @brief The zone's share of the budget, or its rack limit, is used up. */
    Budget,
    /** @brief The VM is out of service for another reason. */
    NotServing,
    /** @brief The ledger of the zone cannot be read, or does not follow the manifest yet. */
    NoLedger,
};

/** @return Name of the reason as it is shown to operators. */
std::string_view name(WaitReason reason);

/** @brief The VM is to be drained now. */
struct StartNow {
    friend auto operator<=>(const StartNow&, const StartNow&) = default;
};

/** @brief The VM waits. */
struct Wait {
    const WaitReason reason {};
    const std::string detail {};

    friend auto operator<=>(const Wait&, const Wait&) = default;
};

/** @brief Decision for one pending VM of a wave. */
struct WaveChoice {
    const model::VmId vm;
    const model::ZoneId zone;
    const std::variant<StartNow, Wait> decision;

    friend auto operator<=>(const WaveChoice&, const WaveChoice&) = default;
};

using Ledgers = std::map<model::ZoneId, Ledger>;

/** @brief A manifest with its generation. */
struct VersionedManifest {
    const model::Manifest& manifest;
    const model::Generation generation {};
};

/**
 * @brief Decides which VMs of a wave are drained now, and why the others wait.
 *
 * Pools whose remaining work takes longest under their budget come first, because they bound the end
 * of the wave; pools without a budget fill the places that are left.
 * @param zones Zones to start VMs in; empty selects all of them.
 * @return One choice for each pending VM, in the order of the plan.
 */
std::vector<WaveChoice> planWave(const VersionedManifest& plan, const model::Wave& wave,
    const WaveProgress& progress, const Ledgers& ledgers, const std::set<model::ZoneId>& zones,
    kernel::Instant now);

/** @brief VMs that waves still have to disrupt, by zone and pool. */
using PendingVms = std::map<model::ZoneId, std::map<model::PoolId, std::uint32_t>>;

/** @return VMs of a running wave that are neither done nor failed. */
PendingVms pendingVms(const model::Manifest& manifest, const model::Wave& wave, const WaveProgress& progress);

/**
 * @brief Decides the next step of a zone that takes, gives or returns a share.
 *
 * A zone lends an unused share of a pool in which it has nothing pending to the zone with the most
 * pending VMs over its allowance.
 * @return The step, or nothing.
 */
std::optional<Step> nextLendingStep(const Layout& layout, const Ledgers& ledgers, const PendingVms& pending);

} // namespace wasabiroad::fleet
