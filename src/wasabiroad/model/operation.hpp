#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/identifier.hpp"

namespace wasabiroad::model {

/** @brief A kind of request that a service accepts. */
struct Operation {
    const OperationId id;
    /** @brief Time for the whole request when the caller names none. */
    const kernel::Duration deadline {};
    /** @brief Declared run time; a hint until run times have been observed. */
    const kernel::Duration declared {};
    /** @brief Whether running the request twice is harmless. */
    const bool idempotent { false };
    /** @brief Whether running work may be stopped when its caller has gone. */
    const bool stoppable { false };
    /** @brief Accelerators that the upstream's VM must have. */
    const std::uint32_t accelerators { 0 };
    /** @brief Memory in GB that the upstream's VM must have. */
    const std::uint32_t memory { 0 };

    friend auto operator<=>(const Operation&, const Operation&) = default;
};

} // namespace wasabiroad::model
