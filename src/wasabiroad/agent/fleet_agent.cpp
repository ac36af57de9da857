#include "wasabiroad/agent/fleet_agent.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/jobs/codec.hpp"
#include "wasabiroad/kernel/log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wasabiroad::agent {

using kernel::Duration;
using scheduling::WaveStage;

namespace {

/** Interval between reads of the list of VMs, which has a page per `vmsPerTickInterval` VMs. */
constexpr Duration tickInterval { 100 };

/** The interval grows by `tickInterval` per this many VMs, which keeps page reads below 20 per second. */
constexpr std::size_t vmsPerTickInterval = 200;

/** Interval between reads of the reports of drained VMs, while VMs are being drained. */
constexpr Duration drainedReadInterval { 150 };

/** In the first part of a wave, its duration divided by this, pools that need more VMs give only idle ones.
 */
constexpr std::int64_t earlyWaveDivisor = 2;

/** Margin added to the minimum time between orders of two daemons. */
constexpr Duration orderGapMargin { 300 };

/** Maximum time of the drain before a move, and of the move itself; then the VM may be planned again. */
constexpr Duration moveTimeout { 8000 };

/** Time in ms from the plan of a move after which its VM is returned to a pool that needs it, unless an order
 * is under way, unanswered or accepted. */
constexpr Duration returnDelay { 1000 };

/** Maximum age of the view behind a pool report; no VM is moved because of an older one. */
constexpr Duration reportAgeLimit { 2000 };

/** Minimum interval over which the growth of a pool's load is measured. */
constexpr Duration trendInterval { 700 };

/** Load samples further apart than this are not used for the current growth. */
constexpr Duration maxTrendInterval { 3000 };

/** Interval between searches for stale drains; these withhold capacity from tasks. */
constexpr Duration staleDrainInterval { 2000 };

/** Time in ms after which the drain of a wave is logged as overdue; tasks that can be stopped have ended
 * then.
 */
constexpr Duration overdueDrainAge { 8000 };

/** Time in ms after which the drain of a wave is given up if the pool needs VMs. */
constexpr Duration shortPoolDrainLimit { 9000 };

/** The same in ms for any other pool. */
constexpr Duration drainLimit { 18000 };

/** Time in ms for which a pool that needs VMs gives none to waves after a drain that was given up. */
constexpr Duration drainPause { 6000 };

/** Time in ms before a VM whose drain was given up is selected again; doubled with each drain, at most this
 * often. It exceeds `drainPause`, so that the other VMs of the wave have their turn. */
constexpr Duration drainRetryDelay { 12000 };
constexpr std::uint32_t maxDrainDoublings = 4;

/** Consecutive lists without a VM, over 3 s or more, after which it counts as removed. */
constexpr std::uint32_t maxMissedLists = 30;

/** @return Whether the VM runs an upstream, which has to be drained before an order ends its tasks. */
bool runsUpstream(const scheduling::UpstreamId& upstream) { return !upstream.text().empty(); }

} // namespace

FleetAgent::FleetAgent(FleetContext context, ports::Term ownTerm)
    : environment(std::move(context))
    , term(ownTerm)
    , timer(environment.context)
    , drainedTimer(environment.context)
{
}

void FleetAgent::start()
{
    this->termStart = kernel::bootNow();
    loadRecentOrders();
    tick();
    readDrained();
}

void FleetAgent::addWaves(const std::map<std::uint64_t, ports::WaveRequest>& requests)
{
    for (const auto& [number, request] : requests) {
        this->waves.try_emplace(number, Wave { .request = request });
    }
}

bool FleetAgent::mayOrder() const
{
    return !this->closed && this->environment.isLeaseValid() && this->recentOrdersLoaded;
}

bool FleetAgent::mayOrder(const model::VmId& vm) const
{
    return mayOrder()
        && (!this->orderedByPreviousOwners.contains(vm)
            || kernel::bootNow() - this->termStart > this->environment.orderGap + orderGapMargin);
}

ports::Permission FleetAgent::permission()
{
    return [self = shared_from_this()] { return self->mayOrder(); };
}

void FleetAgent::loadRecentOrders()
{
    this->environment.store->read(keys::recentOrders,
        [self = shared_from_this()](const kernel::Expected<std::optional<store::Entry>>& entry) {
            if (self->closed) {
                return;
            }
            if (!entry) {
                kernel::callLater(
                    self->environment.context, tickInterval, [self] { self->loadRecentOrders(); });
                return;
            }
            std::vector<std::string> vms;
            if (*entry) {
                const auto known = jobs::decodeUpstreams((*entry)->value);
                if (!known) {
                    // Without the list, any VM may have a recent order. The next order replaces the entry.
                    kernel::logEvent(
                        "recent-orders-unreadable", { { "revision", (*entry)->revision.value } });
                    kernel::callLater(self->environment.context, self->environment.orderGap + orderGapMargin,
                        [self] { self->recentOrdersLoaded = true; });
                    return;
                }
                vms = *known;
            }
            for (const auto& vm : vms) {
                self->orderedByPreviousOwners.emplace(vm);
                self->orderTimes.emplace(model::VmId { vm }, self->termStart);
            }
            self->recentOrdersLoaded = true;
            kernel::logEvent("recent-orders-loaded", { { "vms", vms.size() }, { "term", self->term.value } });
        });
}

