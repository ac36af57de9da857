#pragma once

#include "wasabiroad/peer/watch_role.hpp"

namespace wasabiroad::peer {

/** @brief Logs a decision about the members. */
void logChange(const Change& change);

/** @return Name of a state, a silence, an admission or a role, for logs and metrics. */
std::string_view name(Silence silence);
std::string_view name(Admission admission);
std::string_view name(const WatchRole& role);

} // namespace wasabiroad::peer
