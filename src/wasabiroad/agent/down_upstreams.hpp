#pragma once

#include "wasabiroad/ports/fleet.hpp"

#include <set>

namespace wasabiroad::agent {

/**
 * @brief Finds the unresponsive upstreams that no VM runs.
 *
 * An upstream is one life of its VM, and a VM names the upstream that it runs. An upstream that cannot be
 * reached but still runs its tasks is named; one that no VM names runs nothing.
 *
 * @param pool Pool of the upstreams.
 * @param unheard Upstreams that were at work before the list was requested and do not answer.
 * @param listing The VMs.
 * @return The upstreams that are down; none if the list is empty or could not be read in full, or if a VM of
 * the pool is up and names no upstream.
 */
std::set<scheduling::UpstreamId> findDownUpstreams(const model::ServiceId& pool,
    const std::set<scheduling::UpstreamId>& unheard, const ports::VmListing& listing);

} // namespace wasabiroad::agent
