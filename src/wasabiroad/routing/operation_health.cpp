#include "wasabiroad/routing/operation_health.hpp"

#include <algorithm>

namespace wasabiroad::routing {

namespace {

constexpr kernel::Duration firstSuspension { 5000 };
constexpr std::uint32_t doublings = 4;

/** Bounds the list of an operation that fails everywhere; the decision needs only a few. */
constexpr std::size_t upstreamsKept = 16;

} // namespace

void OperationHealth::succeeded()
{
    this->upstreams.clear();
    this->since.reset();
    this->until.reset();
    this->suspensions = 0;
}

bool OperationHealth::failed(std::uint32_t upstream, kernel::Instant now)
{
    if (!this->since) {
        this->since = now;
    }
    if (this->upstreams.size() < upstreamsKept
        && std::ranges::find(this->upstreams, upstream) == this->upstreams.end()) {
        this->upstreams.push_back(upstream);
    }
    return this->upstreams.size() >= upstreamsToBlame;
}

void OperationHealth::suspend(kernel::Instant now)
{
    this->until = now + firstSuspension * (std::int64_t { 1 } << std::min(this->suspensions, doublings));
    ++this->suspensions;
}

kernel::Duration OperationHealth::remaining(kernel::Instant now) const
{
    return this->until ? std::max(kernel::Duration {}, *this->until - now) : kernel::Duration {};
}

} // namespace wasabiroad::routing
