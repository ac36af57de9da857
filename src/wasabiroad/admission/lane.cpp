#include "wasabiroad/admission/lane.hpp"

namespace wasabiroad::admission {

void Lane::push(RequestTable& table, RecordIndex index, End end, const TeamShares& shares)
{
    const auto team = table[index].facts->team;
    const auto [found, added] = this->teams.try_emplace(team);
    auto& queue = found->second;
    if (end == End::Tail) {
        queue.requests.pushBack(table, index);
    } else {
        queue.requests.pushFront(table, index);
    }
    if (added) {
        queue.overShare = shares.over(team);
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
    const auto team = table[index].facts->team;
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

void Lane::setOverShare(std::uint32_t team, bool overShare)
{
    const auto found = this->teams.find(team);
    if (found == this->teams.end() || found->second.overShare == overShare) {
        return;
    }
    auto& queue = found->second;
    keysOf(queue).erase({ queue.order, team });
    queue.overShare = overShare;
    keysOf(queue).emplace(queue.order, team);
}

void Lane::refresh(const TeamShares& shares)
{
    for (const auto& [team, queue] : this->teams) {
        setOverShare(team, shares.over(team));
    }
}

std::optional<LaneHead> Lane::head() const
{
    const auto& keys = this->within.empty() ? this->over : this->within;
    if (keys.empty()) {
        return std::nullopt;
    }
    const auto& [order, team] = *keys.begin();
    return LaneHead { this->teams.find(team)->second.requests.front(), order, this->within.empty() };
}

} // namespace wasabiroad::admission
