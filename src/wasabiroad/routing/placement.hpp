#pragma once

#include "wasabiroad/model/policy.hpp"
#include "wasabiroad/routing/free_upstreams.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace wasabiroad::routing {

/** @brief An upstream, as the index of its group and its number in the group. */
struct GroupMember {
    const std::uint32_t group { 0 };
    const std::uint32_t member { 0 };

    friend auto operator<=>(const GroupMember&, const GroupMember&) = default;
};

/**
 * @brief Chooses the upstream for a request by the site's placement policy.
 *
 * `LeastOutstanding` takes the group with the least loaded upstream, the first one among equals. The caller
 * lists the groups with the fewest accelerators and the least memory first, which keeps better equipped
 * upstreams free for work that needs them. The other policies draw a group in proportion to its free
 * upstreams.
 * @param policy Placement policy.
 * @param groups All groups; round robin updates its position in the chosen one.
 * @param eligible Indices of the groups that can run the request, least equipped ones first.
 * @param draw Random number for this decision.
 * @param avoid Upstream of the previous, failed attempt; taken only if no other in its group is free.
 * @return The chosen upstream; empty when no eligible one is free.
 */
std::optional<GroupMember> chooseUpstream(const model::PlacementPolicy& policy,
    std::span<FreeUpstreams> groups, std::span<const std::uint32_t> eligible, std::uint64_t draw,
    std::optional<GroupMember> avoid);

} // namespace wasabiroad::routing
