#include "wasabiroad/agent/fleet_agent.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/jobs/codec.hpp"
#include "wasabiroad/kernel/log.hpp"

#include <algorithm>
#include <iterator>

namespace wasabiroad::agent {

using kernel::Duration;
using scheduling::WaveStage;

namespace {

/** Interval of reading the list of VMs while a wave is open. */
constexpr Duration tickInterval { 400 };

/** Margin over the shortest time between orders of two daemons. */
constexpr Duration orderGapMargin { 300 };

/** Longest time of a move, its drain included; after it the VM may be planned with again. */
constexpr Duration moveLimit { 8000 };

/** Interval over which the growth of a pool's load is measured. */
constexpr Duration trendInterval { 700 };

/** Loads that are further apart than this say nothing of the present growth. */
constexpr Duration longestTrend { 3000 };

/** Interval of looking for drains that nobody carries on; they keep room from tasks. */
constexpr Duration drainsInterval { 2000 };

/** Lists in a row without a VM after which it is gone for good. */
constexpr std::uint32_t missingLimit = 8;

} // namespace

FleetAgent::FleetAgent(FleetContext context, ports::Term ownTerm)
    : environment(std::move(context))
    , term(ownTerm)
    , timer(environment.context)
{
}

void FleetAgent::start()
{
    this->begun = kernel::bootNow();
    tick();
}

void FleetAgent::setWaves(const std::map<std::uint64_t, ports::WaveRequest>& requests)
{
    for (const auto& [number, request] : requests) {
        this->waves.try_emplace(number, Wave { .request = request });
    }
}

bool FleetAgent::mayOrder() const
{
    return !this->closed && this->environment.holdsDuties()
        && kernel::bootNow() - this->begun > this->environment.orderGap + orderGapMargin;
}

bool FleetAgent::hasOpenWave() const
{
    return std::ranges::any_of(this->waves, [](const auto& entry) { return !entry.second.completed; });
}

void FleetAgent::tick()
{
    if (this->closed) {
        return;
    }
    this->timer.start(tickInterval, [self = shared_from_this()] { self->tick(); });
    if (this->listing || !this->environment.holdsDuties()) {
        return;
    }
    for (auto& [number, wave] : this->waves) {
        if (!wave.loaded && !wave.loading) {
            load(number);
        }
    }
    this->listing = true;
    this->listRequested = kernel::bootNow();
    this->environment.fleet->listVms(
        [self = shared_from_this()](const kernel::Expected<std::vector<ports::VmFacts>>& facts) {
            self->listing = false;
            if (self->closed) {
                return;
            }
            if (!facts) {
                kernel::logEvent("vms-not-listed", { { "code", number(facts.error().code) } });
                return;
            }
            self->onVms(*facts);
        });
}

void FleetAgent::removeDrain(const model::ServiceId& pool, const model::VmId& vm)
{
    // A removal that fails is repeated by `removeStaleDrains`.
    change({}, { keys::drain(pool, vm), keys::emptied + vm.text() }, [](const store::ChangeOutcome&) {});
}

bool FleetAgent::isDraining(const model::VmId& vm) const
{
    return this->moves.contains(vm) || std::ranges::any_of(this->waves, [&](const auto& entry) {
        const auto found = entry.second.vms.find(vm);
        return found != entry.second.vms.end() && found->second.stage == WaveStage::Draining;
    });
}

void FleetAgent::removeStaleDrains()
{
    if (!mayOrder() || kernel::bootNow() - this->drainsChecked < drainsInterval) {
        return;
    }
    this->drainsChecked = kernel::bootNow();
    for (const auto& pool : this->poolsWithJobs) {
        this->environment.store->list(keys::drainsOf(pool),
            [self = shared_from_this(), pool](const kernel::Expected<store::Listing>& drains) {
                if (drains && !self->closed) {
                    self->removeStaleDrains(pool, *drains);
                }
            });
    }
}

void FleetAgent::removeStaleDrains(const model::ServiceId& pool, const store::Listing& drains)
{
    for (const auto& entry : drains.entries) {
        const model::VmId vm { entry.key.substr(keys::drainsOf(pool).size()) };
        if (!isDraining(vm)) {
            kernel::logEvent("stale-drain",
                { { "vm", vm.text() }, { "pool", pool.text() }, { "revision", entry.revision.value } });
            removeDrain(pool, vm);
        }
    }
}

void FleetAgent::load(std::uint64_t number)
{
    auto& wave = this->waves.at(number);
    wave.loading = true;
    this->environment.store->read(keys::waveProgress(number),
        [self = shared_from_this(), number](const kernel::Expected<std::optional<store::Entry>>& entry) {
            auto& wave = self->waves.at(number);
            wave.loading = false;
            if (!entry || self->closed) {
                return;
            }
            std::vector<std::string> done;
            if (*entry) {
                done = jobs::decodeUpstreams((*entry)->value).value_or(std::vector<std::string> {});
            }
            for (const auto& vm : wave.request.vms) {
                const bool isDone = std::ranges::find(done, vm.text()) != done.end();
                wave.vms[vm].stage = isDone ? WaveStage::Done : WaveStage::Waiting;
            }
            wave.loaded = true;
            kernel::logEvent("wave-loaded",
                { { "wave", number }, { "vms", wave.vms.size() }, { "done", done.size() },
                    { "term", self->term.value } });
        });
}

void FleetAgent::onVms(const std::vector<ports::VmFacts>& facts)
{
    std::map<model::VmId, const ports::VmFacts*> byName;
    for (const auto& vm : facts) {
        byName[vm.vm] = &vm;
    }
    updateMoves(facts);
    removeStaleDrains();
    bool draining
        = std::ranges::any_of(this->moves, [](const auto& entry) { return !entry.second.accepted; });
    for (auto& [number, wave] : this->waves) {
        if (wave.loaded && !wave.completed) {
            updateStages(wave, byName);
            advance(wave, facts);
            draining = draining || std::ranges::any_of(wave.vms, [](const auto& entry) {
                return entry.second.stage == WaveStage::Draining;
            });
        }
    }
    readReports(facts);
    if (draining) {
        this->environment.store->list(
            keys::emptied, [self = shared_from_this()](const kernel::Expected<store::Listing>& listing) {
                if (listing && !self->closed) {
                    self->onEmptied(*listing);
                }
            });
    }
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
        const bool busy = isMoving || !up || isInWave(vm.vm) || this->unmovable.contains(vm.vm);
        vms.push_back(
            { vm.vm, isMoving ? moving->second.order.to : vm.pool, vm.upstream, vm.capacity, busy });
    }
    return vms;
}