void FleetAgent::sendOrders()
{
    if (this->queuedOrders.empty()) {
        return;
    }
    const auto now = kernel::bootNow();
    const auto vmOf
        = [](const Order& order) { return std::visit([](const auto& kind) { return kind.vm; }, order); };
    std::erase_if(this->orderTimes,
        [&](const auto& entry) { return now - entry.second > this->environment.orderGap + orderGapMargin; });
    for (const auto& order : this->queuedOrders) {
        this->orderTimes.insert_or_assign(vmOf(order), now);
    }
    std::vector<std::string> vms;
    vms.reserve(this->orderTimes.size());
    for (const auto& [vm, at] : this->orderTimes) {
        vms.push_back(vm.text());
    }
    std::vector<store::Put> puts { { keys::recentOrders, jobs::encode(vms) } };
    std::set<std::uint64_t> orderedWaves;
    for (const auto& order : this->queuedOrders) {
        if (const auto* const maintenance = std::get_if<MaintenanceOrder>(&order)) {
            orderedWaves.insert(maintenance->wave);
        }
    }
    for (const auto number : orderedWaves) {
        puts.push_back(unansweredOrdersOf(this->waves.at(number)));
    }
    changeInTerm(std::move(puts), {},
        [self = shared_from_this(), orders = std::exchange(this->queuedOrders, {})](
            const store::ChangeOutcome& outcome) {
            const auto* const recorded = std::get_if<store::Committed>(&outcome);
            const bool sends = recorded != nullptr && self->mayOrder();
            if (!sends) {
                kernel::logEvent("orders-dropped", { { "orders", orders.size() } });
            }
            for (const auto& order : orders) {
                // The revision of the record is above that of each earlier order and below each later term,
                // so an order that is carried out late is fenced by the ones after it.
                std::visit(
                    [&](const auto& kind) {
                        sends ? self->send(kind, { recorded->revision.value }) : self->discardOrder(kind);
                    },
                    order);
            }
        });
}

void FleetAgent::tick()
{
    if (this->closed) {
        return;
    }
    const Duration interval
        = tickInterval * (1 + static_cast<std::int64_t>(this->vmCount / vmsPerTickInterval));
    this->timer.start(interval, [self = shared_from_this()] { self->tick(); });
    if (this->listingVms || !this->environment.isLeaseValid()) {
        return;
    }
    for (auto& [number, wave] : this->waves) {
        if (!wave.loaded && !wave.loading) {
            loadWave(number);
        }
    }
    this->listingVms = true;
    this->lastListRequest = kernel::bootNow();
    this->environment.fleet->listVms(
        [self = shared_from_this()](const kernel::Expected<ports::VmListing>& listing) {
            self->listingVms = false;
            if (self->closed) {
                return;
            }
            if (!listing) {
                kernel::logEvent("vms-not-listed", { { "code", number(listing.error().code) } });
                // A drain withholds capacity, so its end does not depend on the list.
                self->expireMoves();
                self->removeStaleDrains();
                return;
            }
            self->isListComplete = listing->complete;
            self->onVms(listing->vms);
        });
}

void FleetAgent::removeDrain(const model::ServiceId& pool, const model::VmId& vm, store::Revision revision)
{
    // `removeStaleDrains` retries a failed removal.
    changeInTerm({}, { keys::drain(pool, vm), keys::drainedVms + vm.text() },
        [](const store::ChangeOutcome&) {}, { { keys::drain(pool, vm), revision } });
}

bool FleetAgent::isDraining(const model::VmId& vm) const
{
    return this->moves.contains(vm) || std::ranges::any_of(this->waves, [&](const auto& entry) {
        const auto found = entry.second.vms.find(vm);
        return found != entry.second.vms.end() && found->second.stage == WaveStage::Draining;
    });
}

bool FleetAgent::isDraining(const model::ServiceId& pool, const model::VmId& vm) const
{
    const auto move = this->moves.find(vm);
    if (move != this->moves.end() && move->second.order.from == pool) {
        return true;
    }
    return std::ranges::any_of(this->waves, [&](const auto& entry) {
        const auto found = entry.second.vms.find(vm);
        // The pool of a VM that a previous owner drained is not known until the next list of VMs.
        return found != entry.second.vms.end() && found->second.stage == WaveStage::Draining
            && (found->second.pool == pool || found->second.pool.text().empty());
    });
}

std::set<model::ServiceId> FleetAgent::poolsWithDrains() const
{
    auto pools = this->poolsWithJobs;
    pools.insert(this->listedPools.begin(), this->listedPools.end());
    return pools;
}

void FleetAgent::removeStaleDrains()
{
    if (!mayOrder() || kernel::bootNow() - this->lastDrainCheck < staleDrainInterval) {
        return;
    }
    this->lastDrainCheck = kernel::bootNow();
    for (const auto& pool : poolsWithDrains()) {
        this->environment.store->list(keys::drainsOf(pool),
            [self = shared_from_this(), pool](const kernel::Expected<store::Listing>& drains) {
                if (drains && !self->closed) {
                    self->removeStaleDrains(pool, *drains);
                    self->restoreLostDrains(pool, *drains);
                }
            });
    }
}

void FleetAgent::removeStaleDrains(const model::ServiceId& pool, const store::Listing& drains)
{
    for (const auto& entry : drains.entries) {
        const model::VmId vm { entry.key.substr(keys::drainsOf(pool).size()) };
        if (!isDraining(pool, vm) && mayOrder(vm)) {
            kernel::logEvent("stale-drain",
                { { "vm", vm.text() }, { "pool", pool.text() }, { "revision", entry.revision.value } });
            std::vector<std::string> removals { entry.key };
            if (!isDraining(vm)) {
                removals.push_back(keys::drainedVms + vm.text());
            }
            // A drain that this owner requests meanwhile is kept; a failed removal is retried.
            changeInTerm({}, std::move(removals), [](const store::ChangeOutcome&) {},
                { { entry.key, entry.revision } });
        }
    }
}

