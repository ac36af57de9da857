#include "wasabiroad/peer/membership.hpp"

#include <algorithm>

namespace wasabiroad::peer {

using kernel::Duration;
using kernel::Instant;

Membership::Membership(Self self, const std::vector<PeerName>& peerNames)
    : own(std::move(self))
{
    for (const auto& name : peerNames) {
        this->peers.emplace(name.entry, Peer { .name = name });
    }
}

void Membership::noteSent(std::uint64_t sequence, Instant now)
{
    this->sent.emplace_back(sequence, now);
    while (this->sent.front().second < now - linkTiming.removeAfter) {
        this->sent.pop_front();
    }
}

Admission Membership::admit(Instant now, const model::EntryId& sender, const Stamp& stamp, Changes& changes)
{
    const auto found = this->peers.find(sender);
    if (found == this->peers.end()) {
        return Admission::UnknownPeer;
    }
    auto& peer = found->second;
    const auto [incarnation, sequence] = peer.heard;
    if (stamp.incarnation < incarnation && now - peer.heardAt < forgetAfter) {
        return Admission::OlderIncarnation;
    }
    if (stamp.incarnation == incarnation) {
        if (stamp.sequence <= sequence) {
            return Admission::OlderSequence;
        }
        if (peer.state == PeerState::Left) {
            return Admission::AfterLeaving;
        }
    } else {
        if (incarnation != 0) {
            changes.emplace_back(Restarted { sender, stamp.incarnation });
        }
        peer.state = PeerState::Absent;
        peer.confirmedAt = never;
        peer.heldUntil = never;
    }
    peer.heard = { stamp.incarnation, stamp.sequence };
    peer.heardAt = now;
    return Admission::Accepted;
}

void Membership::apply(
    Instant now, const model::EntryId& sender, const Heartbeat& heartbeat, Changes& changes)
{
    const auto found = this->peers.find(sender);
    if (found == this->peers.end()) {
        return;
    }
    auto& peer = found->second;
    peer.heartbeat = std::make_shared<const Heartbeat>(heartbeat);
    if (heartbeat.leaving) {
        peer.state = PeerState::Left;
        changes.emplace_back(Departed { sender });
        return;
    }
    if (heartbeat.heard.incarnation == this->own.incarnation) {
        const auto confirmed = std::ranges::find(
            this->sent, heartbeat.heard.sequence, [](const auto& message) { return message.first; });
        if (confirmed != this->sent.end()) {
            peer.confirmedAt = std::max(peer.confirmedAt, confirmed->second);
        }
    }
    judge(now, peer, changes);
}

void Membership::advance(Instant now, Changes& changes)
{
    if (this->advancedAt && now - *this->advancedAt >= zoneTiming.suspectAfter) {
        changes.emplace_back(SelfPaused { now - *this->advancedAt });
        resume(now);
    }
    this->advancedAt = now;
    for (auto& [id, peer] : this->peers) {
        judge(now, peer, changes);
    }
}

/** Silence during an own pause is no fault of the peers, so members get the time from suspicion to removal.
 */
void Membership::resume(Instant now)
{
    for (auto& [id, peer] : this->peers) {
        if (peer.state == PeerState::Live || peer.state == PeerState::Suspected) {
            peer.heardAt = now - timingOf(peer).suspectAfter;
            peer.confirmedAt = peer.heardAt;
        }
    }
}

const Timing& Membership::timingOf(const Peer& peer) const
{
    return peer.name.zone == this->own.zone ? zoneTiming : linkTiming;
}

/** The newest confirmation names a message that is up to one interval old when it arrives. */
Duration Membership::unconfirmedFor(Instant now, const Peer& peer) const
{
    return now - peer.confirmedAt - timingOf(peer).interval;
}

void Membership::judge(Instant now, Peer& peer, Changes& changes)
{
    switch (peer.state) {
    case PeerState::Live:
    case PeerState::Suspected:
        judgeMember(now, peer, changes);
        break;
    case PeerState::Absent:
    case PeerState::Joining:
        judgeOther(now, peer, changes);
        break;
    case PeerState::Left:
        break;
    }
}

void Membership::judgeMember(Instant now, Peer& peer, Changes& changes)
{
    const auto& timing = timingOf(peer);
    const auto unheard = now - peer.heardAt;
    const auto unconfirmed = unconfirmedFor(now, peer);
    const auto silence = unheard >= unconfirmed ? Silence::NotHeard : Silence::NotConfirmed;
    const auto silent = std::max(unheard, unconfirmed);
    if (silent >= timing.removeAfter) {
        remove(now, peer, silence, changes);
    } else if (silent >= timing.suspectAfter && peer.state == PeerState::Live) {
        peer.state = PeerState::Suspected;
        changes.emplace_back(Suspected { peer.name.entry, silence });
    } else if (silent < timing.suspectAfter && peer.state == PeerState::Suspected) {
        peer.state = PeerState::Live;
        changes.emplace_back(Recovered { peer.name.entry });
    } else if (peer.state == PeerState::Live && now - peer.liveSince >= stableAfter) {
        peer.removals = 0;
    }
}

void Membership::remove(Instant now, Peer& peer, Silence silence, Changes& changes)
{
    constexpr int maxDoublings = 4;
    const auto hold = holdDown * (std::int64_t { 1 } << std::min(peer.removals, maxDoublings));
    ++peer.removals;
    peer.state = PeerState::Absent;
    peer.heldUntil = now + std::min(hold, maxHoldDown);
    changes.emplace_back(Removed { peer.name.entry, silence, std::min(hold, maxHoldDown) });
}

void Membership::judgeOther(Instant now, Peer& peer, Changes& changes)
{
    const auto& timing = timingOf(peer);
    if (now - peer.heardAt >= timing.removeAfter) {
        peer.state = PeerState::Absent;
        return;
    }
    if (peer.state == PeerState::Absent) {
        peer.state = PeerState::Joining;
        peer.joiningSince = now;
        peer.oneWayReported = false;
    }
    const bool isConfirmed = unconfirmedFor(now, peer) < timing.suspectAfter;
    if (isConfirmed && now - peer.heardAt < timing.suspectAfter && now >= peer.heldUntil) {
        peer.state = PeerState::Live;
        peer.liveSince = now;
        changes.emplace_back(Joined { peer.name.entry });
    } else if (!isConfirmed && !peer.oneWayReported && now - peer.joiningSince >= timing.removeAfter) {
        peer.oneWayReported = true;
        changes.emplace_back(OneWay { peer.name.entry });
    }
}

PeerView Membership::viewOf(const Peer& peer)
{
    return { peer.name, peer.state, { peer.heard.first, peer.heard.second }, *peer.heartbeat };
}

std::optional<PeerView> Membership::find(const model::EntryId& peer) const
{
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? std::nullopt : std::optional<PeerView> { viewOf(found->second) };
}

std::vector<PeerView> Membership::views() const
{
    std::vector<PeerView> all;
    all.reserve(this->peers.size());
    for (const auto& [id, peer] : this->peers) {
        all.emplace_back(viewOf(peer));
    }
    return all;
}

std::vector<model::EntryId> Membership::zoneMembers() const
{
    std::vector<model::EntryId> members { this->own.entry };
    for (const auto& [id, peer] : this->peers) {
        const bool isMember = peer.state == PeerState::Live || peer.state == PeerState::Suspected;
        if (isMember && peer.name.zone == this->own.zone) {
            members.push_back(id);
        }
    }
    std::ranges::sort(members);
    return members;
}

std::uint32_t Membership::siteEntries() const
{
    // The highest report wins: a count that is too high only makes shares smaller.
    // No zone has more entries than are configured.
    std::map<model::ZoneId, std::uint32_t> configured;
    for (const auto& [id, peer] : this->peers) {
        ++configured[peer.name.zone];
    }
    std::map<model::ZoneId, std::uint32_t> others;
    for (const auto& [id, peer] : this->peers) {
        const bool isMember = peer.state == PeerState::Live || peer.state == PeerState::Suspected;
        if (isMember && peer.name.zone != this->own.zone) {
            auto& count = others[peer.name.zone];
            count = std::max(count, std::min(peer.heartbeat->zoneEntries, configured[peer.name.zone]));
        }
    }
    auto total = static_cast<std::uint32_t>(zoneMembers().size());
    for (const auto& [zone, count] : others) {
        total += count;
    }
    return total;
}

bool Membership::isHeard(Instant now, const model::EntryId& peer) const
{
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && found->second.state != PeerState::Left
        && now - found->second.heardAt < timingOf(found->second).removeAfter;
}

} // namespace wasabiroad::peer
