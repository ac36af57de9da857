#include "wasabiroad/routing/rendezvous.hpp"

#include <algorithm>

#include <xxhash.h>

namespace wasabiroad::routing {

std::uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

std::vector<std::string> rendezvousRank(std::string_view key, std::vector<std::string> members)
{
    std::ranges::sort(members, [&](const std::string& left, const std::string& right) {
        const auto leftScore = rendezvousScore(key, left);
        const auto rightScore = rendezvousScore(key, right);
        return leftScore != rightScore ? leftScore > rightScore : left < right;
    });
    return members;
}

} // namespace wasabiroad::routing