void FleetAgent::restoreLostDrains(const model::ServiceId& pool, const store::Listing& drains)
{
    const auto isLost = [&](const model::VmId& vm, const std::optional<store::Revision>& drainRevision) {
        return drainRevision && *drainRevision <= drains.asOf
            && std::ranges::find(drains.entries, keys::drain(pool, vm), &store::Entry::key)
            == drains.entries.end();
    };
    std::vector<model::VmId> ended;
    for (const auto& [name, move] : this->moves) {
        if (move.order.from == pool && !move.accepted && !move.orderInFlight
            && isLost(name, move.drainRevision)) {
            ended.push_back(name);
        }
    }
    for (const auto& name : ended) {
        kernel::logEvent("drain-lost", { { "vm", name.text() }, { "pool", pool.text() } });
        endMove(name);
    }
    for (auto& [number, wave] : this->waves) {
        for (auto& [name, vm] : wave.vms) {
            if (vm.stage == WaveStage::Draining && vm.pool == pool && !vm.orderInFlight
                && isLost(name, vm.drainRevision)) {
                kernel::logEvent("drain-lost",
                    { { "vm", name.text() }, { "pool", pool.text() }, { "wave", wave.request.number } });
                requestDrain(wave, name, vm);
            }
        }
    }
}

void FleetAgent::loadWave(std::uint64_t number)
{
    this->waves.at(number).loading = true;
    this->environment.store->read(keys::waveProgress(number),
        [self = shared_from_this(), number](const kernel::Expected<std::optional<store::Entry>>& entry) {
            if (!entry || self->closed) {
                self->waves.at(number).loading = false;
                return;
            }
            // If the progress is unreadable, VMs are ordered again: the platform answers that their
            // maintenance is done.
            self->loadUnansweredOrders(number, self->decodeVms(number, *entry));
        });
}

void FleetAgent::loadUnansweredOrders(std::uint64_t number, const std::vector<std::string>& done)
{
    this->environment.store->read(keys::unansweredOrders(number),
        [self = shared_from_this(), number, done](
            const kernel::Expected<std::optional<store::Entry>>& entry) {
            self->waves.at(number).loading = false;
            if (entry && !self->closed) {
                self->startWave(number, done, self->decodeVms(number, *entry));
            }
        });
}

std::vector<std::string> FleetAgent::decodeVms(
    std::uint64_t wave, const std::optional<store::Entry>& entry) const
{
    if (!entry) {
        return {};
    }
    auto vms = jobs::decodeUpstreams(entry->value);
    if (!vms) {
        kernel::logEvent("wave-progress-unreadable",
            { { "wave", wave }, { "key", entry->key }, { "revision", entry->revision.value } });
    }
    return vms.value_or(std::vector<std::string> {});
}

void FleetAgent::startWave(
    std::uint64_t number, const std::vector<std::string>& done, const std::vector<std::string>& unanswered)
{
    auto& wave = this->waves.at(number);
    const auto contains = [](const auto& names, const model::VmId& vm) {
        return std::ranges::find(names, vm.text()) != names.end();
    };
    for (const auto& name : wave.request.vms) {
        auto& vm = wave.vms[name];
        vm.stageChangedAt = kernel::bootNow();
        if (contains(done, name)) {
            // An ordered VM may still be in maintenance; a later list of VMs shows when it is up again.
            vm.stage = WaveStage::InMaintenance;
        } else if (contains(unanswered, name)) {
            // It counts as out of service until an order of this term, which fences the earlier one, is
            // answered.
            vm.stage = WaveStage::Draining;
            vm.mayBeTakenDown = true;
        } else {
            vm.stage = WaveStage::Waiting;
        }
    }
    wave.loaded = true;
    wave.loadedAt = kernel::bootNow();
    kernel::logEvent("wave-loaded",
        { { "wave", number }, { "vms", wave.vms.size() }, { "done", done.size() },
            { "unanswered", unanswered.size() }, { "term", this->term.value } });
}

void FleetAgent::onVms(const std::vector<ports::VmFacts>& facts)
{
    this->vmCount = facts.size();
    std::map<model::VmId, const ports::VmFacts*> byName;
    this->listedPools.clear();
    for (const auto& vm : facts) {
        byName[vm.vm] = &vm;
        this->listedPools.insert(vm.pool);
    }
    updateMoves(byName);
    expireMoves();
    removeStaleDrains();
    for (auto& [number, wave] : this->waves) {
        if (wave.loaded && !wave.completed) {
            updateStages(wave, byName);
            logOverdueDrains(wave);
            returnUndrainedVms(wave);
            advance(wave, facts);
        }
    }
    retryMoves();
    sendOrders();
    readReports(facts);
}

bool FleetAgent::isAwaitingDrain() const
{
    return std::ranges::any_of(this->moves, [](const auto& entry) { return !entry.second.accepted; })
        || std::ranges::any_of(this->waves, [](const auto& wave) {
               return std::ranges::any_of(wave.second.vms,
                   [](const auto& entry) { return entry.second.stage == WaveStage::Draining; });
           });
}

void FleetAgent::readDrained()
{
    if (this->closed) {
        return;
    }
    this->drainedTimer.start(drainedReadInterval, [self = shared_from_this()] { self->readDrained(); });
    if (this->readingDrained || !mayOrder() || !isAwaitingDrain()) {
        return;
    }
    this->readingDrained = true;
    this->environment.store->list(
        keys::drainedVms, [self = shared_from_this()](const kernel::Expected<store::Listing>& listing) {
            self->readingDrained = false;
            if (listing && !self->closed) {
                self->onDrained(*listing);
            }
        });
}

