#pragma once

#include "wasabiroad/fleet/ledger.hpp"
#include "wasabiroad/lifecycle/vm_machine.hpp"

#include <variant>

namespace wasabiroad::fleet {

/** @brief Times and limits for drain, maintenance and return of a VM. */
struct ProgressRules {
    /** @brief Time after which every daemon that reads the ledger has stopped sending to a draining VM. */
    const kernel::Duration drainPropagation { 3000 };
    /** @brief Time for which a returned VM must answer every probe before it serves. */
    const kernel::Duration healthWait { 2000 };
    /** @brief A VM whose stop has not ended after this time in maintenance counts as failed. */
    const kernel::Duration stopTimeout { 1800000 };
    /** @brief Number of consecutive failed probes that counts as a failure of the VM. */
    const std::uint32_t failedProbes { 3 };

    friend auto operator<=>(const ProgressRules&, const ProgressRules&) = default;
};

/** @brief What a daemon observed of one VM. */
struct VmObservation {
    /** @brief Time since this daemon first observed the current state, on its own steady clock. */
    const kernel::Duration timeInState {};
    /** @brief Time for which the upstream has answered every probe; nothing when the last probe failed. */
    const std::optional<kernel::Duration> healthyFor {};
    const std::uint32_t failedProbes { 0 };
    /** @brief Running requests at the last probe; nothing until a probe after `drainPropagation`. */
    const std::optional<std::uint32_t> running {};
    /** @brief Number of the last stop that the platform lists; nothing when the list was not read. */
    const std::optional<std::uint64_t> platformStep {};
    /** @brief Whether the platform lists the stop as still in progress. */
    const bool rebooting { false };
    /** @brief Whether the wave that drained the VM was aborted. */
    const bool aborted { false };

    friend auto operator<=>(const VmObservation&, const VmObservation&) = default;
};

/** @brief Leave the VM as it is. */
struct NoAction {
    friend auto operator<=>(const NoAction&, const NoAction&) = default;
};

/** @brief Write a life-cycle event to the ledger. */
struct WriteEvent {
    const lifecycle::VmEvent event {};

    friend auto operator<=>(const WriteEvent&, const WriteEvent&) = default;
};

/** @brief Call the platform to stop the VM for maintenance. */
struct StopVm {
    /** @brief Ledger step number by which the platform recognises repeated calls and ignores them. */
    const std::uint64_t step { 0 };

    friend auto operator<=>(const StopVm&, const StopVm&) = default;
};

using VmAction = std::variant<NoAction, WriteEvent, StopVm>;

/**
 * @brief Decides the next action for a VM. Running work is never interrupted: a drain waits until it ends.
 */
VmAction nextAction(const VmRecord& record, const VmObservation& observation, const ProgressRules& rules);

} // namespace wasabiroad::fleet
