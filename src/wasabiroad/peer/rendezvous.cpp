#include "wasabiroad/peer/rendezvous.hpp"

#include <algorithm>

#include <xxhash.h>

namespace wasabiroad::peer {

std::uint64_t rendezvousScore(std::string_view key, const model::EntryId& entry)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(entry.text().data(), entry.text().size(), seed);
}

std::vector<model::EntryId> choose(
    std::string_view key, std::vector<model::EntryId> candidates, std::size_t count)
{
    std::ranges::sort(candidates, [&](const auto& left, const auto& right) {
        const auto leftScore = rendezvousScore(key, left);
        const auto rightScore = rendezvousScore(key, right);
        return leftScore != rightScore ? leftScore > rightScore : left < right;
    });
    candidates.resize(std::min(candidates.size(), count));
    return candidates;
}

} // namespace wasabiroad::peer
