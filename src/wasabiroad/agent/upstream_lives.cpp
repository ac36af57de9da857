#include "wasabiroad/agent/upstream_lives.hpp"

#include <algorithm>
#include <iterator>

namespace wasabiroad::agent {

std::vector<scheduling::UpstreamId> findDownUpstreams(
    const std::set<scheduling::UpstreamId>& unheard, const ports::VmListing& listing)
{
    if (!listing.complete || listing.vms.empty()) {
        return {};
    }
    std::set<scheduling::UpstreamId> alive;
    for (const auto& vm : listing.vms) {
        alive.insert(vm.upstream);
    }
    std::vector<scheduling::UpstreamId> down;
    std::ranges::set_difference(unheard, alive, std::back_inserter(down));
    return down;
}

} // namespace wasabiroad::agent
