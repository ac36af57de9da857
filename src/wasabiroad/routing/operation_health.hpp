#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace wasabiroad::routing {

/** @brief Health of one operation of one service, from its outcomes on different upstreams. */
class OperationHealth {
public:
    /** @brief Records a success on any upstream; it ends a suspension. */
    void recordSuccess();

    /**
     * @brief Records a failure.
     * @param upstream Upstream that ran the attempt.
     * @return Whether the operation is to blame, and not the upstream: it has failed on several
     * upstreams without a success anywhere.
     */
    bool recordFailure(std::uint32_t upstream, kernel::Instant now);

    /** @return Upstreams that the operation failed on without a success anywhere since. */
    const std::vector<std::uint32_t>& failedUpstreams() const { return this->upstreams; }

    /** @return The first of these failures; a later success on one of these upstreams is of another
     * operation. */
    std::optional<kernel::Instant> failingSince() const { return this->firstFailure; }

    /** @brief Suspends the operation, each time for twice as long, unless it is suspended already. */
    void suspend(kernel::Instant now);

    /** @return Whether a request must be refused; after the suspension one at a time is let through. */
    bool refuses(kernel::Instant now, std::uint32_t running) const
    {
        return this->suspendedUntil && (now < *this->suspendedUntil || running > 0);
    }

    /** @return Whether a suspension has not been ended by a success. */
    bool suspended() const { return this->suspendedUntil.has_value(); }

    /** @return Time until the next request may be let through. */
    kernel::Duration remaining(kernel::Instant now) const;

private:
    std::vector<std::uint32_t> upstreams {};
    std::optional<kernel::Instant> firstFailure {};
    std::optional<kernel::Instant> suspendedUntil {};
    std::uint32_t suspensions { 0 };
};

/** @brief Different upstreams that an operation must fail on before it is blamed. */
inline constexpr std::size_t minFailedUpstreams = 3;

} // namespace wasabiroad::routing
