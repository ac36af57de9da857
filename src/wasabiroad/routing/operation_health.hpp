#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace wasabiroad::routing {

/** @brief Health of one operation of one service, derived from its outcomes on different upstreams. */
class OperationHealth {
public:
    /** @brief Records a success on any upstream, which ends a suspension. */
    void recordSuccess();

    /**
     * @brief Records a failure.
     * @param upstream Upstream that ran the attempt.
     * @return Whether the failure is attributed to the operation instead of the upstream, because the
     * operation has failed on `minFailedUpstreams` upstreams or more without a success on any.
     */
    bool recordFailure(std::uint32_t upstream, kernel::Instant now);

    /** @return Upstreams on which the operation has failed since its last success on any upstream. */
    const std::vector<std::uint32_t>& failedUpstreams() const { return this->upstreams; }

    /** @return Instant of the first of these failures. Later successes on these upstreams are of other
     * operations. */
    std::optional<kernel::Instant> failingSince() const { return this->firstFailure; }

    /** @brief Suspends the operation unless it is suspended already; the duration doubles up to a maximum. */
    void suspend(kernel::Instant now);

    /**
     * @return Whether a request must be refused. After the suspension one request at a time is allowed, until
     * one succeeds.
     * @param running Running requests of the operation.
     */
    bool refuses(kernel::Instant now, std::uint32_t running) const
    {
        return this->suspendedUntil && (now < *this->suspendedUntil || running > 0);
    }

    /** @return Whether the operation was suspended and has not succeeded since. */
    bool suspended() const { return this->suspendedUntil.has_value(); }

    /** @return Remaining time of the suspension. */
    kernel::Duration remaining(kernel::Instant now) const;

private:
    std::vector<std::uint32_t> upstreams {};
    std::optional<kernel::Instant> firstFailure {};
    std::optional<kernel::Instant> suspendedUntil {};
    std::uint32_t suspensions { 0 };
};

/** @brief Number of upstreams on which an operation must fail before failures are attributed to it. */
inline constexpr std::size_t minFailedUpstreams = 3;

} // namespace wasabiroad::routing