void FleetAgent::setPools(std::set<model::ServiceId> withJobs, std::set<model::ServiceId> spare)
{
    this->poolsWithJobs = std::move(withJobs);
    this->sparePools = std::move(spare);
}

bool FleetAgent::isInWave(const model::VmId& vm) const
{
    return std::ranges::any_of(this->waves, [&](const auto& entry) {
        const auto found = entry.second.vms.find(vm);
        return found != entry.second.vms.end() && !entry.second.completed
            && found->second.stage != WaveStage::Done;
    });
}

std::vector<scheduling::MovableVm> FleetAgent::movableVms(const std::vector<ports::VmFacts>& facts) const
{
    std::vector<scheduling::MovableVm> vms;
    for (const auto& vm : facts) {
        const auto moving = this->moves.find(vm.vm);
        const bool isMoving = moving != this->moves.end();
        const bool up = vm.condition == ports::VmCondition::Up;
        if (!up && !isMoving && vm.condition != ports::VmCondition::Moving) {
            continue;
        }
        const bool busy
            = isMoving || !up || isInWave(vm.vm) || this->unmovable.contains(vm.vm) || !mayOrder(vm.vm);
        vms.push_back({ vm.vm, isMoving ? moving->second.order.to : vm.pool, vm.upstream, vm.capacity, busy,
            !isMoving && isDraining(vm.vm) });
    }
    return vms;
}

void FleetAgent::Trend::observe(kernel::Instant now, std::int64_t cpu)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    if (now - this->observedAt < trendInterval) {
        return;
    }
    const auto passed = (now - this->observedAt).milliseconds;
    this->growth
        = passed < maxTrendInterval.milliseconds ? (cpu - this->cpu) * millisecondsPerSecond / passed : 0;
    this->observedAt = now;
    this->cpu = cpu;
}

std::vector<scheduling::PoolView> FleetAgent::makePoolViews(
    const store::Listing& reports, const std::vector<scheduling::MovableVm>& vms)
{
    std::vector<scheduling::PoolView> views;
    const auto now = kernel::bootNow();
    this->surpluses.clear();
    this->idleUpstreams.clear();
    for (const auto& entry : reports.entries) {
        const model::ServiceId pool { entry.key.substr(keys::reports.size()) };
        const auto report = jobs::decodePoolReport(entry.value);
        // The VMs of a spare pool are switched off, so its queues need none of them.
        const bool hasJobs
            = report && (this->poolsWithJobs.contains(pool) || report->wanted != jobs::Resources {});
        if (!hasJobs || this->sparePools.contains(pool)) {
            continue;
        }
        // A pool with an outdated report neither gets nor gives VMs: its demand may have changed since.
        const auto age = this->environment.maxViewAge({ report->asOf });
        if (!age || *age > reportAgeLimit) {
            this->surplusSince.erase(pool);
            continue;
        }
        std::vector<scheduling::UpstreamId> idle;
        idle.reserve(report->releasable.size());
        for (const auto& id : report->releasable) {
            idle.emplace_back(id);
        }
        const scheduling::PoolDemand demand { report->wanted, report->room, report->taken, report->spread,
            idle, report->arriving };
        auto& trend = this->trends[pool];
        trend.observe(now, report->wanted.cpu);
        const scheduling::PoolView view { pool, false, demand, trend.growth, {} };
        const auto own = std::ranges::count_if(
            vms, [&](const scheduling::MovableVm& vm) { return vm.pool == pool && !vm.leaving; });
        const auto member = std::ranges::find(vms, pool, &scheduling::MovableVm::pool);
        // The need of a pool without VMs is computed with the capacity of another pool's VM.
        const auto sample = member != vms.end() ? member : vms.begin();
        const auto excess = sample != vms.end() ? own - scheduling::vmsNeeded(view, sample->capacity) : 0;
        this->surpluses[pool] = excess;
        this->idleUpstreams.insert(idle.begin(), idle.end());
        const bool surplus = excess > 0;
        if (!surplus) {
            this->surplusSince.erase(pool);
        }
        const auto since = surplus ? this->surplusSince.try_emplace(pool, now).first->second : now;
        views.push_back({ pool, false, demand, trend.growth, now - since });
    }
    for (const auto& pool : this->sparePools) {
        views.push_back({ pool, true });
    }
    return views;
}

void FleetAgent::planMoves(const std::vector<ports::VmFacts>& facts, const store::Listing& reports)
{
    const auto vms = movableVms(facts);
    const auto views = makePoolViews(reports, vms);
    if (!mayOrder()) {
        return;
    }
    returnNeededVms();
    for (const auto& order : scheduling::planMoves(views, vms)) {
        beginMove(order);
    }
    sendOrders();
}

void FleetAgent::beginMove(const scheduling::VmMove& order)
{
    kernel::logEvent("vm-move",
        { { "vm", order.vm.text() }, { "from", order.from.text() }, { "to", order.to.text() },
            { "upstream", order.upstream.text() } });
    const auto number = ++this->plannedMoves;
    this->moves.emplace(
        order.vm, Move { .order = order, .number = number, .stateChangedAt = kernel::bootNow() });
    if (!runsUpstream(order.upstream)) {
        queueMove(order.vm);
        return;
    }
    changeInTerm(
        { { keys::drain(order.from, order.vm), jobs::encode(jobs::Drain { order.upstream.text(), false }) } },
        {}, [self = shared_from_this(), vm = order.vm, number](const store::ChangeOutcome& outcome) {
            const auto move = self->moves.find(vm);
            if (move == self->moves.end() || move->second.number != number) {
                return;
            }
            if (const auto* const committed = std::get_if<store::Committed>(&outcome)) {
                move->second.drainRevision = committed->revision;
            } else {
                self->moves.erase(move);
            }
        });
}

