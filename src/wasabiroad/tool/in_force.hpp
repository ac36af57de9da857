#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <string>
#include <vector>

namespace wasabiroad::tool {

/** @brief Daemons that run a generation, and those that do not or cannot be reached. */
struct InForce {
    const std::vector<std::string> reached {};
    const std::vector<std::string> missing {};

    friend auto operator<=>(const InForce&, const InForce&) = default;
};

/**
 * @brief Waits until the given daemons run at least a generation.
 * @param daemons Addresses of their operators' listeners.
 * @param timeout Time after which daemons that do not run it count as missing.
 */
InForce waitUntilInForce(
    const std::vector<std::string>& daemons, model::Generation generation, kernel::Duration timeout);

} // namespace wasabiroad::tool
