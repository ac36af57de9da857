#include "wasabiroad/peer/describe.hpp"

#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

namespace wasabiroad::peer {

using kernel::logEvent;

std::string_view name(Silence silence)
{
    switch (silence) {
    case Silence::NotHeard:
        return "not-heard";
    case Silence::NotConfirmed:
        return "not-confirmed";
    }
    return "unlisted";
}

std::string_view name(Admission admission)
{
    switch (admission) {
    case Admission::Accepted:
        return "accepted";
    case Admission::UnknownPeer:
        return "unknown-peer";
    case Admission::OlderIncarnation:
        return "older-incarnation";
    case Admission::OlderSequence:
        return "older-sequence";
    case Admission::AfterLeaving:
        return "after-leaving";
    }
    return "unlisted";
}

std::string_view name(const WatchRole& role)
{
    return std::visit(kernel::Overloaded {
                          [](const Watcher&) { return std::string_view { "watcher" }; },
                          [](const ReserveWatcher&) { return std::string_view { "reserve-watcher" }; },
                          [](const Learner&) { return std::string_view { "learner" }; },
                      },
        role);
}

void logChange(const Change& change)
{
    std::visit(kernel::Overloaded {
                   [](const Joined& event) {
                       logEvent("peer-joined", { { "peer", event.peer.text() } });
                   },
                   [](const OneWay& event) {
                       logEvent("peer-one-way",
                           { { "peer", event.peer.text() }, { "reason", name(Silence::NotConfirmed) } });
                   },
                   [](const Suspected& event) {
                       logEvent("peer-suspected",
                           { { "peer", event.peer.text() }, { "reason", name(event.silence) } });
                   },
                   [](const Recovered& event) {
                       logEvent("peer-recovered", { { "peer", event.peer.text() } });
                   },
                   [](const Removed& event) {
                       logEvent("peer-removed",
                           { { "peer", event.peer.text() }, { "reason", name(event.silence) },
                               { "hold-down-ms", event.holdDown.milliseconds } });
                   },
                   [](const Restarted& event) {
                       logEvent("peer-restarted",
                           { { "peer", event.peer.text() }, { "incarnation", event.incarnation } });
                   },
                   [](const Departed& event) {
                       logEvent("peer-left", { { "peer", event.peer.text() } });
                   },
                   [](const SelfPaused& event) {
                       logEvent("self-paused", { { "gap-ms", event.gap.milliseconds } });
                   },
               },
        change);
}

} // namespace wasabiroad::peer
