#pragma once

#include "wasabiroad/settings/settings.hpp"

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace wasabiroad::daemon {

/** @return Names of the members that differ, joined by commas. */
std::string changedMembers(const settings::Settings& left, const settings::Settings& right);

/** @brief Reads the settings again at each SIGHUP and logs what differs; it takes effect at the next start.
 */
class Reload {
public:
    /**
     * @param context Context of the control thread.
     * @param inForce Settings of this process.
     * @param readAgain Reads the settings from where they came from.
     */
    Reload(boost::asio::io_context& context, settings::Settings inForce,
        std::function<kernel::Checked<settings::Settings>()> readAgain);

private:
    void waitForSignal();
    void reload() const;

    const settings::Settings inForce;
    const std::function<kernel::Checked<settings::Settings>()> readAgain;
    boost::asio::signal_set signals;
};

} // namespace wasabiroad::daemon