void FleetAgent::Trend::observe(kernel::Instant now, std::int64_t cpu)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    if (now - this->at < trendInterval) {
        return;
    }
    const auto passed = (now - this->at).milliseconds;
    this->growth
        = passed < longestTrend.milliseconds ? (cpu - this->cpu) * millisecondsPerSecond / passed : 0;
    this->at = now;
    this->cpu = cpu;
}

std::vector<scheduling::PoolView> FleetAgent::viewPools(
    const store::Listing& reports, const std::vector<scheduling::MovableVm>& vms)
{
    std::vector<scheduling::PoolView> views;
    const auto now = kernel::bootNow();
    for (const auto& entry : reports.entries) {
        const model::ServiceId pool { entry.key.substr(keys::reports.size()) };
        const auto report = jobs::decodePoolReport(entry.value);
        if (!report || !this->poolsWithJobs.contains(pool)) {
            continue;
        }
        std::vector<scheduling::UpstreamId> idle;
        idle.reserve(report->releasable.size());
        for (const auto& id : report->releasable) {
            idle.emplace_back(id);
        }
        const scheduling::PoolDemand demand { report->wanted, {}, report->taken, report->spread,
            std::move(idle) };
        auto& trend = this->trends[pool];
        trend.observe(now, report->wanted.cpu);
        const scheduling::PoolView view { pool, false, demand, trend.growth, {} };
        const auto own = std::ranges::count(vms, pool, &scheduling::MovableVm::pool);
        const auto any = std::ranges::find(vms, pool, &scheduling::MovableVm::pool);
        const bool surplus = any != vms.end()
            && static_cast<std::uint32_t>(own) > scheduling::vmsNeeded(view, any->capacity);
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
    if (!mayOrder()) {
        return;
    }
    const auto vms = movableVms(facts);
    for (const auto& order : scheduling::planMoves(viewPools(reports, vms), vms)) {
        beginMove(order);
    }
}

void FleetAgent::beginMove(const scheduling::VmMove& order)
{
    kernel::logEvent("vm-move",
        { { "vm", order.vm.text() }, { "from", order.from.text() }, { "to", order.to.text() },
            { "upstream", order.upstream.text() } });
    this->moves.emplace(order.vm, Move { .order = order, .since = kernel::bootNow() });
    if (!this->poolsWithJobs.contains(order.from)) {
        orderMove(order.vm);
        return;
    }
    change(
        { { keys::drain(order.from, order.vm), jobs::encode(jobs::Drain { order.upstream.text(), false }) } },
        {}, [self = shared_from_this(), vm = order.vm](const store::ChangeOutcome& outcome) {
            if (!std::holds_alternative<store::Committed>(outcome)) {
                self->moves.erase(vm);
            }
        });
}

void FleetAgent::orderMove(const model::VmId& vm)
{
    auto& move = this->moves.at(vm);
    if (!mayOrder() || move.ordering || move.accepted) {
        return;
    }
    move.ordering = true;
    this->environment.fleet->move(
        vm, move.order.to, this->term, [self = shared_from_this(), vm](ports::VmOrderResult result) {
            auto& move = self->moves.at(vm);
            move.ordering = false;
            if (self->closed) {
                return;
            }
            if (result == ports::VmOrderResult::Done) {
                move.accepted = true;
                move.since = kernel::bootNow();
                return;
            }
            kernel::logEvent(
                "vm-move-refused", { { "vm", vm.text() }, { "result", static_cast<int>(result) } });
            if (result == ports::VmOrderResult::Fenced) {
                self->close();
            } else if (result == ports::VmOrderResult::Rejected) {
                self->unmovable.insert(vm);
                self->endMove(vm);
            } else if (result == ports::VmOrderResult::Busy || result == ports::VmOrderResult::NotInWave) {
                self->endMove(vm);
            }
        });
}

void FleetAgent::endMove(const model::VmId& vm)
{
    const auto& order = this->moves.at(vm).order;
    if (this->poolsWithJobs.contains(order.from)) {
        removeDrain(order.from, vm);
    }
    this->moves.erase(vm);
}

void FleetAgent::updateMoves(const std::vector<ports::VmFacts>& facts)
{
    std::vector<model::VmId> ended;
    for (auto& [name, move] : this->moves) {
        const auto found = std::ranges::find(facts, name, &ports::VmFacts::vm);
        const bool arrived = move.accepted && found != facts.end() && found->pool == move.order.to
            && found->condition == ports::VmCondition::Up;
        const bool lost = found == facts.end() || kernel::bootNow() - move.since > moveLimit;
        if (!move.ordering && (arrived || lost)) {
            ended.push_back(name);
        }
    }
    for (const auto& name : ended) {
        endMove(name);
    }
}

void FleetAgent::readReports(const std::vector<ports::VmFacts>& facts)
{
    if (this->sparePools.empty()) {
        return;
    }
    this->environment.store->list(
        keys::reports, [self = shared_from_this(), facts](const kernel::Expected<store::Listing>& reports) {
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
            if (++vm.missing >= missingLimit && vm.stage != WaveStage::Done
                && vm.stage != WaveStage::InMaintenance) {
                kernel::logEvent("wave-vm-gone", { { "wave", wave.request.number }, { "vm", name.text() } });
                vm.stage = WaveStage::Done;
            }
            continue;
        }
        vm.missing = 0;
        const auto& now = *found->second;
        const bool up = now.condition == ports::VmCondition::Up;
        switch (vm.stage) {
        case WaveStage::InMaintenance:
            // A VM of the reserve has no upstream before and after; the list has to be younger than the
            // order.
            if (up && !vm.ordering && this->listRequested > vm.since) {
                vm.stage = WaveStage::Done;
            }
            break;
        case WaveStage::Waiting:
        case WaveStage::Away:
            vm.stage = up && !this->moves.contains(name) ? WaveStage::Waiting : WaveStage::Away;
            vm.pool = now.pool;
            vm.upstream = now.upstream;
            break;
        case WaveStage::Draining:
            if (!vm.ordering && (now.upstream != vm.upstream || now.pool != vm.pool)) {
                vm.pool = now.pool;
                vm.upstream = now.upstream;
                requestDrain(wave, name, vm);
            }
            break;
        case WaveStage::Done:
            break;
        }
    }
}

void FleetAgent::advance(Wave& wave, const std::vector<ports::VmFacts>& facts)
{
    if (!wave.announced) {
        writeStatus(wave, false);
    }
    const bool done = std::ranges::all_of(wave.vms, [](const auto& entry) {
        return entry.second.stage == WaveStage::Done || entry.second.stage == WaveStage::InMaintenance;
    });
    const bool ordering
        = std::ranges::any_of(wave.vms, [](const auto& entry) { return entry.second.ordering; });
    if (done && !ordering) {
        writeStatus(wave, true);
        return;
    }
    if (!mayOrder()) {
        return;
    }
    std::map<model::ServiceId, std::uint32_t> counts;
    for (const auto& vm : facts) {
        ++counts[vm.pool];
    }
    std::vector<scheduling::PoolSize> pools;
    pools.reserve(counts.size());
    for (const auto& [pool, count] : counts) {
        pools.push_back({ pool, count, this->poolsWithJobs.contains(pool) });
    }
    std::vector<scheduling::WaveVm> vms;
    vms.reserve(wave.vms.size());
    for (const auto& [name, vm] : wave.vms) {
        vms.push_back({ name, vm.pool, vm.stage });
    }
    for (const auto& name : scheduling::nextOfWave(vms, pools, wave.request.parallelism)) {
        auto& vm = wave.vms.at(name);
        vm.stage = WaveStage::Draining;
        vm.since = kernel::bootNow();
        if (this->poolsWithJobs.contains(vm.pool)) {
            requestDrain(wave, name, vm);
        } else {
            maintain(wave.request.number, name);
        }
    }
}

void FleetAgent::requestDrain(Wave& wave, const model::VmId& name, Vm& vm)
{
    kernel::logEvent("wave-drain",
        { { "wave", wave.request.number }, { "vm", name.text() }, { "pool", vm.pool.text() },
            { "upstream", vm.upstream.text() } });
    change({ { keys::drain(vm.pool, name), jobs::encode(jobs::Drain { vm.upstream.text(), true }) } }, {},
        [self = shared_from_this(), number = wave.request.number, name](const store::ChangeOutcome& outcome) {
            if (!std::holds_alternative<store::Committed>(outcome)) {
                // The next list shows whether it still waits.
                auto& vm = self->waves.at(number).vms.at(name);
                vm.stage = vm.stage == WaveStage::Draining ? WaveStage::Waiting : vm.stage;
            }
        });
}

void FleetAgent::onEmptied(const store::Listing& listing)
{
    const auto isEmpty = [&](const model::VmId& vm, const scheduling::UpstreamId& upstream) {
        return std::ranges::any_of(listing.entries, [&](const store::Entry& entry) {
            return entry.key == keys::emptied + vm.text() && entry.value == upstream.text();
        });
    };
    std::vector<model::VmId> ready;
    for (const auto& [name, move] : this->moves) {
        if (!move.accepted && isEmpty(name, move.order.upstream)) {
            ready.push_back(name);
        }
    }
    for (const auto& name : ready) {
        orderMove(name);
    }
    for (auto& [number, wave] : this->waves) {
        for (auto& [name, vm] : wave.vms) {
            if (vm.stage == WaveStage::Draining && !vm.ordering && isEmpty(name, vm.upstream)) {
                maintain(number, name);
            }
        }
    }
}

void FleetAgent::maintain(std::uint64_t number, const model::VmId& name)
{
    auto& vm = this->waves.at(number).vms.at(name);
    if (!mayOrder() || vm.ordering) {
        return;
    }
    vm.ordering = true;
    kernel::logEvent("vm-maintenance",
        { { "wave", number }, { "vm", name.text() }, { "upstream", vm.upstream.text() },
            { "term", this->term.value } });
    this->environment.fleet->maintain(
        name, number, this->term, [self = shared_from_this(), number, name](ports::VmOrderResult result) {
            self->onMaintained(number, name, result);
        });
}

void FleetAgent::onMaintained(std::uint64_t number, const model::VmId& name, ports::VmOrderResult result)
{
    using ports::VmOrderResult;
    auto& wave = this->waves.at(number);
    auto& vm = wave.vms.at(name);
    vm.ordering = false;
    if (this->closed) {
        return;
    }
    if (result != VmOrderResult::Done) {
        kernel::logEvent("vm-maintenance-refused",
            { { "wave", number }, { "vm", name.text() }, { "result", static_cast<int>(result) } });
    }
    switch (result) {
    case VmOrderResult::Done:
        vm.stage = WaveStage::InMaintenance;
        vm.since = kernel::bootNow();
        recordDone(wave, name, vm);
        return;
    case VmOrderResult::NotInWave:
    case VmOrderResult::Rejected:
        vm.stage = WaveStage::Done;
        recordDone(wave, name, vm);
        return;
    case VmOrderResult::Fenced:
        close();
        return;
    case VmOrderResult::Busy:
    case VmOrderResult::Overloaded:
    case VmOrderResult::Unknown:
        if (!this->poolsWithJobs.contains(vm.pool)) {
            vm.stage = WaveStage::Waiting;
        }
        return;
    }
}

void FleetAgent::recordDone(Wave& wave, const model::VmId& name, const Vm& vm)
{
    std::vector<std::string> done;
    for (const auto& [other, state] : wave.vms) {
        if (state.stage == WaveStage::Done || state.stage == WaveStage::InMaintenance) {
            done.push_back(other.text());
        }
    }
    change({ { keys::waveProgress(wave.request.number), jobs::encode(done) } },
        { keys::drain(vm.pool, name), keys::emptied + name.text() }, [](const store::ChangeOutcome&) {});
}

void FleetAgent::writeStatus(Wave& wave, bool completed)
{
    if (wave.writing) {
        return;
    }
    wave.writing = true;
    const auto number = wave.request.number;
    change({ this->environment.fleet->waveStatus(number, completed) }, {},
        [self = shared_from_this(), number, completed](const store::ChangeOutcome& outcome) {
            auto& wave = self->waves.at(number);
            wave.writing = false;
            if (std::holds_alternative<store::Committed>(outcome)) {
                wave.announced = true;
                wave.completed = completed;
                kernel::logEvent(
                    "wave-status", { { "wave", number }, { "completed", completed ? "yes" : "no" } });
            }
        });
}

void FleetAgent::change(std::vector<store::Put> puts, std::vector<std::string> removals,
    store::Callback<store::ChangeOutcome> callback)
{
    const store::Condition owner { keys::owner(keys::fleetDuty), { this->term.value } };
    this->environment.store->change({ { owner }, std::move(puts), std::move(removals) }, std::move(callback));
}

void FleetAgent::close()
{
    this->closed = true;
    this->timer.cancel();
}

} // namespace wasabiroad::agent
