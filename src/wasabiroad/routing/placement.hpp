#pragma once

#include "wasabiroad/model/policy.hpp"
#include "wasabiroad/routing/free_upstreams.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace wasabiroad::routing {

/** @brief A free upstream: a group and the number of a member in it. */
struct GroupMember {
    const std::uint32_t group { 0 };
    const std::uint32_t member { 0 };

    friend auto operator<=>(const GroupMember&, const GroupMember&) = default;
};

/**
 * @brief Chooses the upstream of a request by the site's placement policy.
 *
 * Among groups of equal load the first one is taken, so the caller lists the least equipped group
 * first and upstreams with much memory or accelerators stay free for work that needs them.
 * @param policy Placement policy.
 * @param groups All groups; the turn of round robin advances.
 * @param eligible Indices of the groups that can run the request, least equipped first.
 * @param draw Random number for this decision.
 * @param avoid Upstream to take only if no other is free: the one of the failed attempt before.
 * @return The chosen upstream, or nothing when no eligible one is free.
 */
std::optional<GroupMember> chooseUpstream(const model::PlacementPolicy& policy,
    std::span<FreeUpstreams> groups, std::span<const std::uint32_t> eligible, std::uint64_t draw,
    std::optional<GroupMember> avoid);

} // namespace wasabiroad::routing
