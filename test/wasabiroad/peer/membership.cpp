#include "wasabiroad/peer/membership.hpp"

#include "wasabiroad/peer/describe.hpp"

#include <array>
#include <functional>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using namespace wasabiroad::peer;
using kernel::Duration;
using kernel::Instant;
using model::EntryId;
using model::ZoneId;

const EntryId peerB { "b" };
constexpr std::uint64_t ownIncarnation = 1000;

/** Exchanges heartbeats between this daemon and the peer `b` on a manual clock. */
class Exchange {
public:
    /** One interval: this daemon sends, and the peer's heartbeat arrives when `heard`. */
    void step(bool heard, bool confirms)
    {
        this->now = this->now + zoneTiming.interval;
        this->membership.noteSent(++this->sequence, this->now);
        this->lastConfirmed = confirms ? this->sequence : this->lastConfirmed;
        this->membership.advance(this->now, this->changes);
        ++this->peerSequence;
        if (heard) {
            deliver(this->peerIncarnation, this->peerSequence);
        }
    }
    void steps(int count, bool heard = true, bool confirms = true)
    {
        for (int index = 0; index < count; ++index) {
            step(heard, confirms);
        }
    }
    Admission deliver(std::uint64_t incarnation, std::uint64_t stamp, bool leaving = false)
    {
        const auto admission
            = this->membership.admit(this->now, peerB, { incarnation, stamp }, this->changes);
        if (admission == Admission::Accepted) {
            const Stamp heard { this->lastConfirmed == 0 ? 0 : ownIncarnation, this->lastConfirmed };
            this->membership.apply(this->now, peerB, { .leaving = leaving, .heard = heard }, this->changes);
        }
        return admission;
    }
    void pass(Duration duration) { this->now = this->now + duration; }
    void restart() { this->peerIncarnation += 1, this->peerSequence = 0; }
    template <typename Kind> std::size_t count() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->changes, [](const auto& change) { return std::holds_alternative<Kind>(change); }));
    }
    PeerState state() const { return this->membership.find(peerB)->state; }

    Membership membership { { EntryId { "a" }, ZoneId { "z1" }, ownIncarnation },
        { { peerB, ZoneId { "z1" } } } };
    Changes changes {};
    Instant now { 1000000 };
    std::uint64_t peerIncarnation { 2000 };
    std::uint64_t peerSequence { 0 };

private:
    std::uint64_t sequence { 0 };
    std::uint64_t lastConfirmed { 0 };
};