void FleetAgent::queueMove(const model::VmId& vm)
{
    auto& move = this->moves.at(vm);
    if (!mayOrder(vm) || move.orderInFlight || move.accepted) {
        return;
    }
    move.orderInFlight = true;
    this->queuedOrders.emplace_back(MoveOrder { vm });
}

void FleetAgent::retryMoves()
{
    for (const auto& [vm, move] : this->moves) {
        if (!runsUpstream(move.order.upstream)) {
            queueMove(vm);
        }
    }
}

void FleetAgent::send(const MoveOrder& order, ports::Term fence)
{
    this->environment.fleet->move(order.vm, this->moves.at(order.vm).order.to, fence, permission(),
        [self = shared_from_this(), vm = order.vm](
            ports::VmOrderResult result) { self->onMoveOrderResult(vm, result); });
}

void FleetAgent::discardOrder(const MoveOrder& order) { this->moves.at(order.vm).orderInFlight = false; }

void FleetAgent::onMoveOrderResult(const model::VmId& vm, ports::VmOrderResult result)
{
    using ports::VmOrderResult;
    auto& move = this->moves.at(vm);
    move.orderInFlight = false;
    if (this->closed) {
        return;
    }
    if (result != VmOrderResult::Done) {
        kernel::logEvent("vm-move-refused",
            { { "vm", vm.text() }, { "pool", move.order.from.text() }, { "result", ports::name(result) },
                { "since_ms", (kernel::bootNow() - move.stateChangedAt).milliseconds } });
    }
    switch (result) {
    case VmOrderResult::Done:
        move.accepted = true;
        move.stateChangedAt = kernel::bootNow();
        return;
    case VmOrderResult::Fenced:
        close();
        return;
    case VmOrderResult::Rejected:
        this->unmovable.insert(vm);
        endMove(vm);
        return;
    case VmOrderResult::Busy:
    case VmOrderResult::NotInWave:
        // It may be busy with an earlier order of this move, which the next list of VMs shows.
        if (!move.mayBeCarriedOut) {
            endMove(vm);
        }
        return;
    case VmOrderResult::Unknown:
        move.mayBeCarriedOut = true;
        return;
    case VmOrderResult::Overloaded:
        // Ordered again with the next list, as long as the move is planned.
        return;
    }
}

void FleetAgent::endMove(const model::VmId& vm)
{
    const auto& move = this->moves.at(vm);
    // Without the revision, `removeStaleDrains` removes the drain.
    if (move.drainRevision) {
        removeDrain(move.order.from, vm, *move.drainRevision);
    }
    this->moves.erase(vm);
}

void FleetAgent::updateMoves(const std::map<model::VmId, const ports::VmFacts*>& facts)
{
    std::vector<model::VmId> ended;
    for (auto& [name, move] : this->moves) {
        const auto found = facts.find(name);
        if (move.mayBeCarriedOut && found != facts.end()) {
            settleUnansweredOrder(move, *found->second);
        }
        const bool arrived = move.accepted && found != facts.end() && found->second->pool == move.order.to
            && found->second->condition == ports::VmCondition::Up;
        // A spare VM that was switched on meanwhile would have to be drained.
        const bool isOutdated = found != facts.end() && !move.accepted && !move.mayBeCarriedOut
            && !runsUpstream(move.order.upstream) && runsUpstream(found->second->upstream);
        move.missedLists = found != facts.end() ? 0 : move.missedLists + (this->isListComplete ? 1 : 0);
        if (!move.orderInFlight && (arrived || isOutdated || move.missedLists >= maxMissedLists)) {
            ended.push_back(name);
        }
    }
    for (const auto& name : ended) {
        endMove(name);
    }
}

void FleetAgent::settleUnansweredOrder(Move& move, const ports::VmFacts& vm)
{
    if (vm.pool == move.order.to) {
        move.mayBeCarriedOut = false;
        move.accepted = true;
        move.stateChangedAt = kernel::bootNow();
    } else if (vm.condition != ports::VmCondition::Up || vm.upstream != move.order.upstream) {
        // The upstream that was drained for the move is gone.
        move.mayBeCarriedOut = false;
    }
}

void FleetAgent::expireMoves()
{
    std::vector<model::VmId> expired;
    const auto now = kernel::bootNow();
    for (const auto& [name, move] : this->moves) {
        // An order without an answer may still be carried out, so its drain stays until a repeated order or a
        // list of VMs settles it.
        if (!move.orderInFlight && !move.mayBeCarriedOut && now - move.stateChangedAt > moveTimeout) {
            expired.push_back(name);
        }
    }
    for (const auto& name : expired) {
        const auto& move = this->moves.at(name);
        kernel::logEvent("vm-move-expired",
            { { "vm", name.text() }, { "from", move.order.from.text() }, { "to", move.order.to.text() },
                { "upstream", move.order.upstream.text() }, { "stage", stageOf(move) } });
        endMove(name);
    }
}

void FleetAgent::returnNeededVms()
{
    const auto now = kernel::bootNow();
    std::map<model::ServiceId, std::int64_t> missing;
    for (const auto& [pool, surplus] : this->surpluses) {
        missing[pool] = -surplus;
    }
    std::vector<model::VmId> returned;
    for (const auto& [name, move] : this->moves) {
        const bool mayEnd
            = move.drainRevision && !move.orderInFlight && !move.mayBeCarriedOut && !move.accepted;
        if (mayEnd && now - move.stateChangedAt > returnDelay && missing[move.order.from] > 0) {
            --missing[move.order.from];
            returned.push_back(name);
        }
    }
    for (const auto& name : returned) {
        const auto& move = this->moves.at(name);
        kernel::logEvent("vm-returned",
            { { "vm", name.text() }, { "pool", move.order.from.text() }, { "stage", stageOf(move) },
                { "after_ms", (now - move.stateChangedAt).milliseconds } });
        endMove(name);
    }
}

