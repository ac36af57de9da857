#include "wasabiroad/peer/choose.hpp"

#include "wasabiroad/routing/rendezvous.hpp"

#include <algorithm>

namespace wasabiroad::peer {

std::vector<model::EntryId> choose(
    std::string_view key, const std::vector<model::EntryId>& candidates, std::size_t count)
{
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        names.push_back(candidate.text());
    }
    const auto ranked = routing::rendezvousRank(key, std::move(names));
    std::vector<model::EntryId> chosen;
    for (std::size_t place = 0; place < std::min(ranked.size(), count); ++place) {
        chosen.emplace_back(ranked[place]);
    }
    return chosen;
}

} // namespace wasabiroad::peer
