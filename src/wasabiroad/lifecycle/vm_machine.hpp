#pragma once

#include "wasabiroad/model/vm_state.hpp"

#include <optional>
#include <string_view>

namespace wasabiroad::lifecycle {

/** @brief Event in the life cycle of a VM. */
enum class VmEvent : unsigned char {
    DrainRequested,
    DrainCancelled,
    WorkFinished,
    MaintenanceStarted,
    MaintenanceFinished,
    PoolChanged,
    HealthConfirmed,
    FailureDetected,
    Repaired,
};

/** @return Name of the event in logs. */
std::string_view name(VmEvent event);

/**
 * @brief Applies one event to the state of a VM.
 * @param from Current state.
 * @param event Event to apply.
 * @return The next state, or nothing when the event is not allowed in this state.
 */
std::optional<model::VmState> next(model::VmState from, VmEvent event);

} // namespace wasabiroad::lifecycle
