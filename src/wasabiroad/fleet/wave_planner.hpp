#pragma once

#include "wasabiroad/fleet/step.hpp"
#include "wasabiroad/fleet/wave.hpp"

namespace wasabiroad::fleet {

/** @brief Why a pending VM of a wave is not drained now. */
enum class WaitReason : std::uint8_t {
    WaveNotRunning,
    /** @brief All slots are held, or the zone is not one of those to start in. */
    Parallel,
    /** @brief The zone's allowance is used up, or the wave already disrupts another rack of the pool. */
    Budget,
    /** @brief The VM is not in a state in which it can be drained. */
    NotServing,
    /** @brief The ledger of the zone is missing or follows another manifest generation. */
    NoLedger,
};

/** @return Name of the reason in the output for operators. */
std::string_view name(WaitReason reason);

/** @brief Drain the VM now. */
struct StartNow {
    friend auto operator<=>(const StartNow&, const StartNow&) = default;
};

/** @brief Leave the VM pending. */
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

/** @brief A manifest and its generation. */
struct VersionedManifest {
    const model::Manifest& manifest;
    const model::Generation generation {};
};

/**
 * @brief Decides which VMs of a wave are drained now, and why the others wait.
 *
 * Pools whose remaining VMs take longest under their budget come first, because they determine the end
 * of the wave; pools without a budget get the slots that are left.
 * @param zones Zones to start VMs in; empty selects all of them.
 * @return One choice for each pending VM without a slot, in descending priority.
 */
std::vector<WaveChoice> planWave(const VersionedManifest& versioned, const model::Wave& wave,
    const WaveProgress& progress, const Ledgers& ledgers, const std::set<model::ZoneId>& zones,
    kernel::Instant now);

/** @brief Number of VMs that waves still have to disrupt, by zone and pool. */
using PendingVms = std::map<model::ZoneId, std::map<model::PoolId, std::uint32_t>>;

/** @return Number of VMs that are neither done nor failed, for a running or paused wave; otherwise empty. */
PendingVms pendingVms(const model::Manifest& manifest, const model::Wave& wave, const WaveProgress& progress);

/**
 * @brief Decides the next step by which a zone accepts, closes, returns or grants a loan.
 *
 * A zone lends an unused share of a service in whose pool it has no pending VM. The borrower is the zone
 * whose pending VMs exceed its allowance by most.
 * @return The step, or nothing.
 */
std::optional<Step> nextLendingStep(const Layout& layout, const Ledgers& ledgers, const PendingVms& pending);

} // namespace wasabiroad::fleet
