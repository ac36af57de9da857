#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/identifier.hpp"

namespace wasabiroad::model {

/** @brief A caller's request, without its encoding and its body. */
struct Request {
    const RequestId id;
    const ServiceId service;
    const OperationId operation;
    const TeamId team {};
    /** @brief Arrival on the steady clock of the daemon. */
    const kernel::Instant arrival {};
    /** @brief Latest instant for the end of the answer, on the same clock. */
    const kernel::Instant deadline {};
    /** @brief Declared run time; 0 when the caller declared none. */
    const kernel::Duration declared {};
    /** @brief Whether the request may be run again. */
    const bool idempotent { false };

    friend auto operator<=>(const Request&, const Request&) = default;
};

} // namespace wasabiroad::model
