#pragma once

#include "wasabiroad/admission/work_class.hpp"
#include "wasabiroad/model/policy.hpp"

#include <compare>
#include <cstdint>

namespace wasabiroad::admission {

/** @brief First request of a lane, as input of the queue policy. */
struct QueueCandidate {
    const WorkClass workClass { WorkClass::Short };
    const bool atShare { false };
    /** @brief Short requests that were granted a slot while this one was the first of its lane. */
    const std::uint32_t overtakenBy { 0 };
    /** @brief Position in the order of arrival. */
    const std::uint64_t order { 0 };

    friend auto operator<=>(const QueueCandidate&, const QueueCandidate&) = default;
};

/** @brief Sort key of a queued request; the lowest is served first. */
struct Rank {
    bool atShare { false };
    /**
     * @brief With `ShortFirst` 0 for a long request at its overtake bound, 1 for short, 2 for long; with
     * `FirstComeFirstServed` always 0.
     */
    std::uint8_t priority { 0 };
    std::uint64_t order { 0 };

    friend auto operator<=>(const Rank&, const Rank&) = default;
};

/**
 * @return The class of a request.
 * @param estimate Estimated run time in ms.
 * @param longThreshold Run time in ms above which work is long.
 */
WorkClass classify(const model::QueuePolicy& policy, double estimate, double longThreshold);

/** @return Whether a long request has been overtaken as often as allowed, so it may take any free slot. */
bool atOvertakeBound(const model::QueuePolicy& policy, const QueueCandidate& candidate);

/** @return The rank of the first request of a lane. */
Rank rank(const model::QueuePolicy& policy, const QueueCandidate& candidate);

/**
 * @return Slots of a pool that long work may hold.
 * @param slots Usable slots of the pool.
 * @param shortExpected Whether short work arrived recently; if not, no slot is reserved for it.
 */
std::uint32_t longLimit(const model::QueuePolicy& policy, std::uint32_t slots, bool shortExpected);

} // namespace wasabiroad::admission
