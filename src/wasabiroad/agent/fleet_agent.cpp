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

/** Lists in a row without a VM after which it is gone for good. */
constexpr std::uint32_t missingLimit = 8;

kernel::Instant bootNow() { return kernel::now(kernel::BootClock {}); }

} // namespace

FleetAgent::FleetAgent(FleetContext context, ports::Term ownTerm)
    : environment(std::move(context))
    , term(ownTerm)
    , timer(environment.context)
{
}

void FleetAgent::start()
{
    this->begun = bootNow();
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
        && bootNow() - this->begun > this->environment.orderGap + orderGapMargin;
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
    if (!hasOpenWave() || this->listing || !this->environment.holdsDuties()) {
        return;
    }
    for (auto& [number, wave] : this->waves) {
        if (!wave.loaded && !wave.loading) {
            load(number);
        }
    }
    this->listing = true;
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
    bool draining = false;
    for (auto& [number, wave] : this->waves) {
        if (wave.loaded && !wave.completed) {
            updateStages(wave, byName);
            advance(wave, facts);
            draining = draining || std::ranges::any_of(wave.vms, [](const auto& entry) {
                return entry.second.stage == WaveStage::Draining;
            });
        }
    }
    if (draining) {
        this->environment.store->list(
            keys::emptied, [self = shared_from_this()](const kernel::Expected<store::Listing>& listing) {
                if (listing && !self->closed) {
                    self->onEmptied(*listing);
                }
            });
    }
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
            if (up && now.upstream != vm.upstream && !vm.ordering) {
                vm.stage = WaveStage::Done;
            }
            break;
        case WaveStage::Waiting:
        case WaveStage::Away:
            vm.stage = up ? WaveStage::Waiting : WaveStage::Away;
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
    for (const auto& [pool, count] : counts) {
        pools.push_back({ pool, count, this->poolsWithJobs.contains(pool) });
    }
    std::vector<scheduling::WaveVm> vms;
    for (const auto& [name, vm] : wave.vms) {
        vms.push_back({ name, vm.pool, vm.stage });
    }
    for (const auto& name : scheduling::nextOfWave(vms, pools, wave.request.parallelism)) {
        auto& vm = wave.vms.at(name);
        vm.stage = WaveStage::Draining;
        vm.since = bootNow();
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
    change({ { keys::drain(vm.pool, name), vm.upstream.text() } }, {},
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
    for (auto& [number, wave] : this->waves) {
        for (auto& [name, vm] : wave.vms) {
            const auto key = keys::emptied + name.text();
            const bool empty = std::ranges::any_of(listing.entries, [&](const store::Entry& entry) {
                return entry.key == key && entry.value == vm.upstream.text();
            });
            if (vm.stage == WaveStage::Draining && empty && !vm.ordering) {
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
        vm.since = bootNow();
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
