#pragma once

#include <cstdint>
#include <string_view>

namespace wasabiroad::model {

/** @brief State in the life cycle of a VM. */
enum class VmState : std::uint8_t {
    Serving,
    Draining,
    Drained,
    InMaintenance,
    Returning,
    Failed,
};

/** @return Name of the state as it is written in the ledger and in logs. */
constexpr std::string_view name(VmState state)
{
    switch (state) {
    case VmState::Serving:
        return "serving";
    case VmState::Draining:
        return "draining";
    case VmState::Drained:
        return "drained";
    case VmState::InMaintenance:
        return "in-maintenance";
    case VmState::Returning:
        return "returning";
    case VmState::Failed:
        return "failed";
    }
    return "unlisted";
}

/** @return Whether a VM in this state may be given new requests. */
constexpr bool acceptsWork(VmState state) { return state == VmState::Serving; }

} // namespace wasabiroad::model
