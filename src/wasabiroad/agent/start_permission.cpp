#include "wasabiroad/agent/start_permission.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

namespace wasabiroad::agent {

StartPermission decideStarts(
    bool leaseValid, std::optional<kernel::Duration> viewAge, kernel::Duration viewAgeLimit)
{
    const bool viewOutdated = !viewAge || *viewAge > viewAgeLimit;
    if (leaseValid && !viewOutdated) {
        return StartsAllowed {};
    }
    return StartsHeld { !leaseValid, viewOutdated };
}

std::string_view reasonOf(const StartPermission& permission)
{
    return std::visit(
        kernel::Overloaded {
            [](const StartsAllowed&) -> std::string_view { return ""; },
            [](const StartsHeld& held) -> std::string_view {
                return !held.viewOutdated ? "lease" : held.leaseInvalid ? "lease-and-view" : "view";
            },
        },
        permission);
}

} // namespace wasabiroad::agent
