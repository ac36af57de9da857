#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace wasabiroad::routing {

/**
 * @brief Upstreams of one group that have a free slot, indexed by load.
 *
 * The members of a group are interchangeable: same pool, same zone preference, same memory and
 * accelerators. They are numbered from 0. Changes cost O(1). The cost of a placement does not grow with the
 * number of members, except that `nextFree` scans a bit per member.
 */
class FreeUpstreams {
public:
    /** @brief Adds a member, not yet marked free. @return Its number. */
    std::uint32_t add();

    /** @brief Marks a member as having a free slot. @param outstanding Number of requests that it runs. */
    void markFree(std::uint32_t member, std::uint32_t outstanding);

    /** @brief Marks a member as unable to take a request. */
    void markUnavailable(std::uint32_t member);

    /** @return Number of members with a free slot. */
    std::uint32_t count() const { return this->freeCount; }

    /** @return The smallest number of outstanding requests of a free member; 0 when none is free. */
    std::uint32_t leastLoad() const;

    /** @return Number of outstanding requests of a free member. */
    std::uint32_t load(std::uint32_t member) const { return this->positions[member].bucket; }

    /**
     * @return A free member with the smallest load; empty when none is free.
     * @param draw Random number that selects among equals.
     * @param avoid Member to take only if no other is free.
     */
    std::optional<std::uint32_t> leastLoaded(std::uint64_t draw, std::optional<std::uint32_t> avoid) const;

    /**
     * @return The first free member from a number on, cyclically; empty when none is free.
     * @param avoid Member to take only if no other is free.
     */
    std::optional<std::uint32_t> nextFree(std::uint32_t from, std::optional<std::uint32_t> avoid) const;

    /** @brief Member from which round robin continues: the one after the last chosen. */
    std::uint32_t roundRobinNext { 0 };

    /** @return Number of members, free or not. */
    std::uint32_t size() const { return static_cast<std::uint32_t>(this->positions.size()); }

private:
    static constexpr std::uint32_t noBucket = UINT32_MAX;

    struct Position {
        std::uint32_t bucket { noBucket };
        std::uint32_t index { 0 };
    };

    std::optional<std::uint32_t> firstFree(std::uint32_t from, std::uint32_t to) const;

    std::vector<std::vector<std::uint32_t>> buckets {};
    std::vector<Position> positions {};
    std::vector<std::uint64_t> freeBits {};
    std::uint32_t freeCount { 0 };
};

} // namespace wasabiroad::routing
