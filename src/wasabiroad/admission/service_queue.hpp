#pragma once

#include "wasabiroad/admission/lane.hpp"
#include "wasabiroad/admission/queue_order.hpp"
#include "wasabiroad/admission/route.hpp"
#include "wasabiroad/admission/slot_table.hpp"

#include <array>
#include <optional>
#include <vector>

namespace wasabiroad::admission {

/** @brief A queued request and the tier of its route that has a free slot for it. */
struct Choice {
    const RecordIndex record { noRecord };
    const Rank rank {};
    const std::uint32_t tier { 0 };

    friend auto operator<=>(const Choice&, const Choice&) = default;
};

/** @brief Part of a queue that takes part in a choice. */
enum class ServePass : std::uint8_t {
    /** @brief Short requests, and long ones that have been overtaken as often as allowed. */
    Urgent,
    All,
};

/**
 * @brief Queue of one service: a short and a long lane for each requirement of its operations.
 *
 * Requests with different requirements have lanes of their own, so that one that waits for an
 * accelerator does not block others.
 */
class ServiceQueue {
public:
    /** @return The pair of lanes of a requirement; it is added when it is new. */
    std::uint32_t lanePairFor(const Requirement& requirement);

    /** @brief Replaces all routes by those of a new snapshot. */
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
     * @return The request that the policy serves next, among those that a free slot exists for.
     * @param part Whether long requests below their bound take part.
     */
    std::optional<Choice> choose(
        const model::QueuePolicy& policy, const SlotTable& slots, ServePass pass, kernel::Instant now) const;

    /** @brief Removes a request that gets a slot. */
    void grant(RequestTable& table, RecordIndex index);

    /** @brief Counts a short request that gets a slot which waiting long requests could have used. */
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
     * @return Expected wait in ms of a request that joins the lanes of a class.
     * @param reserved Slots of the own pool that long work leaves to short work.
     */
    double expectedWait(WorkClass workClass, std::uint32_t reserved) const;

    /** @brief Counts a running request of a class, or with -1 the end of one. */
    void adjustRunning(WorkClass workClass, int change);

private:
    struct LanePair {
        Requirement requirement {};
        Route route {};
        std::array<Lane, 2> lanes {};
        /** @brief Short requests granted since the last long one while its first one waited. */
        std::uint32_t overtaken { 0 };
    };

    Lane& laneOf(const Record& record)
    {
        return this->lanePairs[record.lanePair].lanes[static_cast<std::size_t>(record.workClass)];
    }
    void adjustCounts(const Record& record, int change);

    std::vector<LanePair> lanePairs {};
    std::array<std::size_t, 2> queuedCounts {};
    /** @brief Sum of the estimates of queued requests by class. */
    std::array<double, 2> queuedWork {};
    std::array<std::uint32_t, 2> running {};
};

} // namespace wasabiroad::admission
