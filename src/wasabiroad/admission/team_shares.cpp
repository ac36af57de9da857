#include "wasabiroad/admission/team_shares.hpp"

#include <algorithm>

namespace wasabiroad::admission {

TeamShares::TeamShares()
    : shares(1)
{
}

void TeamShares::update(const model::RoutingSnapshot& snapshot)
{
    for (auto& share : this->shares) {
        share.slots = UINT32_MAX;
    }
    const auto entries = std::max(1U, snapshot.entries);
    for (const auto& [id, team] : snapshot.teams) {
        const auto [found, added]
            = this->indices.try_emplace(id, static_cast<std::uint32_t>(this->shares.size()));
        if (added) {
            this->shares.emplace_back();
        }
        this->shares[found->second].slots = team.quota / entries + (team.quota % entries == 0 ? 0 : 1);
    }
}

std::uint32_t TeamShares::indexOf(const model::TeamId& team) const
{
    const auto found = this->indices.find(team);
    return found == this->indices.end() ? noTeam : found->second;
}

bool TeamShares::isAtShare(std::uint32_t team) const
{
    return this->shares[team].held >= this->shares[team].slots;
}

bool TeamShares::take(std::uint32_t team)
{
    const bool before = isAtShare(team);
    ++this->shares[team].held;
    return before != isAtShare(team);
}

bool TeamShares::release(std::uint32_t team)
{
    const bool before = isAtShare(team);
    --this->shares[team].held;
    return before != isAtShare(team);
}

} // namespace wasabiroad::admission
