#include "wasabiroad/peer/watch_role.hpp"

#include "wasabiroad/peer/choose.hpp"

namespace wasabiroad::peer {

WatchRole roleOf(const Membership& membership, bool platformReachable)
{
    const auto& self = membership.self().entry;
    const auto members = membership.zoneMembers();
    std::vector<model::EntryId> reaching;
    for (const auto& member : members) {
        const auto peer = membership.find(member);
        if (peer ? peer->heartbeat.platformReachable : platformReachable) {
            reaching.push_back(member);
        }
    }
    const auto watchers = choose("watch", reaching.empty() ? members : reaching, 2);
    if (watchers.front() == self) {
        return Watcher {};
    }
    if (watchers.back() == self) {
        return ReserveWatcher {};
    }
    return Learner {};
}

} // namespace wasabiroad::peer