std::string_view FleetAgent::stageOf(const Move& move)
{
    return move.accepted       ? "accepted"
        : move.mayBeCarriedOut ? "not-answered"
        : move.orderInFlight   ? "ordered"
        : move.drained         ? "drained"
        : move.drainRevision   ? "draining"
                               : "planned";
}

void FleetAgent::readReports(const std::vector<ports::VmFacts>& facts)
{
    if (this->sparePools.empty()) {
        // Reports are not read without a spare pool, and waves must not act on outdated ones.
        this->surpluses.clear();
        this->idleUpstreams.clear();
        return;
    }
    if (this->readingReports) {
        return;
    }
    this->readingReports = true;
    this->environment.store->list(
        keys::reports, [self = shared_from_this(), facts](const kernel::Expected<store::Listing>& reports) {
            self->readingReports = false;
            if (reports && !self->closed) {
                self->planMoves(facts, *reports);
            }
        });
}

void FleetAgent::updateStages(Wave& wave, const std::map<model::VmId, const ports::VmFacts*>& facts)
{
    for (auto& [name, vm] : wave.vms) {
        const auto found = facts.find(name);
        if (found == facts.end()) {
            vm.missedLists += this->isListComplete ? 1 : 0;
            if (vm.missedLists >= maxMissedLists && vm.stage != WaveStage::Done
                && vm.stage != WaveStage::InMaintenance) {
                kernel::logEvent("wave-vm-gone", { { "wave", wave.request.number }, { "vm", name.text() } });
                vm.stage = WaveStage::Done;
            }
            continue;
        }
        vm.missedLists = 0;
        const auto& current = *found->second;
        // A VM that is up outside of the spare pools should run an upstream, and cannot be drained before the
        // list shows its id.
        const bool isUpstreamSettled
            = runsUpstream(current.upstream) || this->sparePools.contains(current.pool);
        const bool up = current.condition == ports::VmCondition::Up && isUpstreamSettled;
        switch (vm.stage) {
        case WaveStage::InMaintenance:
            if (vm.pool.text().empty()) {
                // Ordered by a previous owner.
                vm.pool = current.pool;
            }
            // The upstream cannot show the end of the maintenance, since a spare VM has none. The list must
            // be newer than the order.
            if (up && !vm.orderInFlight && this->lastListRequest > vm.stageChangedAt) {
                vm.stage = WaveStage::Done;
            }
            break;
        case WaveStage::Waiting:
        case WaveStage::Unavailable:
            vm.stage = up && !this->moves.contains(name) ? WaveStage::Waiting : WaveStage::Unavailable;
            vm.seenInMaintenance = current.condition == ports::VmCondition::Maintenance;
            vm.pool = current.pool;
            vm.upstream = current.upstream;
            break;
        case WaveStage::Draining:
            if (up && !vm.orderInFlight
                && (current.upstream != vm.upstream || current.pool != vm.pool
                    || !runsUpstream(vm.upstream))) {
                vm.pool = current.pool;
                vm.upstream = current.upstream;
                takeOutOfService(wave, name, vm);
            }
            break;
        case WaveStage::Done:
            break;
        }
    }
}

void FleetAgent::logOverdueDrains(Wave& wave)
{
    for (auto& [name, vm] : wave.vms) {
        const auto age = kernel::bootNow() - vm.stageChangedAt;
        if (vm.stage != WaveStage::Draining) {
            vm.isOverdueLogged = false;
        } else if (age > overdueDrainAge && !std::exchange(vm.isOverdueLogged, true)) {
            kernel::logEvent("wave-drain-overdue",
                { { "wave", wave.request.number }, { "vm", name.text() }, { "pool", vm.pool.text() },
                    { "upstream", vm.upstream.text() }, { "since_ms", age.milliseconds },
                    { "requested", vm.drainRevision ? "yes" : "no" } });
        }
    }
}

void FleetAgent::returnUndrainedVms(Wave& wave)
{
    const auto now = kernel::bootNow();
    for (auto& [name, vm] : wave.vms) {
        if (vm.stage != WaveStage::Draining || !vm.drainRevision || vm.orderInFlight || vm.mayBeTakenDown) {
            continue;
        }
        const auto surplus = this->surpluses.find(vm.pool);
        const bool isShort = surplus != this->surpluses.end() && surplus->second < 0;
        const auto age = now - vm.stageChangedAt;
        if (age <= (isShort ? shortPoolDrainLimit : drainLimit)) {
            continue;
        }
        kernel::logEvent("wave-vm-returned",
            { { "wave", wave.request.number }, { "vm", name.text() }, { "pool", vm.pool.text() },
                { "upstream", vm.upstream.text() }, { "after_ms", age.milliseconds },
                { "short", isShort ? "yes" : "no" } });
        removeDrain(vm.pool, name, *vm.drainRevision);
        vm.drainRevision.reset();
        vm.stage = WaveStage::Waiting;
        vm.stageChangedAt = now;
        vm.deferredUntil
            = now + drainRetryDelay * (std::int64_t { 1 } << std::min(vm.failedDrains, maxDrainDoublings));
        ++vm.failedDrains;
        if (isShort) {
            this->drainPauses.insert_or_assign(vm.pool, now + drainPause);
        }
    }
}

