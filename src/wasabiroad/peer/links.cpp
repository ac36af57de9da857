#include "wasabiroad/peer/links.hpp"

#include "wasabiroad/peer/choose.hpp"

namespace wasabiroad::peer {

bool Links::hasFailed(kernel::Instant now, const PeerView& peer)
{
    const auto& id = peer.name.entry;
    if (peer.state == PeerState::Left) {
        return true;
    }
    if (!this->chosen.contains(id) || peer.state == PeerState::Live || peer.state == PeerState::Suspected) {
        this->downSince.erase(id);
        return false;
    }
    const auto since = this->downSince.try_emplace(id, now).first->second;
    return now - since >= linkTiming.removeAfter;
}

const std::set<model::EntryId>& Links::update(kernel::Instant now, const Membership& membership)
{
    struct Candidates {
        std::vector<model::EntryId> usable {};
        std::vector<model::EntryId> all {};
    };
    std::map<model::ZoneId, Candidates> zones;
    for (const auto& peer : membership.views()) {
        if (peer.name.zone == membership.self().zone) {
            continue;
        }
        const auto& id = peer.name.entry;
        if (hasFailed(now, peer)) {
            this->downSince.erase(id);
            this->avoidedUntil.insert_or_assign(id, now + avoidFor);
        }
        auto& candidates = zones[peer.name.zone];
        candidates.all.push_back(id);
        const auto avoided = this->avoidedUntil.find(id);
        if (avoided == this->avoidedUntil.end() || avoided->second <= now) {
            candidates.usable.push_back(id);
        }
    }
    this->chosen.clear();
    for (const auto& [zone, candidates] : zones) {
        // A zone in which every link failed is tried all the time, so that a partition that ends is noticed.
        const auto& from = candidates.usable.empty() ? candidates.all : candidates.usable;
        for (const auto& id : choose(membership.self().entry.text(), from, perZone)) {
            this->chosen.insert(id);
        }
    }
    return this->chosen;
}

} // namespace wasabiroad::peer
