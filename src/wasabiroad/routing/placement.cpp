#include "wasabiroad/routing/placement.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>

namespace wasabiroad::routing {

namespace {

std::size_t leastOutstanding(std::span<const Candidate> candidates, std::uint64_t draw)
{
    // Starting at a random position spreads ties over all idle upstreams.
    const std::size_t start = draw % candidates.size();
    std::size_t best = start;
    for (std::size_t step = 1; step < candidates.size(); ++step) {
        const std::size_t position = (start + step) % candidates.size();
        if (candidates[position].outstanding < candidates[best].outstanding) {
            best = position;
        }
    }
    return best;
}

std::size_t betterOfTwo(std::span<const Candidate> candidates, std::uint64_t draw)
{
    const std::size_t first = (draw & 0xffffffffU) % candidates.size();
    const std::size_t second = (draw >> 32U) % candidates.size();
    return candidates[second].outstanding < candidates[first].outstanding ? second : first;
}

} // namespace

std::optional<std::size_t> place(
    const model::PlacementPolicy& policy, std::span<const Candidate> candidates, std::uint64_t draw)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    return std::visit(kernel::Overloaded {
                          [&](const model::RoundRobin&) -> std::size_t { return draw % candidates.size(); },
                          [&](const model::LeastOutstanding&) { return leastOutstanding(candidates, draw); },
                          [&](const model::TwoChoices&) { return betterOfTwo(candidates, draw); },
                      },
        policy);
}

} // namespace wasabiroad::routing
