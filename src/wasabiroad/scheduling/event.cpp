#include "wasabiroad/scheduling/event.hpp"

namespace wasabiroad::scheduling {

std::string_view name(EndKind kind)
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::LeaseExpired:
        return "lapsed";
    case EndKind::PeerEnded:
        return "peer-ended";
    case EndKind::GangIncomplete:
        return "gang-incomplete";
    }
    return "unlisted";
}

std::string_view name(StartResult result)
{
    switch (result) {
    case StartResult::Started:
        return "started";
    case StartResult::NoRoom:
        return "no-room";
    case StartResult::Refused:
        return "refused";
    case StartResult::StaleRun:
        return "stale-run";
    case StartResult::NotSent:
        return "not-sent";
    case StartResult::NotTried:
        return "not-tried";
    case StartResult::Unknown:
        return "unknown";
    }
    return "unlisted";
}

} // namespace wasabiroad::scheduling