std::map<model::ServiceId, std::uint32_t> FleetAgent::outOfServiceInOtherWaves(const Wave& wave) const
{
    std::map<model::ServiceId, std::uint32_t> counts;
    for (const auto& [number, other] : this->waves) {
        if (number == wave.request.number || other.completed) {
            continue;
        }
        for (const auto& [name, vm] : other.vms) {
            counts[vm.pool] += scheduling::isOutOfService(vm.stage) ? 1 : 0;
        }
    }
    return counts;
}

bool FleetAgent::isOutOfServiceInOtherWave(const Wave& wave, const model::VmId& vm) const
{
    return std::ranges::any_of(this->waves, [&](const auto& entry) {
        const auto found = entry.second.vms.find(vm);
        return entry.first != wave.request.number && !entry.second.completed
            && found != entry.second.vms.end() && scheduling::isOutOfService(found->second.stage);
    });
}

bool FleetAgent::isDeferred(const Wave& wave, const model::VmId& name, const WaveVmState& vm) const
{
    const auto now = kernel::bootNow();
    const auto pause = this->drainPauses.find(vm.pool);
    return vm.stage == WaveStage::Waiting
        && (now < vm.deferredUntil || (pause != this->drainPauses.end() && now < pause->second)
            || isOutOfServiceInOtherWave(wave, name));
}

void FleetAgent::advance(Wave& wave, const std::vector<ports::VmFacts>& facts)
{
    if (!wave.statusWritten) {
        writeStatus(wave, false);
    }
    const bool done = std::ranges::all_of(wave.vms, [](const auto& entry) {
        return entry.second.stage == WaveStage::Done || entry.second.stage == WaveStage::InMaintenance;
    });
    const bool orderInFlight
        = std::ranges::any_of(wave.vms, [](const auto& entry) { return entry.second.orderInFlight; });
    if (done && !orderInFlight) {
        writeStatus(wave, true);
        return;
    }
    if (!mayOrder()) {
        return;
    }
    std::map<model::ServiceId, std::uint32_t> counts;
    for (const auto& vm : facts) {
        const auto move = this->moves.find(vm.vm);
        counts[vm.pool] += move == this->moves.end() || move->second.order.from != vm.pool ? 1 : 0;
    }
    auto otherWaves = outOfServiceInOtherWaves(wave);
    std::vector<scheduling::PoolSize> pools;
    pools.reserve(counts.size());
    for (const auto& [pool, count] : counts) {
        const auto surplus = this->surpluses.find(pool);
        pools.push_back({ pool, count, !this->sparePools.contains(pool),
            surplus != this->surpluses.end() ? surplus->second : 0, otherWaves[pool] });
    }
    std::vector<scheduling::WaveVm> vms;
    vms.reserve(wave.vms.size());
    for (const auto& [name, vm] : wave.vms) {
        // A previous owner's order may be missing from the progress and not be visible in the list yet.
        const bool mayBeDown = (vm.stage == WaveStage::Waiting || vm.stage == WaveStage::Unavailable)
            && (vm.seenInMaintenance || !mayOrder(name));
        const auto stage = mayBeDown     ? WaveStage::InMaintenance
            : isDeferred(wave, name, vm) ? WaveStage::Unavailable
                                         : vm.stage;
        vms.push_back({ name, vm.pool, stage, this->idleUpstreams.contains(vm.upstream) });
    }
    const bool early = kernel::bootNow() - wave.loadedAt
        < Duration { wave.request.duration.milliseconds / earlyWaveDivisor };
    for (const auto& name : scheduling::selectWaveVms(vms, pools, wave.request.parallelism, early)) {
        auto& vm = wave.vms.at(name);
        vm.stage = WaveStage::Draining;
        vm.stageChangedAt = kernel::bootNow();
        takeOutOfService(wave, name, vm);
    }
}

void FleetAgent::takeOutOfService(Wave& wave, const model::VmId& name, WaveVmState& vm)
{
    if (runsUpstream(vm.upstream)) {
        requestDrain(wave, name, vm);
    } else {
        queueMaintenance(wave.request.number, name);
    }
}

store::Put FleetAgent::unansweredOrdersOf(const Wave& wave)
{
    std::vector<std::string> names;
    for (const auto& [name, vm] : wave.vms) {
        if (vm.orderInFlight || vm.mayBeTakenDown) {
            names.push_back(name.text());
        }
    }
    return { keys::unansweredOrders(wave.request.number), jobs::encode(names) };
}

void FleetAgent::requestDrain(Wave& wave, const model::VmId& name, WaveVmState& vm)
{
    vm.drainRevision.reset();
    kernel::logEvent("wave-drain",
        { { "wave", wave.request.number }, { "vm", name.text() }, { "pool", vm.pool.text() },
            { "upstream", vm.upstream.text() } });
    changeInTerm({ { keys::drain(vm.pool, name), jobs::encode(jobs::Drain { vm.upstream.text(), true }) } },
        {},
        [self = shared_from_this(), number = wave.request.number, name](const store::ChangeOutcome& outcome) {
            auto& vm = self->waves.at(number).vms.at(name);
            if (const auto* const committed = std::get_if<store::Committed>(&outcome)) {
                vm.drainRevision = committed->revision;
            } else if (vm.mayBeTakenDown) {
                // The next list of VMs requests the drain again.
                vm.upstream = {};
            } else {
                // The next list of VMs decides whether it is selected again.
                vm.stage = vm.stage == WaveStage::Draining ? WaveStage::Waiting : vm.stage;
            }
        });
}

