#pragma once

#include "wasabiroad/fleet/ledger.hpp"
#include "wasabiroad/lifecycle/vm_machine.hpp"

#include <variant>

namespace wasabiroad::fleet {

/** @brief Times and counts that the progress of a VM depends on. */
struct ProgressRules {
    /** @brief Time after which every daemon that reads the ledger has stopped sending to a draining VM. */
    const kernel::Duration drainPropagation { 3000 };
    /** @brief Time that a returned VM must answer without a gap. */
    const kernel::Duration healthWait { 2000 };
    /** @brief Time after which a stop that has not ended counts as a failure. */
    const kernel::Duration longestStop { 1800000 };
    /** @brief Failed probes in a row that count as a failure of the VM. */
    const std::uint32_t failedProbes { 3 };

    friend auto operator<=>(const ProgressRules&, const ProgressRules&) = default;
};

/** @brief What a daemon observed of one VM. */
struct VmObservation {
    /** @brief Time since this daemon saw the current state first, on its own steady clock. */
    const kernel::Duration timeInState {};
    /** @brief Time for which the upstream has answered every probe; nothing when the last one failed. */
    const std::optional<kernel::Duration> healthyFor {};
    const std::uint32_t failedProbes { 0 };
    /** @brief Requests that the upstream was running at the last probe after `drainNotice`. */
    const std::optional<std::uint32_t> running {};
    /** @brief Highest stop that the platform lists for the VM; nothing when the list was not read. */
    const std::optional<std::uint64_t> platformStep {};
    const bool rebooting { false };
    /** @brief Whether the wave that drained the VM was aborted. */
    const bool aborted { false };

    friend auto operator<=>(const VmObservation&, const VmObservation&) = default;
};

/** @brief Nothing is to be done for the VM now. */
struct NoAction {
    friend auto operator<=>(const NoAction&, const NoAction&) = default;
};

/** @brief An event is to be written to the ledger. */
struct WriteEvent {
    const lifecycle::VmEvent event {};

    friend auto operator<=>(const WriteEvent&, const WriteEvent&) = default;
};

/** @brief The platform is to be told to stop the VM for maintenance. */
struct StopVm {
    /** @brief Step of the ledger that the platform uses to ignore repeated calls. */
    const std::uint64_t step { 0 };

    friend auto operator<=>(const StopVm&, const StopVm&) = default;
};

using VmAction = std::variant<NoAction, WriteEvent, StopVm>;

/**
 * @brief Decides what is done next for a VM. Running work is never cut off: a drain waits for its end.
 */
VmAction nextAction(const VmRecord& record, const VmObservation& observation, const ProgressRules& rules);

} // namespace wasabiroad::fleet
