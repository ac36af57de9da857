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
    /** @brief Stopped after too many failures, until an operator resumes or aborts the wave. */
    Stopped,
    Aborted,
    Finished,
};

/** @return Name of the phase in the stored document. */
std::string_view name(WavePhase phase);

/** @return The phase with the given name, or nothing. */
std::optional<WavePhase> parsePhase(std::string_view text);

/** @brief State of a maintenance wave, stored under the key `wave/<name>`. */
struct WaveProgress {
    const model::WaveId wave {};
    /** @brief Run number, incremented by each start. */
    const std::uint64_t run { 0 };
    const WavePhase phase { WavePhase::Idle };
    /** @brief VMs that hold a slot; the wave declares how many slots there are. */
    const std::set<model::VmId> active {};
    const std::set<model::VmId> done {};
    /** @brief VMs of the selected pools that failed during the run. */
    const std::set<model::VmId> failed {};
    /** @brief Number of failures that an operator accepted by resuming the stopped wave. */
    const std::uint64_t acceptedFailures { 0 };
    /** @brief Wall-clock time of the start of the run. */
    const kernel::Instant started {};
    /** @brief Wall-clock time of the last change. */
    const kernel::Instant changed {};

    friend auto operator<=>(const WaveProgress&, const WaveProgress&) = default;
};

/** @brief Starts a new run. */
struct StartWave {
    friend auto operator<=>(const StartWave&, const StartWave&) = default;
};

/** @brief Pauses the run: active VMs finish, and no further ones start. */
struct PauseWave {
    friend auto operator<=>(const PauseWave&, const PauseWave&) = default;
};

/** @brief Continues a paused wave, or a stopped one by accepting its failures. */
struct ResumeWave {
    friend auto operator<=>(const ResumeWave&, const ResumeWave&) = default;
};

/** @brief Ends the run; VMs that are not yet in maintenance return to service. */
struct AbortWave {
    friend auto operator<=>(const AbortWave&, const AbortWave&) = default;
};

/** @brief Assigns a slot to a VM, before its ledger is changed. */
struct ClaimSlot {
    const model::VmId vm;

    friend auto operator<=>(const ClaimSlot&, const ClaimSlot&) = default;
};

/** @brief Frees the slot of a VM. A maintained VM is done; any other is pending again. */
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
 * @brief Applies one change to the progress of a wave.
 * @param progress Progress as read.
 * @param wave Declaration of the wave.
 * @param vms VMs that the wave selects.
 * @param change Change to apply.
 * @param now Wall-clock time.
 * @return The new progress. Errors: TransitionNotAllowed, BudgetExhausted when no slot is free, UnknownVm.
 */
kernel::Expected<WaveProgress> apply(const WaveProgress& progress, const model::Wave& wave,
    const std::set<model::VmId>& vms, const WaveChange& change, kernel::Instant now);

/** @return VMs that a wave selects. */
std::set<model::VmId> selectedVms(const model::Manifest& manifest, const model::Wave& wave);

/** @return Declaration of a wave. Errors: WaveNotFound. */
kernel::Expected<const model::Wave*> findWave(const model::Manifest& manifest, const model::WaveId& wave);

/** @return Name of the run, which ledgers record as the cause of its disruptions. */
std::string runName(const WaveProgress& progress);

} // namespace wasabiroad::fleet
