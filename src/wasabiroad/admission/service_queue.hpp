#pragma once

#include "wasabiroad/admission/lane.hpp"
#include "wasabiroad/admission/queue_order.hpp"
#include "wasabiroad/admission/route.hpp"
#include "wasabiroad/admission/slot_table.hpp"

#include <array>
#include <optional>
#include <vector>

namespace wasabiroad::admission {

/** @brief A queued request, and the index of the tier of its route that has a free slot for it. */
struct Choice {
    const RecordIndex record { noRecord };
    const Rank rank {};
    const std::uint32_t tier { 0 };

    friend auto operator<=>(const Choice&, const Choice&) = default;
};

/** @brief Requests that are considered in one pass over the queues. */
enum class ServePass : std::uint8_t {
    /** @brief Short requests, and long ones at their overtake bound. */
    Urgent,
    All,
};

/**
 * @brief Queue of one service: a lane for short and one for long work per requirement of its operations.
 *
 * Requests with different requirements are in separate lanes, so that one that waits for an accelerator
 * does not block the others.
 */
class ServiceQueue {
public:
    /** @return Index of the pair of lanes of a requirement, which is added if it is missing. */
    std::uint32_t lanePairFor(const Requirement& requirement);

    /** @brief Replaces the routes of all requirements by those of a new snapshot. */
    template <typename RouteOf> void updateRoutes(RouteOf routeOf)
    {
        for (auto& pair : this->lanePairs) {
            pair.route = routeOf(pair.requirement);
        }
    }

    const Route& route(std::uint32_t lanePair) const { return this->lanePairs[lanePair].route; }

    void push(RequestTable& table, RecordIndex index, Lane::End end, const TeamShares& shares);
    void erase(RequestTable& table, RecordIndex index);

    /**
     * @return The request that the policy serves next, among those for which a slot is free.
     * @param pass Whether long requests below their overtake bound are considered.
     */
    std::optional<Choice> choose(
        const model::QueuePolicy& policy, const SlotTable& slots, ServePass pass, kernel::Instant now) const;

    /** @brief Removes a request that gets a slot. */
    void grant(RequestTable& table, RecordIndex index);

    /**
     * @brief Counts the grant of a short request as an overtake for the long requests that are first in their
     * lanes, arrived earlier and could have used the slot.
     * @param order Position of the short request in the order of arrival.
     * @param upstream Upstream that the slot belongs to.
     */
    void recordOvertake(std::uint64_t order, std::uint32_t upstream, const SlotTable& slots);

    void setAtShare(std::uint32_t team, bool atShare);
    void updateShares(const TeamShares& shares);

    /** @return Number of queued requests. */
    std::size_t size() const { return this->queuedCounts[0] + this->queuedCounts[1]; }
    std::size_t size(WorkClass workClass) const
    {
        return this->queuedCounts[static_cast<std::size_t>(workClass)];
    }

    /**
     * @return Expected wait in ms of a request that is added to the lanes of a class.
     * @param reserved Slots of the service's own pool that are reserved for short work.
     */
    double expectedWait(WorkClass workClass, std::uint32_t reserved) const;

    /** @brief Adds `change` (1 or -1) to the number of running requests of a class. */
    void adjustRunning(WorkClass workClass, int change);

private:
    struct LanePair {
        Requirement requirement {};
        Route route {};
        std::array<Lane, 2> lanes {};
        /** @brief Short requests that have overtaken the first long one; reset when a long one is granted. */
        std::uint32_t overtaken { 0 };
    };

    Lane& laneOf(const Record& record)
    {
        return this->lanePairs[record.lanePair].lanes[static_cast<std::size_t>(record.workClass)];
    }
    void adjustCounts(const Record& record, int change);

    std::vector<LanePair> lanePairs {};
    std::array<std::size_t, 2> queuedCounts {};
    /** @brief Sum of the estimated run times of queued requests in ms, by class. */
    std::array<double, 2> queuedWork {};
    std::array<std::uint32_t, 2> running {};
};

} // namespace wasabiroad::admission
