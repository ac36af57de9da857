#pragma once

#include "wasabiroad/model/identifier.hpp"

#include <set>

namespace wasabiroad::maintenance {

/** @brief Live daemons of the zone of this daemon, this one included; published by the membership. */
struct LiveEntriesChanged {
    const std::set<model::EntryId> entries {};

    friend auto operator<=>(const LiveEntriesChanged&, const LiveEntriesChanged&) = default;
};

/**
 * @brief Chooses the daemon that acts first for a zone, by rendezvous hashing.
 * The choice saves calls only; compare-and-swap keeps several acting daemons safe.
 * @return The entry with the highest hash, or an empty name when there are none.
 */
model::EntryId chooseActor(const std::set<model::EntryId>& entries, const model::ZoneId& zone);

} // namespace wasabiroad::maintenance
