#include "wasabiroad/admission/slot_table.hpp"

#include "wasabiroad/admission/queue_order.hpp"

#include <algorithm>
#include <map>

namespace wasabiroad::admission {

using routing::Admittance;

namespace {

/** Without short work for this long, long work may use all slots of a pool. */
constexpr kernel::Duration shortIdle { 1000 };

/** At most this part of a pool is ejected at once, so that a fault of its callers cannot empty it. */
constexpr std::uint32_t ejectedPart = 3;

} // namespace

void SlotTable::update(const model::RoutingSnapshot& snapshot)
{
    this->groups.clear();
    this->free.clear();
    this->members.clear();
    for (auto& pool : this->poolStates) {
        pool = Pool { .lastShort = pool.lastShort };
    }
    for (auto& upstream : this->upstreams) {
        upstream.position.reset();
    }
    for (std::uint32_t position = 0; position < snapshot.upstreams.size(); ++position) {
        const auto& view = snapshot.upstreams[position];
        join(indexOf(view.vm), view, position);
    }
    std::map<Group, std::uint32_t> groupIndices;
    for (std::uint32_t index = 0; index < this->upstreams.size(); ++index) {
        auto& upstream = this->upstreams[index];
        if (!upstream.position) {
            continue;
        }
        const Group key { upstream.pool, snapshot.upstreams[*upstream.position].sameZone,
            upstream.accelerators, upstream.memory };
        const auto [found, added]
            = groupIndices.try_emplace(key, static_cast<std::uint32_t>(this->groups.size()));
        if (added) {
            this->groups.push_back(key);
            this->free.emplace_back();
            this->members.emplace_back();
        }
        upstream.group = found->second;
        upstream.member = this->free[upstream.group].add();
        this->members[upstream.group].push_back(index);
        refresh(upstream);
    }
    removeIdle();
}

void SlotTable::join(std::uint32_t index, const model::UpstreamView& view, std::uint32_t position)
{
    auto& upstream = this->upstreams[index];
    upstream.position = position;
    upstream.pool = poolIndex(view.pool);
    upstream.slots = std::min(view.slots, view.connections);
    upstream.memory = view.memory;
    upstream.accelerators = view.accelerators;
    upstream.leaving = upstream.leaving && view.accepting;
    upstream.accepting = view.accepting && !upstream.leaving;
    auto& pool = this->poolStates[upstream.pool];
    ++pool.upstreams;
    pool.ejected += upstream.health.admittance() == Admittance::Full ? 0 : 1;
    pool.usable += usable(upstream) ? upstream.slots : 0;
    pool.longRunning += upstream.longRunning;
}

bool SlotTable::leaving(const model::VmId& vm)
{
    const auto found = this->upstreamIndices.find(vm);
    if (found == this->upstreamIndices.end() || this->upstreams[found->second].leaving) {
        return false;
    }
    auto& upstream = this->upstreams[found->second];
    if (upstream.position && usable(upstream)) {
        this->poolStates[upstream.pool].usable -= upstream.slots;
    }
    upstream.leaving = true;
    upstream.accepting = false;
    refresh(upstream);
    return true;
}

void SlotTable::removeIdle()
{
    for (std::uint32_t index = 0; index < this->upstreams.size(); ++index) {
        auto& upstream = this->upstreams[index];
        const bool inUse = upstream.position || upstream.outstanding > 0 || upstream.vm == model::VmId {};
        if (!inUse) {
            this->upstreamIndices.erase(upstream.vm);
            upstream = Upstream {};
            this->freeIndices.push_back(index);
        }
    }
}

std::uint32_t SlotTable::indexOf(const model::VmId& vm)
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

std::uint32_t SlotTable::poolIndex(const model::PoolId& pool)
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
    const Route& route, const model::QueuePolicy& policy, bool limited, kernel::Instant now) const
{
    for (std::uint32_t position = 0; position < route.size(); ++position) {
        const auto& tier = route[position];
        const auto& pool = this->poolStates[tier.pool];
        if (limited) {
            const bool shortExpected = pool.lastShort && now - *pool.lastShort < shortIdle;
            if (pool.longRunning >= longLimit(policy, pool.usable, shortExpected)) {
                continue;
            }
        }
        if (freeUpstreams(tier) > 0) {
            return position;
        }
    }
    return std::nullopt;
}

std::uint32_t SlotTable::freeUpstreams(const Tier& tier) const
{
    std::uint32_t count = 0;
    for (const auto group : tier.groups) {
        count += this->free[group].count();
    }
    return count;
}

