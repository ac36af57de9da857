#pragma once

#include "wasabiroad/scheduling/event.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wasabiroad::scheduling {

/** @brief What does not change while an upstream is up, so that upstreams can be told to be equal. */
struct UpstreamKind {
    const jobs::Resources capacity {};
    const model::RackId rack {};
    const std::vector<std::string> labels {};

    friend auto operator<=>(const UpstreamKind&, const UpstreamKind&) = default;
};

/** @brief Room that an open upstream has for more tasks; upstreams with equal room differ by their id only.
 */
struct Room {
    const jobs::Resources left {};
    /** @brief Number of its kind, as the index gave it. */
    const std::size_t kind { 0 };
    const bool hasLongRunning { false };

    friend auto operator<=>(const Room&, const Room&) = default;
};

/** @brief Open upstreams in order of the cpu that is left, so that full ones are not looked at. */
class RoomIndex {
public:
    /** @brief Upstreams by room, least cpu first. */
    using Groups = std::map<Room, std::set<UpstreamId>>;

    /** @return Number of a kind; equal kinds have the same one. */
    std::size_t kindOf(const UpstreamKind& kind);

    /** @return Kind with a number that was given out. */
    const UpstreamKind& kind(std::size_t number) const { return *this->kinds[number]; }

    void insert(const UpstreamId& id, const Room& room) { this->groups[room].insert(id); }

    void erase(const UpstreamId& id, const Room& room);

    /** @return First group with at least this cpu left. */
    Groups::const_iterator firstWithCpu(std::int64_t cpu) const;

    Groups::const_iterator end() const { return this->groups.end(); }

private:
    std::map<UpstreamKind, std::size_t> numbers {};
    std::vector<const UpstreamKind*> kinds {};
    Groups groups {};
};

} // namespace wasabiroad::scheduling
