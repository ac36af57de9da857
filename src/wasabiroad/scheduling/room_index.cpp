#include "wasabiroad/scheduling/room_index.hpp"

#include <limits>

namespace wasabiroad::scheduling {

std::size_t RoomIndex::kindNumber(const UpstreamKind& kind)
{
    const auto [entry, isNew] = this->kindNumbers.try_emplace(kind, this->kinds.size());
    if (isNew) {
        this->kinds.push_back(&entry->first);
    }
    return entry->second;
}

void RoomIndex::erase(const UpstreamId& id, const Room& room)
{
    const auto group = this->groups.find(room);
    if (group != this->groups.end() && group->second.erase(id) != 0 && group->second.empty()) {
        this->groups.erase(group);
    }
}

RoomIndex::Groups::const_iterator RoomIndex::firstWithCpu(std::int64_t cpu) const
{
    constexpr auto least = std::numeric_limits<std::int64_t>::min();
    return this->groups.lower_bound(Room { { cpu, least, least } });
}

} // namespace wasabiroad::scheduling
