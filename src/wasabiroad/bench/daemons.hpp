#pragma once

#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/launch/site.hpp"

namespace wasabiroad::bench {

/**
 * @brief Describes one daemon for each zone, with keys and addresses by which they know each other.
 * @param zones Zones; a zone may occur several times.
 * @return Options for the launcher.
 */
std::vector<launch::DaemonOptions> makeDaemons(const std::vector<std::string>& zones);

/** @brief Waits until each daemon of a site has all others in its view. Errors: PeerUnreachable. */
kernel::Expected<void> waitForMembership(launch::Site& site);

} // namespace wasabiroad::bench
