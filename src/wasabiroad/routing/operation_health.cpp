#include "wasabiroad/routing/operation_health.hpp"

#include <algorithm>

namespace wasabiroad::routing {

namespace {

constexpr kernel::Duration initialSuspension { 5000 };
constexpr std::uint32_t maxDoublings = 4;

/** Bounds the list for an operation that fails everywhere; a decision needs only a few entries. */
constexpr std::size_t maxTrackedUpstreams = 16;

} // namespace

void OperationHealth::recordSuccess()
{
    this->upstreams.clear();
    this->firstFailure.reset();
    this->suspendedUntil.reset();
    this->suspensions = 0;
}

bool OperationHealth::recordFailure(std::uint32_t upstream, kernel::Instant now)
{
    if (!this->firstFailure) {
        this->firstFailure = now;
    }
    if (this->upstreams.size() < maxTrackedUpstreams
        && std::ranges::find(this->upstreams, upstream) == this->upstreams.end()) {
        this->upstreams.push_back(upstream);
    }
    return this->upstreams.size() >= minFailedUpstreams;
}

void OperationHealth::suspend(kernel::Instant now)
{
    // Failures of attempts that were running when the suspension began are no new evidence.
    if (this->suspendedUntil && now < *this->suspendedUntil) {
        return;
    }
    this->suspendedUntil
        = now + initialSuspension * (std::int64_t { 1 } << std::min(this->suspensions, maxDoublings));
    ++this->suspensions;
}

kernel::Duration OperationHealth::remaining(kernel::Instant now) const
{
    return this->suspendedUntil ? std::max(kernel::Duration {}, *this->suspendedUntil - now)
                                : kernel::Duration {};
}

} // namespace wasabiroad::routing
