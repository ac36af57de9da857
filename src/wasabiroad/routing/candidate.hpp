#pragma once

#include <compare>
#include <cstdint>

namespace wasabiroad::routing {

/** @brief An upstream that could take a request now. */
struct Candidate {
    /** @brief Index into the upstreams of the snapshot. */
    const std::uint32_t upstream { 0 };
    /** @brief Requests of this daemon that the upstream is running. */
    const std::uint32_t outstanding { 0 };

    friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

} // namespace wasabiroad::routing
