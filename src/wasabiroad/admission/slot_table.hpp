#pragma once

#include "wasabiroad/admission/route.hpp"
#include "wasabiroad/admission/work_class.hpp"
#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/routing_snapshot.hpp"
#include "wasabiroad/routing/placement.hpp"
#include "wasabiroad/routing/upstream_health.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wasabiroad::admission {

/**
 * @brief Slots of all upstreams in one daemon: how many are held, and which upstreams have a free one.
 *
 * Indices of upstreams and pools stay valid while requests run there; groups are rebuilt with each
 * snapshot.
 */
class SlotTable {
public:
    /** @brief Applies a snapshot; running requests keep their slots. */
    void update(const model::RoutingSnapshot& snapshot);

    /**
     * @brief Marks an upstream as leaving: it gets no request until a snapshot has shown it as not accepting
     * or no longer lists it.
     * @return Whether the upstream is known and was not marked before.
     */
    bool markLeaving(const model::VmId& vm);

    /**
     * @return Route of a service: the tiers of upstreams that meet the requirement, in order of preference.
     * It is empty when no VM of the pools meets it.
     */
    Route route(const model::ServiceView& view, const Requirement& requirement) const;

    /** @return Index of a pool, which is added if it is missing. */
    std::uint32_t findOrAddPool(const model::PoolId& pool);

    /** @return Number of pools. */
    std::size_t pools() const { return this->poolStates.size(); }

    /** @brief Records the arrival of short work for a service of the pool. */
    void recordShortArrival(std::uint32_t pool, kernel::Instant now)
    {
        this->poolStates[pool].lastShortArrival = now;
    }

    /**
     * @return Index of the first tier of a route with a free slot.
     * @param excludeReserved Whether to exclude the slots that are reserved for short work.
     */
    std::optional<std::uint32_t> findTier(const Route& route, const model::QueuePolicy& policy,
        bool excludeReserved, kernel::Instant now) const;

    /**
     * @return The upstream that the policy chooses among those of a tier with a free slot.
     * @param draw Random number for this decision.
     * @param avoid Upstream to take only if no other in its group is free; UINT32_MAX for none.
     */
    std::optional<std::uint32_t> choose(
        const Tier& tier, const model::PlacementPolicy& policy, std::uint64_t draw, std::uint32_t avoid);

    /** @return Whether an upstream of the pool has a free slot. */
    bool hasFreeSlot(std::uint32_t pool) const { return this->poolStates[pool].availableUpstreams > 0; }

    /**
     * @return Number of slots of a pool that are reserved for short work. `findTier` applies the reserve only
     * if short work arrived recently.
     */
    std::uint32_t reservedSlots(std::uint32_t pool, const model::QueuePolicy& policy) const;

    /** @return Number of upstreams of a tier with a free slot. */
    std::uint32_t freeUpstreams(const Tier& tier) const;

    void take(std::uint32_t upstream, WorkClass workClass);
    void release(std::uint32_t upstream, WorkClass workClass);

    /**
     * @brief Adds a running long request. `take` calls this for a long one; for a short one that has run too
     * long, the dispatcher does.
     */
    void addLongRunning(std::uint32_t upstream);

    /** @return Whether the VM meets a requirement. */
    bool meets(std::uint32_t upstream, const Requirement& requirement) const;

    /** @return Index into the upstreams of the snapshot; the current snapshot must list the upstream. */
    std::uint32_t snapshotIndex(std::uint32_t upstream) const
    {
        return *this->upstreams[upstream].snapshotIndex;
    }

    std::uint32_t poolOf(std::uint32_t upstream) const { return this->upstreams[upstream].pool; }

    /** @brief Records a success, which ends an ejection. */
    void recordSuccess(std::uint32_t upstream, kernel::Instant now);

    /**
     * @brief Records a failure that is attributed to the upstream. Ejects the upstream if it has failed often
     * enough and its pool is below its limit of ejected upstreams.
     */
    void recordFailure(std::uint32_t upstream, kernel::Instant now);

    /** @return The last success on an upstream, of any operation. */
    std::optional<kernel::Instant> lastSuccess(std::uint32_t upstream) const
    {
        return this->upstreams[upstream].health.lastSuccess();
    }

    /** @brief Allows probes of upstreams whose ejection has ended. @return Whether there are any. */
    bool startProbes(kernel::Instant now);

private:
    struct Upstream {
        model::VmId vm {};
        /** @brief Index into the upstreams of the snapshot; empty when the snapshot does not list the VM. */
        std::optional<std::uint32_t> snapshotIndex {};
        std::uint32_t pool { 0 };
        std::uint32_t group { 0 };
        std::uint32_t member { 0 };
        std::uint32_t slots { 0 };
        std::uint32_t memory { 0 };
        std::uint32_t accelerators { 0 };
        bool accepting { false };
        /** @brief Whether the upstream has announced that it leaves and no snapshot shows it yet. */
        bool leaving { false };
        std::uint32_t outstanding { 0 };
        std::uint32_t longRunning { 0 };
        routing::UpstreamHealth health {};
        kernel::Instant ejectedUntil {};
    };
    struct Pool {
        std::uint32_t upstreams { 0 };
        /** @brief Upstreams that are ejected or being probed. */
        std::uint32_t ejected { 0 };
        /** @brief Slots of upstreams that accept work and are not ejected. */
        std::uint32_t usableSlots { 0 };
        std::uint32_t longRunning { 0 };
        /** @brief Upstreams with a free slot. */
        std::uint32_t availableUpstreams { 0 };
        std::optional<kernel::Instant> lastShortArrival {};
    };
    /** @brief A group of interchangeable upstreams; a tier consists of groups. */
    struct Group {
        std::uint32_t pool { 0 };
        bool sameZone { true };
        std::uint32_t accelerators { 0 };
        std::uint32_t memory { 0 };

        friend auto operator<=>(const Group&, const Group&) = default;
    };

    std::uint32_t findOrAddUpstream(const model::VmId& vm);
    void applyView(std::uint32_t upstream, const model::UpstreamView& view, std::uint32_t snapshotIndex);
    void removeUnused();
    bool isUsable(const Upstream& upstream) const;
    void setHealth(Upstream& upstream, const routing::UpstreamHealth& health);
    void updateAvailability(const Upstream& upstream);
    void addTier(Route& tiers, std::uint32_t pool, bool sameZone, const Requirement& requirement,
        const std::string& reason) const;

    std::unordered_map<model::VmId, std::uint32_t> upstreamIndices {};
    std::vector<Upstream> upstreams {};
    std::vector<std::uint32_t> freeIndices {};
    std::unordered_map<model::PoolId, std::uint32_t> poolIndices {};
    std::vector<Pool> poolStates {};
    std::vector<Group> groups {};
    std::vector<routing::FreeUpstreams> freeByGroup {};
    std::vector<std::vector<std::uint32_t>> membersByGroup {};
    std::set<std::pair<kernel::Instant, std::uint32_t>> ejectionEnds {};
};

} // namespace wasabiroad::admission
