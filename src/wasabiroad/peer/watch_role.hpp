#pragma once

#include "wasabiroad/peer/membership.hpp"

namespace wasabiroad::peer {

/** @brief Holds the watch on the head of the configuration and polls the platform's list of VMs. */
struct Watcher {
    friend auto operator<=>(const Watcher&, const Watcher&) = default;
};
/** @brief Holds a second watch, so that the loss of the watcher delays no change. */
struct ReserveWatcher {
    friend auto operator<=>(const ReserveWatcher&, const ReserveWatcher&) = default;
};
/** @brief Learns from peers and asks the platform rarely. */
struct Learner {
    friend auto operator<=>(const Learner&, const Learner&) = default;
};

/** @brief Duty of a daemon towards the platform. */
using WatchRole = std::variant<Watcher, ReserveWatcher, Learner>;

/**
 * @brief Decides the role of this daemon among the members of its zone by rendezvous hashing.
 * Entries that reach the platform go first. A daemon that has no member beside it is the watcher.
 * @param platformReachable True when this daemon's last call to the platform succeeded.
 */
WatchRole roleOf(const Membership& membership, bool platformReachable);

} // namespace wasabiroad::peer
