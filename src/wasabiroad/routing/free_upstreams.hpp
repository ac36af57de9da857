#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace wasabiroad::routing {

/**
 * @brief Upstreams of one group that have a free slot, indexed by load.
 *
 * A group holds interchangeable upstreams: same pool, same zone preference, same memory and
 * accelerators. Members are numbered from 0. Changes cost O(1), so a placement does not depend on the
 * number of members except for one bit per member in `next`.
 */
class FreeUpstreams {
public:
    /** @brief Adds a member that has no free slot yet. @return Its number. */
    std::uint32_t add();

    /** @brief Records that a member has a free slot and how many requests it runs. */
    void markFree(std::uint32_t member, std::uint32_t outstanding);

    /** @brief Records that a member takes no request now. */
    void markUnavailable(std::uint32_t member);

    /** @return Number of members with a free slot. */
    std::uint32_t count() const { return this->freeCount; }

    /** @return The smallest number of outstanding requests; 0 when there is no free member. */
    std::uint32_t leastLoad() const;

    /** @return Requests that a free member runs. */
    std::uint32_t load(std::uint32_t member) const { return this->positions[member].bucket; }

    /** @return A member with the smallest load; the draw selects among equals, `avoid` only if alone. */
    std::optional<std::uint32_t> leastLoaded(std::uint64_t draw, std::optional<std::uint32_t> avoid) const;

    /** @return The first free member at or after a number, cyclically; `avoid` only if alone. */
    std::optional<std::uint32_t> nextFree(std::uint32_t from, std::optional<std::uint32_t> avoid) const;

    /** @brief Turn of round robin: the member after the one chosen last. */
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
