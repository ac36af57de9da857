#include "wasabiroad/agent/down_upstreams.hpp"

#include <algorithm>
#include <iterator>

namespace wasabiroad::agent {

std::set<scheduling::UpstreamId> findDownUpstreams(const model::ServiceId& pool,
    const std::set<scheduling::UpstreamId>& unheard, const ports::VmListing& listing)
{
    const bool isUndecided = std::ranges::any_of(listing.vms, [&](const ports::VmFacts& vm) {
        return vm.pool == pool && vm.condition == ports::VmCondition::Up && vm.upstream.text().empty();
    });
    if (!listing.complete || listing.vms.empty() || isUndecided) {
        return {};
    }
    std::set<scheduling::UpstreamId> named;
    for (const auto& vm : listing.vms) {
        named.insert(vm.upstream);
    }
    std::set<scheduling::UpstreamId> down;
    std::ranges::set_difference(unheard, named, std::inserter(down, down.end()));
    return down;
}

} // namespace wasabiroad::agent