void FleetAgent::onDrained(const store::Listing& listing)
{
    const auto isReportedDrained = [&](const model::VmId& vm, const scheduling::UpstreamId& upstream,
                                       const std::optional<store::Revision>& drainRevision) {
        return drainRevision && std::ranges::any_of(listing.entries, [&](const store::Entry& entry) {
            return entry.key == keys::drainedVms + vm.text() && entry.value == upstream.text()
                && entry.revision > *drainRevision;
        });
    };
    std::vector<model::VmId> ready;
    for (auto& [name, move] : this->moves) {
        if (!move.accepted && isReportedDrained(name, move.order.upstream, move.drainRevision)) {
            move.drained = true;
            ready.push_back(name);
        }
    }
    for (const auto& name : ready) {
        queueMove(name);
    }
    for (auto& [number, wave] : this->waves) {
        for (auto& [name, vm] : wave.vms) {
            if (vm.stage == WaveStage::Draining && !vm.orderInFlight
                && isReportedDrained(name, vm.upstream, vm.drainRevision)) {
                queueMaintenance(number, name);
            }
        }
    }
    sendOrders();
}

void FleetAgent::queueMaintenance(std::uint64_t number, const model::VmId& name)
{
    auto& vm = this->waves.at(number).vms.at(name);
    if (!mayOrder(name) || vm.orderInFlight) {
        return;
    }
    vm.orderInFlight = true;
    this->queuedOrders.emplace_back(MaintenanceOrder { number, name });
}

void FleetAgent::send(const MaintenanceOrder& order, ports::Term fence)
{
    const auto& vm = this->waves.at(order.wave).vms.at(order.vm);
    kernel::logEvent("vm-maintenance",
        { { "wave", order.wave }, { "vm", order.vm.text() }, { "upstream", vm.upstream.text() },
            { "term", this->term.value }, { "fence", fence.value } });
    this->environment.fleet->maintain(order.vm, order.wave, fence, permission(),
        [self = shared_from_this(), order](
            ports::VmOrderResult result) { self->onMaintenanceOrderResult(order.wave, order.vm, result); });
}

void FleetAgent::discardOrder(const MaintenanceOrder& order)
{
    auto& vm = this->waves.at(order.wave).vms.at(order.vm);
    vm.orderInFlight = false;
    if (!runsUpstream(vm.upstream) && !vm.mayBeTakenDown) {
        vm.stage = WaveStage::Waiting;
    }
}

void FleetAgent::onMaintenanceOrderResult(
    std::uint64_t number, const model::VmId& name, ports::VmOrderResult result)
{
    using ports::VmOrderResult;
    auto& wave = this->waves.at(number);
    auto& vm = wave.vms.at(name);
    vm.orderInFlight = false;
    if (this->closed) {
        return;
    }
    if (result != VmOrderResult::Done) {
        kernel::logEvent("vm-maintenance-refused",
            { { "wave", number }, { "vm", name.text() }, { "result", ports::name(result) } });
    }
    switch (result) {
    case VmOrderResult::Done:
        vm.stage = WaveStage::InMaintenance;
        vm.stageChangedAt = kernel::bootNow();
        vm.mayBeTakenDown = false;
        recordProgress(wave, name, vm);
        return;
    case VmOrderResult::NotInWave:
    case VmOrderResult::Rejected:
        vm.stage = WaveStage::Done;
        vm.mayBeTakenDown = false;
        recordProgress(wave, name, vm);
        return;
    case VmOrderResult::Fenced:
        close();
        return;
    case VmOrderResult::Unknown:
        vm.mayBeTakenDown = true;
        return;
    case VmOrderResult::Busy:
    case VmOrderResult::Overloaded:
        if (!runsUpstream(vm.upstream) && !vm.mayBeTakenDown) {
            vm.stage = WaveStage::Waiting;
        }
        return;
    }
}

void FleetAgent::recordProgress(Wave& wave, const model::VmId& name, const WaveVmState& vm)
{
    std::vector<std::string> done;
    for (const auto& [other, state] : wave.vms) {
        if (state.stage == WaveStage::Done || state.stage == WaveStage::InMaintenance) {
            done.push_back(other.text());
        }
    }
    changeInTerm(
        { { keys::waveProgress(wave.request.number), jobs::encode(done) }, unansweredOrdersOf(wave) },
        { keys::drain(vm.pool, name), keys::drainedVms + name.text() }, [](const store::ChangeOutcome&) {});
}

void FleetAgent::writeStatus(Wave& wave, bool completed)
{
    if (wave.writingStatus) {
        return;
    }
    wave.writingStatus = true;
    const auto number = wave.request.number;
    changeInTerm({ this->environment.fleet->waveStatus(number, completed) }, {},
        [self = shared_from_this(), number, completed](const store::ChangeOutcome& outcome) {
            auto& wave = self->waves.at(number);
            wave.writingStatus = false;
            if (std::holds_alternative<store::Committed>(outcome)) {
                wave.statusWritten = true;
                wave.completed = completed;
                kernel::logEvent(
                    "wave-status", { { "wave", number }, { "completed", completed ? "yes" : "no" } });
            }
        });
}

void FleetAgent::changeInTerm(std::vector<store::Put> puts, std::vector<std::string> removals,
    store::Callback<store::ChangeOutcome> callback, const std::vector<store::Condition>& extraConditions)
{
    std::vector<store::Condition> conditions { { keys::owner(keys::fleetDuty), { this->term.value } } };
    std::ranges::copy(extraConditions, std::back_inserter(conditions));
    this->environment.store->change(
        { std::move(conditions), std::move(puts), std::move(removals) }, std::move(callback));
}

DutyHealth FleetAgent::health() const
{
    return this->closed ? DutyHealth { DutyEnded { "an order was fenced" } } : DutyWorking {};
}

void FleetAgent::close()
{
    this->closed = true;
    this->timer.cancel();
    this->drainedTimer.cancel();
}

} // namespace wasabiroad::agent