struct Row {
    const std::string label;
    const std::function<void(Exchange&)> run;
    const PeerState state;
    /** Numbers of Joined, Suspected, Recovered, Removed, OneWay, Restarted, Departed and SelfPaused. */
    const std::array<std::size_t, 8> counts;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "a peer that confirms joins", [](Exchange& e) { e.steps(3); }, PeerState::Live,
        { 1, 0, 0, 0, 0, 0, 0, 0 } },
    Row { "a peer that never confirms does not join", [](Exchange& e) { e.steps(20, true, false); },
        PeerState::Joining, { 0, 0, 0, 0, 1, 0, 0, 0 } },
    Row { "silence of three intervals suspects", [](Exchange& e) { e.steps(3), e.steps(3, false, false); },
        PeerState::Suspected, { 1, 1, 0, 0, 0, 0, 0, 0 } },
    Row { "silence of five intervals removes", [](Exchange& e) { e.steps(3), e.steps(5, false, false); },
        PeerState::Absent, { 1, 1, 0, 1, 0, 0, 0, 0 } },
    Row { "loss of the outbound direction removes", [](Exchange& e) { e.steps(3), e.steps(6, true, false); },
        PeerState::Joining, { 1, 1, 0, 1, 0, 0, 0, 0 } },
    Row { "a suspected peer that is heard again recovers",
        [](Exchange& e) { e.steps(3), e.steps(3, false, false), e.steps(1); }, PeerState::Live,
        { 1, 1, 1, 0, 0, 0, 0, 0 } },
    Row { "a removed peer is held down for 1 s",
        [](Exchange& e) {
            e.steps(3), e.steps(5, false, false), e.steps(1);
            BOOST_TEST((e.state() == PeerState::Joining));
            e.steps(2);
        },
        PeerState::Live, { 2, 1, 0, 1, 0, 0, 0, 0 } },
    Row { "a link that flaps is held down longer each time",
        [](Exchange& e) {
            for (int flap = 0; flap < 3; ++flap) {
                e.steps(20), e.steps(6, false, false);
            }
            e.steps(5);
        },
        PeerState::Joining, { 3, 3, 0, 3, 0, 0, 0, 0 } },
    Row { "a restarted peer joins again at once", [](Exchange& e) { e.steps(3), e.restart(), e.steps(2); },
        PeerState::Live, { 2, 0, 0, 0, 0, 1, 0, 0 } },
    Row { "an older incarnation is ignored",
        [](Exchange& e) {
            e.steps(3);
            BOOST_TEST((e.deliver(1999, 900) == Admission::OlderIncarnation));
        },
        PeerState::Live, { 1, 0, 0, 0, 0, 0, 0, 0 } },
    Row { "a repeated sequence is ignored",
        [](Exchange& e) {
            e.steps(3);
            BOOST_TEST((e.deliver(2000, 3) == Admission::OlderSequence));
        },
        PeerState::Live, { 1, 0, 0, 0, 0, 0, 0, 0 } },
    Row { "a clock that was set back locks nobody out",
        [](Exchange& e) {
            e.steps(3), e.steps(61, false, false);
            e.peerIncarnation = 500;
            e.steps(3);
        },
        PeerState::Live, { 2, 1, 0, 1, 0, 1, 0, 0 } },
    Row { "a leaving peer is removed at once",
        [](Exchange& e) {
            e.steps(3);
            e.deliver(2000, 100, true);
            BOOST_TEST((e.deliver(2000, 101) == Admission::AfterLeaving));
        },
        PeerState::Left, { 1, 0, 0, 0, 0, 0, 1, 0 } },
    Row { "a peer that left returns with a new incarnation",
        [](Exchange& e) {
            e.steps(3);
            e.deliver(2000, 100, true);
            e.restart(), e.steps(2);
        },
        PeerState::Live, { 2, 0, 0, 0, 0, 1, 1, 0 } },
    Row { "an own pause does not remove the peers",
        [](Exchange& e) { e.steps(3), e.pass({ 60000 }), e.steps(1); }, PeerState::Live,
        { 1, 1, 1, 0, 0, 0, 0, 1 } },
    Row { "a peer that is gone after an own pause is removed",
        [](Exchange& e) { e.steps(3), e.pass({ 60000 }), e.steps(4, false, false); }, PeerState::Absent,
        { 1, 1, 0, 1, 0, 0, 0, 1 } },
};

/** Guards against views of the membership that count dead peers or drop live ones. */
BOOST_DATA_TEST_CASE(judges_a_peer, boost::unit_test::data::make(rows), row)
{
    Exchange exchange;
    row.run(exchange);
    const std::array<std::size_t, 8> counts { exchange.count<Joined>(), exchange.count<Suspected>(),
        exchange.count<Recovered>(), exchange.count<Removed>(), exchange.count<OneWay>(),
        exchange.count<Restarted>(), exchange.count<Departed>(), exchange.count<SelfPaused>() };
    BOOST_TEST((exchange.state() == row.state));
    BOOST_TEST(counts == row.counts, boost::test_tools::per_element());
    const bool isMember = row.state == PeerState::Live || row.state == PeerState::Suspected;
    BOOST_TEST(exchange.membership.zoneMembers().size() == (isMember ? 2U : 1U));
}

} // namespace
