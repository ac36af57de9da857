#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <compare>
#include <cstdint>

namespace wasabiroad::admission {

/** @brief Attributes of a request that the dispatcher keeps, with indices in place of names. */
struct RequestAttributes {
    const std::uint32_t service { 0 };
    const std::uint32_t operation { 0 };
    const std::uint32_t team { 0 };
    const bool idempotent { false };
    const kernel::Instant deadline {};
    const kernel::Duration declaredRunTime {};

    friend auto operator<=>(const RequestAttributes&, const RequestAttributes&) = default;
};

} // namespace wasabiroad::admission
