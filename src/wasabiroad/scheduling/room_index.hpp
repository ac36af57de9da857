#pragma once

#include "wasabiroad/scheduling/event.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wasabiroad::scheduling {

/** @brief Constant properties of an upstream, by which equivalent upstreams are grouped. */
struct UpstreamKind {
    const jobs::Resources capacity {};
    const model::RackId rack {};
    const std::vector<std::string> labels {};

    friend auto operator<=>(const UpstreamKind&, const UpstreamKind&) = default;
};

/** @brief Free resources of a schedulable upstream; upstreams with equal values differ only by their id. */
struct Room {
    const jobs::Resources left {};
    /** @brief Number of its kind, as returned by RoomIndex::kindNumber(). */
    const std::size_t kind { 0 };
    const bool hasLongRunning { false };

    friend auto operator<=>(const Room&, const Room&) = default;
};

/** @brief Schedulable upstreams in order of free cpu, so that full upstreams are skipped. */
class RoomIndex {
public:
    /** @brief Upstreams grouped by free resources, least cpu first. */
    using Groups = std::map<Room, std::set<UpstreamId>>;

    /** @return Number of a kind, assigned on first use; equal kinds have the same number. */
    std::size_t kindNumber(const UpstreamKind& kind);

    /** @return Kind with a number that kindNumber() returned. */
    const UpstreamKind& kind(std::size_t number) const { return *this->kinds[number]; }

    void insert(const UpstreamId& id, const Room& room) { this->groups[room].insert(id); }

    void erase(const UpstreamId& id, const Room& room);

    /** @return First group with at least this much free cpu. */
    Groups::const_iterator firstWithCpu(std::int64_t cpu) const;

    Groups::const_iterator end() const { return this->groups.end(); }

private:
    std::map<UpstreamKind, std::size_t> kindNumbers {};
    std::vector<const UpstreamKind*> kinds {};
    Groups groups {};
};

} // namespace wasabiroad::scheduling
