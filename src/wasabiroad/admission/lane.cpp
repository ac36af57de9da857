#include "wasabiroad/admission/lane.hpp"

namespace wasabiroad::admission {

void Lane::push(RequestTable& table, RecordIndex index, End end, const TeamShares& shares)
{
    const auto team = table[index].attributes->team;
    const auto [found, added] = this->teams.try_emplace(team);
    auto& queue = found->second;
    if (end == End::Tail) {
        queue.requests.pushBack(table, index);
    } else {
        queue.requests.pushFront(table, index);
    }
    if (added) {
        queue.atShare = shares.isAtShare(team);
    } else if (end == End::Head) {
        keysOf(queue).erase({ queue.order, team });
    } else {
        return;
    }
    queue.order = table[index].handle.value;
    keysOf(queue).emplace(queue.order, team);
}

void Lane::erase(RequestTable& table, RecordIndex index)
{
    const auto team = table[index].attributes->team;
    const auto found = this->teams.find(team);
    auto& queue = found->second;
    const bool wasFirst = queue.requests.front() == index;
    queue.requests.erase(table, index);
    if (!wasFirst) {
        return;
    }
    keysOf(queue).erase({ queue.order, team });
    if (queue.requests.empty()) {
        this->teams.erase(found);
        return;
    }
    queue.order = table[queue.requests.front()].handle.value;
    keysOf(queue).emplace(queue.order, team);
}

void Lane::setAtShare(std::uint32_t team, bool atShare)
{
    const auto found = this->teams.find(team);
    if (found == this->teams.end() || found->second.atShare == atShare) {
        return;
    }
    auto& queue = found->second;
    keysOf(queue).erase({ queue.order, team });
    queue.atShare = atShare;
    keysOf(queue).emplace(queue.order, team);
}

void Lane::updateShares(const TeamShares& shares)
{
    for (const auto& [team, queue] : this->teams) {
        setAtShare(team, shares.isAtShare(team));
    }
}

std::optional<LaneHead> Lane::head() const
{
    const auto& keys = this->teamsBelowShare.empty() ? this->teamsAtShare : this->teamsBelowShare;
    if (keys.empty()) {
        return std::nullopt;
    }
    const auto& [order, team] = *keys.begin();
    return LaneHead { this->teams.find(team)->second.requests.front(), order, this->teamsBelowShare.empty() };
}

} // namespace wasabiroad::admission
