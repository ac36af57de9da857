#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/peer/message.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace wasabiroad::peer {

/** @brief Times of the heartbeats on one kind of link. */
struct Timing {
    const kernel::Duration interval { 500 };
    const kernel::Duration suspectAfter { 1500 };
    const kernel::Duration removeAfter { 2500 };

    friend auto operator<=>(const Timing&, const Timing&) = default;
};

inline constexpr Timing zoneTiming {};
/** Links between zones only carry counts and configuration, so they take half of the messages. */
inline constexpr Timing linkTiming { { 1000 }, { 3000 }, { 5000 } };

/** @brief A configured peer. */
struct PeerName {
    const model::EntryId entry;
    const model::ZoneId zone;

    friend auto operator<=>(const PeerName&, const PeerName&) = default;
};

/** @brief This daemon as peers see it. */
struct Self {
    const model::EntryId entry;
    const model::ZoneId zone;
    const std::uint64_t incarnation { 0 };

    friend auto operator<=>(const Self&, const Self&) = default;
};

/** @brief State of a peer in the view of this daemon. */
enum class PeerState {
    /** @brief Nothing was heard for the time of removal. */
    Absent,
    /** @brief It is heard, but did not confirm that it hears this daemon, or is held down after a removal. */
    Joining,
    Live,
    /** @brief Still a member, but one direction has been silent for the time of suspicion. */
    Suspected,
    /** @brief It said that it stops. */
    Left,
};

/** @brief Direction of a link that failed. */
enum class Silence { NotHeard, NotConfirmed };

struct Joined {
    const model::EntryId peer;
    friend auto operator<=>(const Joined&, const Joined&) = default;
};
struct OneWay {
    const model::EntryId peer;
    friend auto operator<=>(const OneWay&, const OneWay&) = default;
};
struct Suspected {
    const model::EntryId peer;
    const Silence silence;
    friend auto operator<=>(const Suspected&, const Suspected&) = default;
};
struct Recovered {
    const model::EntryId peer;
    friend auto operator<=>(const Recovered&, const Recovered&) = default;
};
struct Removed {
    const model::EntryId peer;
    const Silence silence;
    /** @brief Time for which the peer is not admitted again. */
    const kernel::Duration holdDown;
    friend auto operator<=>(const Removed&, const Removed&) = default;
};
struct Restarted {
    const model::EntryId peer;
    const std::uint64_t incarnation;
    friend auto operator<=>(const Restarted&, const Restarted&) = default;
};
struct Departed {
    const model::EntryId peer;
    friend auto operator<=>(const Departed&, const Departed&) = default;
};
struct SelfPaused {
    const kernel::Duration gap;
    friend auto operator<=>(const SelfPaused&, const SelfPaused&) = default;
};

/** @brief A decision about the members. */
using Change = std::variant<Joined, OneWay, Suspected, Recovered, Removed, Restarted, Departed, SelfPaused>;
using Changes = std::vector<Change>;

/** @brief Outcome of the check of a message's stamp. */
enum class Admission { Accepted, UnknownPeer, OlderIncarnation, OlderSequence, AfterLeaving };

/** @brief What this daemon knows of a peer. */
struct PeerView {
    const PeerName name;
    const PeerState state { PeerState::Absent };
    /** @brief Last message that was accepted. */
    const Stamp heard {};
    const Heartbeat heartbeat {};

    friend auto operator<=>(const PeerView&, const PeerView&) = default;
};

/** @brief Membership of the site as one daemon sees it; decisions only, without I/O. */
class Membership {
public:
    Membership(Self self, const std::vector<PeerName>& peers);

    /** @brief Notes when a message was sent, so that a confirmation can be dated. */
    void noteSent(std::uint64_t sequence, kernel::Instant now);

    /**
     * @brief Checks the stamp of a message from an authenticated peer.
     *
     * A lower incarnation is ignored, unless the higher one has been silent for `forgetAfter`: its clock
     * was ahead then, and the peer would be locked out for good.
     */
    Admission admit(kernel::Instant now, const model::EntryId& sender, const Stamp& stamp, Changes& changes);

    /** @brief Applies a heartbeat whose stamp was accepted. */
    void apply(
        kernel::Instant now, const model::EntryId& sender, const Heartbeat& heartbeat, Changes& changes);

    /** @brief Judges all peers by the time; called at least once per interval. */
    void advance(kernel::Instant now, Changes& changes);

    /** @return The view of a peer, or nothing when it is not configured. */
    std::optional<PeerView> find(const model::EntryId& peer) const;

    /** @return Views of all configured peers, by id. */
    std::vector<PeerView> views() const;

    /** @return Members of the zone, this daemon included, by id. */
    std::vector<model::EntryId> zoneMembers() const;

    /** @return Members of the site: those of the zone, and what live links report of other zones. */
    std::uint32_t siteEntries() const;

    /** @return True when the peer was heard within the time of removal and has not left. */
    bool isHeard(kernel::Instant now, const model::EntryId& peer) const;

    const Self& self() const { return this->own; }

    /** Time after which a silent incarnation no longer excludes a lower one. */
    static constexpr kernel::Duration forgetAfter { 30000 };
    /** First hold-down after a removal; it doubles with each further removal. */
    static constexpr kernel::Duration holdDown { 1000 };
    static constexpr kernel::Duration maxHoldDown { 16000 };
    /** A link that was live for this time starts again with the first hold-down. */
    static constexpr kernel::Duration stableAfter { 60000 };

private:
    struct Peer {
        PeerName name;
        PeerState state { PeerState::Absent };
        std::pair<std::uint64_t, std::uint64_t> heard { 0, 0 };
        kernel::Instant heardAt { never };
        kernel::Instant confirmedAt { never };
        kernel::Instant liveSince { never };
        kernel::Instant heldUntil { never };
        kernel::Instant joiningSince { never };
        bool oneWayReported { false };
        int removals { 0 };
        std::shared_ptr<const Heartbeat> heartbeat { std::make_shared<const Heartbeat>() };
    };

    static constexpr kernel::Instant never { -1000000000 };

    const Timing& timingOf(const Peer& peer) const;
    kernel::Duration unconfirmedFor(kernel::Instant now, const Peer& peer) const;
    void judge(kernel::Instant now, Peer& peer, Changes& changes);
    void judgeMember(kernel::Instant now, Peer& peer, Changes& changes);
    void judgeOther(kernel::Instant now, Peer& peer, Changes& changes);
    void remove(kernel::Instant now, Peer& peer, Silence silence, Changes& changes);
    void resume(kernel::Instant now);
    static PeerView viewOf(const Peer& peer);

    const Self own;
    std::map<model::EntryId, Peer> peers {};
    /** Sequences and times of the messages that a confirmation can still name. */
    std::deque<std::pair<std::uint64_t, kernel::Instant>> sent {};
    std::optional<kernel::Instant> advancedAt {};
};

} // namespace wasabiroad::peer
