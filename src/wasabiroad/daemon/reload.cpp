#include "wasabiroad/daemon/reload.hpp"

#include "wasabiroad/kernel/log.hpp"

#include <array>
#include <csignal>
#include <utility>

namespace wasabiroad::daemon {

std::string changedMembers(const settings::Settings& left, const settings::Settings& right)
{
    const std::array members {
        std::pair { "entry", left.entry != right.entry },
        std::pair { "zone", left.zone != right.zone },
        std::pair { "callers", left.callers != right.callers },
        std::pair { "operators", left.operators != right.operators },
        std::pair { "platform", left.platform != right.platform },
        std::pair { "traffic-threads", left.trafficThreads != right.trafficThreads },
        std::pair { "limits", left.limits != right.limits },
        std::pair { "peers", left.peers != right.peers },
        std::pair { "fleet", left.fleet != right.fleet },
    };
    std::string names;
    for (const auto& [name, differs] : members) {
        if (differs) {
            names += (names.empty() ? "" : ",") + std::string { name };
        }
    }
    return names;
}

Reload::Reload(boost::asio::io_context& context, settings::Settings settingsInForce,
    std::function<kernel::Checked<settings::Settings>()> read)
    : inForce(std::move(settingsInForce))
    , readAgain(std::move(read))
    , signals(context, SIGHUP)
{
    waitForSignal();
}

void Reload::waitForSignal()
{
    this->signals.async_wait([this](boost::system::error_code failed, int) {
        if (!failed) {
            reload();
            waitForSignal();
        }
    });
}

void Reload::reload() const
{
    const auto settings = this->readAgain();
    if (!settings) {
        const auto& first = settings.error().front();
        kernel::logEvent("settings-reloaded",
            { { "outcome", "invalid" }, { "code", number(first.code) }, { "where", first.where } });
        return;
    }
    const auto changed = changedMembers(this->inForce, *settings);
    kernel::logEvent("settings-reloaded",
        { { "outcome", changed.empty() ? "unchanged" : "at next start" }, { "changed", changed } });
}

} // namespace wasabiroad::daemon
