#pragma once

#include "wasabiroad/ports/fleet.hpp"

#include <set>
#include <vector>

namespace wasabiroad::agent {

/**
 * @brief Finds the upstreams that their VMs do not run any more.
 *
 * An upstream is one life of its VM, and a VM names the upstream that it runs. An upstream that cannot be
 * reached but still runs its tasks is named; one that no VM names runs nothing.
 *
 * @param unheard Upstreams that were at work before the list was requested and do not answer.
 * @param listing The VMs.
 * @return The upstreams that are down; none if the list is empty or could not be read in full.
 */
std::vector<scheduling::UpstreamId> findDownUpstreams(
    const std::set<scheduling::UpstreamId>& unheard, const ports::VmListing& listing);

} // namespace wasabiroad::agent
