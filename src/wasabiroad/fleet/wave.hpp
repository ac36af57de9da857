#pragma once

#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/model/manifest.hpp"

#include <optional>
#include <set>
#include <string_view>
#include <variant>

namespace wasabiroad::fleet {

/** @brief Phase of a maintenance wave. */
enum class WavePhase : std::uint8_t {
    Idle,
    Running,
    Paused,
    /** @brief Stopped by failures; an operator resumes or aborts it. */
    Stopped,
    Aborted,
    Finished,
};

/** @return Name of the phase as it is stored. */
std::string_view name(WavePhase phase);

/** @return The phase with a name, or nothing. */
std::optional<WavePhase> parsePhase(std::string_view text);

/** @brief Progress of a wave, stored under the key `wave/<name>`. */
struct WaveProgress {
    const model::WaveId wave {};
    /** @brief Number of the run; each start begins a new one. */
    const std::uint64_t run { 0 };
    const WavePhase phase { WavePhase::Idle };
    /** @brief VMs that hold one of the parallel places. */
    const std::set<model::VmId> active {};
    const std::set<model::VmId> done {};
    /** @brief VMs of the selected pools that failed during the run. */
    const std::set<model::VmId> failed {};
    /** @brief Failures that an operator accepted by resuming. */
    const std::uint64_t acceptedFailures { 0 };
    /** @brief Wall clock. */
    const kernel::Instant started {};
    const kernel::Instant changed {};

    friend auto operator<=>(const WaveProgress&, const WaveProgress&) = default;
};

/** @brief Begins a new run. */
struct StartWave {
    friend auto operator<=>(const StartWave&, const StartWave&) = default;
};

/** @brief Starts no further VM; those that are active finish. */
struct PauseWave {
    friend auto operator<=>(const PauseWave&, const PauseWave&) = default;
};

/** @brief Continues a paused wave, or a stopped one after its failures were accepted. */
struct ResumeWave {
    friend auto operator<=>(const ResumeWave&, const ResumeWave&) = default;
};

/** @brief Ends the run; VMs that are still draining serve again. */
struct AbortWave {
    friend auto operator<=>(const AbortWave&, const AbortWave&) = default;
};

/** @brief Gives a parallel place to a VM, before its ledger is changed. */
struct ClaimSlot {
    const model::VmId vm;

    friend auto operator<=>(const ClaimSlot&, const ClaimSlot&) = default;
};

/** @brief Frees the place of a VM; a maintained one counts as done, another one is pending again. */
struct ReleaseSlot {
    const model::VmId vm;
    const bool maintained { true };

    friend auto operator<=>(const ReleaseSlot&, const ReleaseSlot&) = default;
};

/** @brief Records the failure of a VM of a selected pool. */
struct RecordFailure {
    const model::VmId vm;

    friend auto operator<=>(const RecordFailure&, const RecordFailure&) = default;
};

using WaveCommand = std::variant<StartWave, PauseWave, ResumeWave, AbortWave>;
using WaveChange
    = std::variant<StartWave, PauseWave, ResumeWave, AbortWave, ClaimSlot, ReleaseSlot, RecordFailure>;

/**
 * @brief Makes one change of the progress of a wave.
 * @param progress Progress as read.
 * @param wave Declaration of the wave.
 * @param vms VMs that the wave selects.
 * @param change Change to make.
 * @param now Wall clock.
 * @return The new progress. Errors: TransitionNotAllowed, BudgetExhausted when no place is free, UnknownVm.
 */
kernel::Expected<WaveProgress> apply(const WaveProgress& progress, const model::Wave& wave,
    const std::set<model::VmId>& vms, const WaveChange& change, kernel::Instant now);

/** @return VMs that a wave selects. */
std::set<model::VmId> selectedVms(const model::Manifest& manifest, const model::Wave& wave);

/** @return Declaration of a wave. Errors: WaveNotFound. */
kernel::Expected<const model::Wave*> findWave(const model::Manifest& manifest, const model::WaveId& wave);

/** @return Name of a run, recorded in the ledger as the cause of its disruptions. */
std::string runName(const WaveProgress& progress);

} // namespace wasabiroad::fleet