std::optional<std::uint32_t> SlotTable::choose(
    const Tier& tier, const model::PlacementPolicy& policy, std::uint64_t draw, std::uint32_t avoid)
{
    std::optional<routing::Place> avoided;
    if (avoid < this->upstreams.size() && this->upstreams[avoid].position) {
        avoided.emplace(routing::Place { this->upstreams[avoid].group, this->upstreams[avoid].member });
    }
    const auto place = routing::place(policy, this->free, tier.groups, draw, avoided);
    return place ? std::optional { this->members[place->group][place->member] } : std::nullopt;
}

void SlotTable::take(std::uint32_t index, WorkClass workClass)
{
    auto& upstream = this->upstreams[index];
    ++upstream.outstanding;
    if (workClass == WorkClass::Long) {
        reclassify(index);
    }
    refresh(upstream);
}

void SlotTable::release(std::uint32_t index, WorkClass workClass)
{
    auto& upstream = this->upstreams[index];
    --upstream.outstanding;
    if (workClass == WorkClass::Long) {
        --upstream.longRunning;
        if (upstream.position) {
            --this->poolStates[upstream.pool].longRunning;
        }
    }
    refresh(upstream);
}

void SlotTable::reclassify(std::uint32_t index)
{
    auto& upstream = this->upstreams[index];
    ++upstream.longRunning;
    if (upstream.position) {
        ++this->poolStates[upstream.pool].longRunning;
    }
}

bool SlotTable::meets(std::uint32_t index, const Requirement& requirement) const
{
    const auto& upstream = this->upstreams[index];
    return upstream.memory >= requirement.memory && upstream.accelerators >= requirement.accelerators;
}

void SlotTable::succeeded(std::uint32_t index, kernel::Instant now)
{
    auto& upstream = this->upstreams[index];
    auto health = upstream.health;
    health.succeeded(now);
    setHealth(upstream, health);
}

void SlotTable::failed(std::uint32_t index, kernel::Instant now)
{
    auto& upstream = this->upstreams[index];
    auto health = upstream.health;
    health.failed();
    const auto& pool = this->poolStates[upstream.pool];
    const bool counted = health.admittance() != Admittance::Full;
    if (upstream.position && health.shouldEject()
        && (counted || pool.ejected + 1 <= pool.upstreams / ejectedPart)) {
        upstream.ejectedUntil = health.eject(now);
        this->readmissions.emplace(upstream.ejectedUntil, index);
    }
    setHealth(upstream, health);
}

bool SlotTable::readmit(kernel::Instant now)
{
    bool any = false;
    while (!this->readmissions.empty() && this->readmissions.begin()->first <= now) {
        const auto [until, index] = *this->readmissions.begin();
        this->readmissions.erase(this->readmissions.begin());
        auto& upstream = this->upstreams[index];
        // The upstream may have recovered, been ejected again or left since the entry was made.
        if (upstream.health.admittance() == Admittance::Ejected && upstream.ejectedUntil == until) {
            upstream.health.allowProbe();
            refresh(upstream);
            any = true;
        }
    }
    return any;
}

bool SlotTable::usable(const Upstream& upstream) const
{
    return upstream.position && upstream.accepting && upstream.health.admittance() == Admittance::Full;
}

void SlotTable::setHealth(Upstream& upstream, const routing::UpstreamHealth& health)
{
    auto& pool = this->poolStates[upstream.pool];
    const bool usableBefore = usable(upstream);
    const bool fullBefore = upstream.health.admittance() == Admittance::Full;
    upstream.health = health;
    if (!upstream.position) {
        return;
    }
    const bool fullAfter = health.admittance() == Admittance::Full;
    pool.ejected += fullBefore && !fullAfter ? 1U : 0U;
    pool.ejected -= !fullBefore && fullAfter ? 1U : 0U;
    pool.usable += !usableBefore && usable(upstream) ? upstream.slots : 0U;
    pool.usable -= usableBefore && !usable(upstream) ? upstream.slots : 0U;
    refresh(upstream);
}

void SlotTable::refresh(const Upstream& upstream)
{
    if (!upstream.position) {
        return;
    }
    const auto limit = [&]() -> std::uint32_t {
        switch (upstream.health.admittance()) {
        case Admittance::Full:
            return upstream.slots;
        case Admittance::Probe:
            return std::min(1U, upstream.slots);
        case Admittance::Ejected:
            return 0;
        }
        return 0;
    }();
    auto& group = this->free[upstream.group];
    if (upstream.accepting && upstream.outstanding < limit) {
        group.offer(upstream.member, upstream.outstanding);
    } else {
        group.withdraw(upstream.member);
    }
}

} // namespace wasabiroad::admission
