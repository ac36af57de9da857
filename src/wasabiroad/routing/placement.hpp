#pragma once

#include "wasabiroad/model/policy.hpp"
#include "wasabiroad/routing/candidate.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace wasabiroad::routing {

/**
 * @brief Chooses the upstream of a request by the site's placement policy.
 * @param policy Placement policy.
 * @param candidates Upstreams with a free slot, in a fixed order.
 * @param draw Random number for this decision; also the turn of round robin.
 * @return Position of the chosen candidate, or nothing when there is none.
 */
std::optional<std::size_t> place(
    const model::PlacementPolicy& policy, std::span<const Candidate> candidates, std::uint64_t draw);

} // namespace wasabiroad::routing
