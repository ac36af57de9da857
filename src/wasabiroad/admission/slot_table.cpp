#include "wasabiroad/admission/slot_table.hpp"

#include "wasabiroad/admission/queue_order.hpp"

#include <algorithm>
#include <map>

namespace wasabiroad::admission {

using routing::EjectionState;

namespace {

/** Time without short work after which long work may use all slots of a pool. */
constexpr kernel::Duration shortIdleTimeout { 1000 };

/** At most 1 in this number of upstreams of a pool is ejected, so that faulty callers cannot empty it. */
constexpr std::uint32_t maxEjectedDivisor = 3;

} // namespace

void SlotTable::update(const model::RoutingSnapshot& snapshot)
{
    this->groups.clear();
    this->freeByGroup.clear();
    this->membersByGroup.clear();
    for (auto& pool : this->poolStates) {
        pool = Pool { .lastShortArrival = pool.lastShortArrival };
    }
    for (auto& upstream : this->upstreams) {
        upstream.snapshotIndex.reset();
    }
    for (std::uint32_t snapshotIndex = 0; snapshotIndex < snapshot.upstreams.size(); ++snapshotIndex) {
        const auto& view = snapshot.upstreams[snapshotIndex];
        applyView(findOrAddUpstream(view.vm), view, snapshotIndex);
    }
    std::map<Group, std::uint32_t> groupIndices;
    for (std::uint32_t index = 0; index < this->upstreams.size(); ++index) {
        auto& upstream = this->upstreams[index];
        if (!upstream.snapshotIndex) {
            upstream.leaving = false;
            continue;
        }
        const Group key { upstream.pool, snapshot.upstreams[*upstream.snapshotIndex].sameZone,
            upstream.accelerators, upstream.memory };
        const auto [found, added]
            = groupIndices.try_emplace(key, static_cast<std::uint32_t>(this->groups.size()));
        if (added) {
            this->groups.push_back(key);
            this->freeByGroup.emplace_back();
            this->membersByGroup.emplace_back();
        }
        upstream.group = found->second;
        upstream.member = this->freeByGroup[upstream.group].add();
        this->membersByGroup[upstream.group].push_back(index);
        updateAvailability(upstream);
    }
    removeUnused();
}

void SlotTable::applyView(std::uint32_t index, const model::UpstreamView& view, std::uint32_t snapshotIndex)
{
    auto& upstream = this->upstreams[index];
    upstream.snapshotIndex = snapshotIndex;
    upstream.pool = findOrAddPool(view.pool);
    upstream.slots = std::min(view.slots, view.connections);
    upstream.memory = view.memory;
    upstream.accelerators = view.accelerators;
    upstream.accepting = view.accepting;
    upstream.leaving = upstream.leaving && view.accepting;
    auto& pool = this->poolStates[upstream.pool];
    ++pool.upstreams;
    pool.ejected += upstream.health.ejectionState() == EjectionState::Admitted ? 0 : 1;
    pool.usableSlots += isUsable(upstream) ? upstream.slots : 0;
    pool.longRunning += upstream.longRunning;
}

bool SlotTable::markLeaving(const model::VmId& vm)
{
    const auto found = this->upstreamIndices.find(vm);
    if (found == this->upstreamIndices.end() || this->upstreams[found->second].leaving) {
        return false;
    }
    auto& upstream = this->upstreams[found->second];
    this->poolStates[upstream.pool].usableSlots -= isUsable(upstream) ? upstream.slots : 0;
    upstream.leaving = true;
    updateAvailability(upstream);
    return true;
}

void SlotTable::removeUnused()
{
    for (std::uint32_t index = 0; index < this->upstreams.size(); ++index) {
        auto& upstream = this->upstreams[index];
        const bool inUse
            = upstream.snapshotIndex || upstream.outstanding > 0 || upstream.vm == model::VmId {};
        if (!inUse) {
            this->upstreamIndices.erase(upstream.vm);
            upstream = Upstream {};
            this->freeIndices.push_back(index);
        }
    }
}

std::uint32_t SlotTable::findOrAddUpstream(const model::VmId& vm)
{
    const auto found = this->upstreamIndices.find(vm);
    if (found != this->upstreamIndices.end()) {
        return found->second;
    }
    auto index = static_cast<std::uint32_t>(this->upstreams.size());
    if (this->freeIndices.empty()) {
        this->upstreams.emplace_back();
    } else {
        index = this->freeIndices.back();
        this->freeIndices.pop_back();
    }
    this->upstreams[index].vm = vm;
    this->upstreamIndices.emplace(vm, index);
    return index;
}

std::uint32_t SlotTable::findOrAddPool(const model::PoolId& pool)
{
    const auto [found, added]
        = this->poolIndices.try_emplace(pool, static_cast<std::uint32_t>(this->poolStates.size()));
    if (added) {
        this->poolStates.emplace_back();
    }
    return found->second;
}

Route SlotTable::route(const model::ServiceView& view, const Requirement& requirement) const
{
    std::vector<std::uint32_t> lenders;
    for (const auto& id : view.service.borrowFrom) {
        const auto found = this->poolIndices.find(id);
        if (found != this->poolIndices.end() && id != view.service.pool) {
            lenders.push_back(found->second);
        }
    }
    const auto own = this->poolIndices.find(view.service.pool);
    Route tiers;
    for (const bool sameZone : { true, false }) {
        if (own != this->poolIndices.end()) {
            addTier(tiers, own->second, sameZone, requirement, sameZone ? "own-pool" : "own-pool-other-zone");
        }
        for (const auto lender : lenders) {
            addTier(tiers, lender, sameZone, requirement, sameZone ? "borrowed" : "borrowed-other-zone");
        }
    }
    return tiers;
}

void SlotTable::addTier(Route& tiers, std::uint32_t pool, bool sameZone, const Requirement& requirement,
    const std::string& reason) const
{
    std::vector<std::uint32_t> eligible;
    for (std::uint32_t index = 0; index < this->groups.size(); ++index) {
        const auto& group = this->groups[index];
        if (group.pool == pool && group.sameZone == sameZone && group.memory >= requirement.memory
            && group.accelerators >= requirement.accelerators) {
            eligible.push_back(index);
        }
    }
    std::ranges::sort(eligible, {}, [this](auto index) { return this->groups[index]; });
    if (!eligible.empty()) {
        tiers.emplace_back(Tier { pool, reason, std::move(eligible) });
    }
}

std::optional<std::uint32_t> SlotTable::findTier(
    const Route& route, const model::QueuePolicy& policy, bool excludeReserved, kernel::Instant now) const
{
    for (std::uint32_t index = 0; index < route.size(); ++index) {
        const auto& tier = route[index];
        const auto& pool = this->poolStates[tier.pool];
        if (pool.availableUpstreams == 0) {
            continue;
        }
        if (excludeReserved) {
            const bool shortExpected
                = pool.lastShortArrival && now - *pool.lastShortArrival < shortIdleTimeout;
            if (pool.longRunning >= longLimit(policy, pool.usableSlots, shortExpected)) {
                continue;
            }
        }
        if (freeUpstreams(tier) > 0) {
            return index;
        }
    }
    return std::nullopt;
}

std::uint32_t SlotTable::reservedSlots(std::uint32_t pool, const model::QueuePolicy& policy) const
{
    const auto usable = this->poolStates[pool].usableSlots;
    return usable - longLimit(policy, usable, true);
}

std::uint32_t SlotTable::freeUpstreams(const Tier& tier) const
{
    std::uint32_t count = 0;
    for (const auto group : tier.groups) {
        count += this->freeByGroup[group].count();
    }
    return count;
}

std::optional<std::uint32_t> SlotTable::choose(
    const Tier& tier, const model::PlacementPolicy& policy, std::uint64_t draw, std::uint32_t avoid)
{
    std::optional<routing::GroupMember> avoided;
    if (avoid < this->upstreams.size() && this->upstreams[avoid].snapshotIndex) {
        avoided.emplace(routing::GroupMember { this->upstreams[avoid].group, this->upstreams[avoid].member });
    }
    const auto chosen = routing::chooseUpstream(policy, this->freeByGroup, tier.groups, draw, avoided);
    return chosen ? std::optional { this->membersByGroup[chosen->group][chosen->member] } : std::nullopt;
}

void SlotTable::take(std::uint32_t index, WorkClass workClass)
{
    auto& upstream = this->upstreams[index];
    ++upstream.outstanding;
    if (workClass == WorkClass::Long) {
        addLongRunning(index);
    }
    updateAvailability(upstream);
}

void SlotTable::release(std::uint32_t index, WorkClass workClass)
{
    auto& upstream = this->upstreams[index];
    --upstream.outstanding;
    if (workClass == WorkClass::Long) {
        --upstream.longRunning;
        if (upstream.snapshotIndex) {
            --this->poolStates[upstream.pool].longRunning;
        }
    }
    updateAvailability(upstream);
}

void SlotTable::addLongRunning(std::uint32_t index)
{
    auto& upstream = this->upstreams[index];
    ++upstream.longRunning;
    if (upstream.snapshotIndex) {
        ++this->poolStates[upstream.pool].longRunning;
    }
}

bool SlotTable::meets(std::uint32_t index, const Requirement& requirement) const
{
    const auto& upstream = this->upstreams[index];
    return upstream.memory >= requirement.memory && upstream.accelerators >= requirement.accelerators;
}

void SlotTable::recordSuccess(std::uint32_t index, kernel::Instant now)
{
    auto& upstream = this->upstreams[index];
    auto health = upstream.health;
    health.recordSuccess(now);
    setHealth(upstream, health);
}

void SlotTable::recordFailure(std::uint32_t index, kernel::Instant now)
{
    auto& upstream = this->upstreams[index];
    auto health = upstream.health;
    health.recordFailure();
    const auto& pool = this->poolStates[upstream.pool];
    const bool countedAsEjected = health.ejectionState() != EjectionState::Admitted;
    if (upstream.snapshotIndex && health.shouldEject()
        && (countedAsEjected || pool.ejected + 1 <= pool.upstreams / maxEjectedDivisor)) {
        upstream.ejectedUntil = health.eject(now);
        this->ejectionEnds.emplace(upstream.ejectedUntil, index);
    }
    setHealth(upstream, health);
}

bool SlotTable::startProbes(kernel::Instant now)
{
    bool any = false;
    while (!this->ejectionEnds.empty() && this->ejectionEnds.begin()->first <= now) {
        const auto [until, index] = *this->ejectionEnds.begin();
        this->ejectionEnds.erase(this->ejectionEnds.begin());
        auto& upstream = this->upstreams[index];
        // The upstream may have recovered, left or been ejected again since then.
        if (upstream.health.ejectionState() == EjectionState::Ejected && upstream.ejectedUntil == until) {
            upstream.health.allowProbe();
            updateAvailability(upstream);
            any = true;
        }
    }
    return any;
}

bool SlotTable::isUsable(const Upstream& upstream) const
{
    return upstream.snapshotIndex && upstream.accepting && !upstream.leaving
        && upstream.health.ejectionState() == EjectionState::Admitted;
}

void SlotTable::setHealth(Upstream& upstream, const routing::UpstreamHealth& health)
{
    auto& pool = this->poolStates[upstream.pool];
    const bool usableBefore = isUsable(upstream);
    const bool admittedBefore = upstream.health.ejectionState() == EjectionState::Admitted;
    upstream.health = health;
    if (!upstream.snapshotIndex) {
        return;
    }
    const bool admittedAfter = health.ejectionState() == EjectionState::Admitted;
    pool.ejected += admittedBefore && !admittedAfter ? 1U : 0U;
    pool.ejected -= !admittedBefore && admittedAfter ? 1U : 0U;
    pool.usableSlots += !usableBefore && isUsable(upstream) ? upstream.slots : 0U;
    pool.usableSlots -= usableBefore && !isUsable(upstream) ? upstream.slots : 0U;
    updateAvailability(upstream);
}

void SlotTable::updateAvailability(const Upstream& upstream)
{
    if (!upstream.snapshotIndex) {
        return;
    }
    const auto limit = [&]() -> std::uint32_t {
        switch (upstream.health.ejectionState()) {
        case EjectionState::Admitted:
            return upstream.slots;
        case EjectionState::Probing:
            return std::min(1U, upstream.slots);
        case EjectionState::Ejected:
            return 0;
        }
        return 0;
    }();
    auto& group = this->freeByGroup[upstream.group];
    auto& pool = this->poolStates[upstream.pool];
    pool.availableUpstreams -= group.count();
    if (upstream.accepting && !upstream.leaving && upstream.outstanding < limit) {
        group.markFree(upstream.member, upstream.outstanding);
    } else {
        group.markUnavailable(upstream.member);
    }
    pool.availableUpstreams += group.count();
}

} // namespace wasabiroad::admission
