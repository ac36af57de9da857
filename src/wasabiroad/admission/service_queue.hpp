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
enum class Part : std::uint8_t {
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
    std::uint32_t laneOf(const Requirement& requirement);

    /** @brief Replaces all routes by those of a new snapshot. */
    template <typename RouteOf> void updateRoutes(RouteOf routeOf)
    {
        for (auto& pair : this->pairs) {
            pair.route = routeOf(pair.requirement);
        }
    }

    const Route& route(std::uint32_t lane) const { return this->pairs[lane].route; }

    void push(RequestTable& table, RecordIndex index, Lane::End end, const TeamShares& shares);
    void erase(RequestTable& table, RecordIndex index);

    /**
     * @return The request that the policy serves next, among those that a free slot exists for.
     * @param part Whether long requests below their bound take part.
     */
    std::optional<Choice> choose(
        const model::QueuePolicy& policy, const SlotTable& slots, Part part, kernel::Instant now) const;

    /** @brief Removes a request that gets a slot. */
    void grant(RequestTable& table, RecordIndex index);

    /** @brief Counts a short request that gets a slot which waiting long requests could have used. */
    void overtake(std::uint64_t order, std::uint32_t upstream, const SlotTable& slots);

    void setOverShare(std::uint32_t team, bool overShare);
    void refresh(const TeamShares& shares);

    /** @return Number of queued requests. */
    std::size_t size() const { return this->counts[0] + this->counts[1]; }
    std::size_t size(WorkClass workClass) const { return this->counts[static_cast<std::size_t>(workClass)]; }

    /** @return Expected wait in ms of a request that joins the lanes of a class. */
    double expectedWait(WorkClass workClass) const;

    /** @brief Counts a running request of a class, or with -1 the end of one. */
    void countRunning(WorkClass workClass, int change);

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
        return this->pairs[record.lane].lanes[static_cast<std::size_t>(record.workClass)];
    }
    void count(const Record& record, int change);

    std::vector<LanePair> pairs {};
    std::array<std::size_t, 2> counts {};
    /** @brief Sum of the estimates of queued requests by class. */
    std::array<double, 2> queuedWork {};
    std::array<std::uint32_t, 2> running {};
};

} // namespace wasabiroad::admission
