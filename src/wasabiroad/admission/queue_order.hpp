#pragma once

#include "wasabiroad/admission/work_class.hpp"
#include "wasabiroad/model/policy.hpp"

#include <compare>
#include <cstdint>

namespace wasabiroad::admission {

/** @brief What the queue policy knows of the first request of a lane. */
struct QueueCandidate {
    const WorkClass workClass { WorkClass::Short };
    const bool atShare { false };
    /** @brief Short requests that were granted a slot while this one was the first to be served of its lane.
     */
    const std::uint32_t overtakenBy { 0 };
    /** @brief Position in the order of arrival. */
    const std::uint64_t order { 0 };

    friend auto operator<=>(const QueueCandidate&, const QueueCandidate&) = default;
};

/** @brief Rank of a waiting request; the lowest is served first. */
struct Rank {
    bool atShare { false };
    /** @brief 0 for a long request at its bound, 1 for short, 2 for long. */
    std::uint8_t priority { 0 };
    std::uint64_t order { 0 };

    friend auto operator<=>(const Rank&, const Rank&) = default;
};

/** @return The class of a request with an estimated run time, both in ms. */
WorkClass classify(const model::QueuePolicy& policy, double estimate, double longThreshold);

/** @return Whether a long request has been overtaken as often as allowed and takes any free slot. */
bool atOvertakeBound(const model::QueuePolicy& policy, const QueueCandidate& candidate);

/** @return The rank of a waiting request. */
Rank rank(const model::QueuePolicy& policy, const QueueCandidate& candidate);

/**
 * @return Slots of a pool that long work may hold.
 * @param slots Usable slots of the pool.
 * @param shortExpected Whether short work arrived recently; without it no slot is kept free.
 */
std::uint32_t longLimit(const model::QueuePolicy& policy, std::uint32_t slots, bool shortExpected);

} // namespace wasabiroad::admission
