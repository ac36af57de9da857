#pragma once

#include "wasabiroad/peer/membership.hpp"

#include <set>

namespace wasabiroad::peer {

/** @brief Chooses the links of a daemon to other zones by rendezvous hashing. */
class Links {
public:
    /** Links to each other zone. */
    static constexpr std::size_t perZone = 2;
    /** Time for which a link that did not come up is passed over. */
    static constexpr kernel::Duration avoidFor { 10000 };

    /**
     * @brief Replaces links that left or did not come up within the time of removal.
     * @return Peers of other zones to keep a link to.
     */
    const std::set<model::EntryId>& update(kernel::Instant now, const Membership& membership);

    /** @return The links chosen last. */
    const std::set<model::EntryId>& current() const { return this->chosen; }

private:
    bool hasFailed(kernel::Instant now, const PeerView& peer);

    std::set<model::EntryId> chosen {};
    std::map<model::EntryId, kernel::Instant> downSince {};
    std::map<model::EntryId, kernel::Instant> avoidedUntil {};
};

} // namespace wasabiroad::peer
