#include "wasabiroad/fleet/step.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <ostream>
#include <unordered_map>

#include <boost/container_hash/hash.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using lifecycle::VmEvent;
using model::VmState;

struct Row {
    const std::string label;
    const std::size_t controllers;
    const std::size_t vms;
    /** Whether VMs may move between the two pools. */
    const bool moves;
    const bool failures;
    const bool versionCheck;
    /** Number of ledger steps that bounds the exploration. */
    const std::uint64_t maxSteps;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "2 controllers, 2 VMs, moves and failures", 2, 2, true, true, true, 8 },
    Row { "2 controllers, 3 VMs, moves", 2, 3, true, false, true, 9 },
    Row { "3 controllers, 2 VMs, failures", 3, 2, false, true, true, 8 },
    Row { "3 controllers, 3 VMs", 3, 3, false, false, true, 9 },
    Row { "2 controllers, 2 VMs, without the version check", 2, 2, false, false, false, 8 },
};

constexpr int noIndex = -1;

/** State of a controller between two actions. */
struct Controller {
    /** Index of the ledger that it read last; `noIndex` after a crash, a conflict or a lost answer. */
    int copyIndex { noIndex };
    /** Whether the store still holds the version that was read. */
    bool isCurrent { false };

    friend auto operator<=>(const Controller&, const Controller&) = default;
};

/** Joint state of the store, the machines and all controllers. */
struct SystemState {
    int ledger { noIndex };
    std::vector<Controller> controllers {};
    /** Step number of the last stop of each VM, and whether the stop is still in progress. */
    std::vector<std::uint64_t> stopped {};
    std::vector<bool> rebooting {};

    friend bool operator==(const SystemState&, const SystemState&) = default;
};

struct SystemStateHash {
    std::size_t operator()(const SystemState& system) const
    {
        std::size_t seed = boost::hash_value(system.ledger);
        for (const auto& controller : system.controllers) {
            boost::hash_combine(seed, controller.copyIndex);
            boost::hash_combine(seed, controller.isCurrent);
        }
        for (std::size_t vm = 0; vm < system.stopped.size(); ++vm) {
            boost::hash_combine(seed, system.stopped[vm]);
            boost::hash_combine(seed, static_cast<bool>(system.rebooting[vm]));
        }
        return seed;
    }
};

const model::PoolId poolA { "a" };
const model::PoolId poolB { "b" };

model::VmId vmId(std::size_t index) { return model::VmId { "vm-" + std::to_string(index) }; }

/** Manifest of one zone with the pools a and b, each with a budget of one VM. */
model::Manifest manifestOf(std::size_t vms)
{
    std::vector<model::Vm> list;
    for (std::size_t index = 0; index < vms; ++index) {
        list.emplace_back(model::Vm {
            .id = vmId(index), .zone = model::ZoneId { "z" }, .rack = model::RackId { "r" }, .pool = poolA });
    }
    // This VM gives the zone a share of the budget of pool b.
    list.emplace_back(model::Vm { .id = model::VmId { "vm-b" },
        .zone = model::ZoneId { "z" },
        .rack = model::RackId { "r" },
        .pool = poolB });
    return { .site = model::SiteId { "s" },
        .zones = { { model::ZoneId { "z" } } },
        .pools = { { poolA }, { poolB } },
        .vms = std::move(list),
        .services = {
            { .id = model::ServiceId { "sa" }, .pool = poolA, .maxUnavailable = 1 },
            { .id = model::ServiceId { "sb" }, .pool = poolB, .maxUnavailable = 1 },
        } };
}

/** Explores all reachable states of one row in breadth-first order and reports the first violation. */
class Exploration {
public:
    explicit Exploration(const Row& explored)
        : row(explored)
        , layout(fleet::layoutOf(manifestOf(explored.vms), { 1 }, model::ZoneId { "z" }))
    {
        SystemState first;
        first.ledger = intern(initial());
        first.controllers.resize(this->row.controllers);
        first.stopped.resize(this->row.vms);
        first.rebooting.resize(this->row.vms);
        visit(first, noIndex, "start");
    }

    void run()
    {
        while (!this->frontier.empty() && this->violation.empty()) {
            const auto index = this->frontier.front();
            this->frontier.pop_front();
            expand(index);
        }
    }

    std::size_t states() const { return this->stateIndices.size(); }

    /** Trace of the first violation; empty when there is none. */
    const std::string& trace() const { return this->violation; }

private:
    struct Outcome {
        const fleet::Step step;
        const std::size_t vm;
        /** Index of the resulting ledger. */
        const int ledger;
    };
    struct Origin {
        int parent;
        std::string action;
    };

    fleet::Ledger initial() const
    {
        const auto adopted = fleet::apply(
            fleet::emptyLedger(this->layout.zone), this->layout, fleet::Step { fleet::AdoptManifest {} }, {});
        const fleet::RaiseShares raise { { { this->layout.zone, { 1 } } } };
        return *fleet::apply(*adopted, this->layout, fleet::Step { raise }, {});
    }

    int intern(const fleet::Ledger& ledger)
    {
        const auto [entry, isNew]
            = this->ledgerIndices.emplace(ledger, static_cast<int>(this->ledgers.size()));
        if (isNew) {
            this->ledgers.push_back(ledger);
        }
        return entry->second;
    }

    void visit(const SystemState& system, int parent, const std::string& action)
    {
        const auto [entry, isNew]
            = this->stateIndices.emplace(system, static_cast<int>(this->origins.size()));
        if (!isNew) {
            return;
        }
        this->origins.push_back({ parent, action });
        this->statesByIndex.push_back(&entry->first);
        this->frontier.push_back(entry->second);
    }

    void fail(const SystemState& system, int parent, const std::string& action, const std::string& reason)
    {
        if (!this->violation.empty()) {
            return;
        }
        visit(system, parent, action);
        std::vector<std::string> lines { reason, action };
        for (auto index = parent; index != noIndex; index = this->origins[index].parent) {
            lines.push_back(this->origins[index].action);
        }
        for (auto line = lines.rbegin(); line != lines.rend(); ++line) {
            this->violation += *line + "\n";
        }
    }

    /** Number of VMs of a pool that are out of service in the ledger or rebooting. */
    std::size_t countOutOfService(const SystemState& system, const model::PoolId& pool) const
    {
        std::size_t count = 0;
        for (const auto& [vm, record] : this->ledgers[system.ledger].vms) {
            bool isOut = record.state != VmState::Serving;
            for (std::size_t index = 0; index < this->row.vms; ++index) {
                isOut = isOut || (vm == vmId(index) && system.rebooting[index]);
            }
            count += record.pool == pool && isOut ? 1 : 0;
        }
        return count;
    }

    bool isOverBudget(const SystemState& system) const
    {
        return countOutOfService(system, poolA) > 1 || countOutOfService(system, poolB) > 1;
    }

    void expand(int index)
    {
        const SystemState system = *this->statesByIndex[index];
        for (std::size_t vm = 0; vm < this->row.vms; ++vm) {
            if (system.rebooting[vm]) {
                auto next = system;
                next.rebooting[vm] = false;
                visit(next, index, "the stop of " + vmId(vm).text() + " ends");
            }
        }
        for (std::size_t number = 0; number < system.controllers.size(); ++number) {
            const auto name = "controller " + std::to_string(number);
            read(system, index, number, name);
            if (system.controllers[number].copyIndex != noIndex) {
                crash(system, index, number, name);
                callPlatform(system, index, number, name);
                writeAll(system, index, number, name);
            }
        }
    }

    void read(const SystemState& system, int index, std::size_t number, const std::string& name)
    {
        auto next = system;
        next.controllers[number] = { system.ledger, true };
        visit(next, index, name + " reads");
    }

    void crash(const SystemState& system, int index, std::size_t number, const std::string& name)
    {
        auto next = system;
        next.controllers[number] = {};
        visit(next, index, name + " crashes");
    }

    /** A paused controller may call with an old copy; the platform ignores a step that it has registered. */
    void callPlatform(const SystemState& system, int index, std::size_t number, const std::string& name)
    {
        const auto& ledgerCopy = this->ledgers[system.controllers[number].copyIndex];
        for (std::size_t vm = 0; vm < this->row.vms; ++vm) {
            const auto& record = ledgerCopy.vms.at(vmId(vm));
            if (record.state != VmState::InMaintenance || record.step <= system.stopped[vm]) {
                continue;
            }
            auto next = system;
            next.stopped[vm] = record.step;
            next.rebooting[vm] = true;
            const auto action = name + " stops " + vmId(vm).text();
            const auto& stored = this->ledgers[system.ledger].vms.at(vmId(vm));
            if (stored.state == VmState::Serving) {
                fail(next, index, action, "a serving VM was stopped");
            } else if (!this->row.failures && isOverBudget(next)) {
                fail(next, index, action, "over budget");
            } else {
                visit(next, index, action);
            }
        }
    }

    /** All steps that a controller with this copy can write, with the resulting ledgers. */
    const std::vector<Outcome>& outcomes(int copyIndex)
    {
        const auto [entry, isNew] = this->outcomesByCopy.try_emplace(copyIndex);
        const fleet::Ledger ledgerCopy = this->ledgers[copyIndex];
        for (std::size_t vm = 0; isNew && vm < this->row.vms; ++vm) {
            for (const auto& step : stepsFor(ledgerCopy, vmId(vm))) {
                if (const auto written = fleet::apply(ledgerCopy, this->layout, step, {})) {
                    entry->second.push_back({ step, vm, intern(*written) });
                }
            }
        }
        return entry->second;
    }

    std::vector<fleet::Step> stepsFor(const fleet::Ledger& ledgerCopy, const model::VmId& id) const
    {
        const auto& record = ledgerCopy.vms.at(id);
        std::vector<fleet::Step> steps { fleet::Disrupt { id, fleet::Reason::Wave, "w" } };
        if (this->row.moves) {
            steps.emplace_back(
                fleet::Disrupt { id, fleet::Reason::Move, "", record.pool == poolA ? poolB : poolA });
        }
        for (const auto event : { VmEvent::WorkFinished, VmEvent::MaintenanceStarted,
                 VmEvent::MaintenanceFinished, VmEvent::HealthConfirmed, VmEvent::Repaired,
                 VmEvent::DrainCancelled, VmEvent::PoolChanged, VmEvent::FailureDetected }) {
            const bool excluded = (event == VmEvent::FailureDetected && !this->row.failures)
                || (event == VmEvent::MaintenanceStarted && record.reason == fleet::Reason::Move);
            if (!excluded) {
                steps.emplace_back(fleet::ApplyEvent { id, event, record.step });
            }
        }
        return steps;
    }

    /** Whether the observed state of the platform and of the VM lets a controller take the step. */
    bool isObservable(
        const SystemState& system, const fleet::Ledger& ledgerCopy, const Outcome& outcome) const
    {
        const auto* const advance = std::get_if<fleet::ApplyEvent>(&outcome.step);
        if (advance == nullptr) {
            return true;
        }
        const auto& record = ledgerCopy.vms.at(advance->vm);
        if (record.state == VmState::InMaintenance && system.stopped[outcome.vm] < record.step) {
            return false;
        }
        const bool needsAnswer = advance->event == VmEvent::MaintenanceFinished
            || advance->event == VmEvent::HealthConfirmed || advance->event == VmEvent::Repaired;
        return !needsAnswer || !system.rebooting[outcome.vm];
    }

    static std::string describe(const fleet::Step& step)
    {
        if (const auto* const disrupt = std::get_if<fleet::Disrupt>(&step)) {
            return "drain of " + disrupt->vm.text() + " for " + std::string { name(disrupt->reason) };
        }
        const auto& advance = std::get<fleet::ApplyEvent>(step);
        return std::string { lifecycle::name(advance.event) } + " of " + advance.vm.text();
    }

    void writeAll(const SystemState& system, int index, std::size_t number, const std::string& name)
    {
        const auto controller = system.controllers[number];
        const fleet::Ledger& ledgerCopy = this->ledgers[controller.copyIndex];
        if (this->row.versionCheck && !controller.isCurrent) {
            auto next = system;
            next.controllers[number] = {};
            visit(next, index, name + " writes; conflict");
            return;
        }
        if (ledgerCopy.lastStep >= this->row.maxSteps) {
            return;
        }
        for (const auto& outcome : outcomes(controller.copyIndex)) {
            if (isObservable(system, ledgerCopy, outcome)) {
                write(system, index, number, name + " writes the " + describe(outcome.step), outcome);
            }
        }
    }

    void write(const SystemState& system, int index, std::size_t number, const std::string& action,
        const Outcome& outcome)
    {
        auto next = system;
        next.ledger = outcome.ledger;
        for (auto& controller : next.controllers) {
            controller.isCurrent = false;
        }
        next.controllers[number] = { next.ledger, true };
        check(system, next, index, action, outcome.step);
        visit(next, index, action);
        next.controllers[number] = {};
        visit(next, index, action + "; the answer is lost");
    }

    void check(const SystemState& before, const SystemState& after, int index, const std::string& action,
        const fleet::Step& step)
    {
        const auto& old = this->ledgers[before.ledger];
        const auto& now = this->ledgers[after.ledger];
        const bool sameVms = std::ranges::equal(
            old.vms, now.vms, {}, [](const auto& entry) { return entry.first; },
            [](const auto& entry) { return entry.first; });
        const bool inDeclaredPools = std::ranges::all_of(now.vms,
            [](const auto& entry) { return entry.second.pool == poolA || entry.second.pool == poolB; });
        if (!sameVms || !inDeclaredPools) {
            fail(after, index, action, "a VM is not in exactly one pool");
        }
        const auto* const advance = std::get_if<fleet::ApplyEvent>(&step);
        const bool disrupts = advance == nullptr || advance->event == VmEvent::PoolChanged;
        if ((disrupts || !this->row.failures) && isOverBudget(after)) {
            fail(after, index, action, "over budget");
        }
        for (std::size_t vm = 0; vm < this->row.vms; ++vm) {
            if (after.rebooting[vm] && now.vms.at(vmId(vm)).state == VmState::Serving) {
                fail(after, index, action, "a VM serves while it is stopped");
            }
        }
        if (this->row.versionCheck && now.lastStep != old.lastStep + 1) {
            fail(after, index, action, "a step was applied to a stale version");
        }
    }

    const Row& row;
    const fleet::Layout layout;
    std::deque<fleet::Ledger> ledgers {};
    std::map<fleet::Ledger, int> ledgerIndices {};
    std::unordered_map<SystemState, int, SystemStateHash> stateIndices {};
    std::vector<const SystemState*> statesByIndex {};
    std::vector<Origin> origins {};
    std::map<int, std::vector<Outcome>> outcomesByCopy {};
    std::deque<int> frontier {};
    std::string violation {};
};

/**
 * Guards against interleavings of reads, writes, lost answers, pauses and crashes that put a VM into two
 * pools, exceed a budget or apply a step to a stale version. The row without the version check must find a
 * violation, which shows that the exploration detects one.
 */
BOOST_DATA_TEST_CASE(steps_hold_in_every_interleaving, boost::unit_test::data::make(rows), row)
{
    Exploration exploration { row };
    exploration.run();
    std::cout << "exploration: " << row.label << ": " << exploration.states() << " states\n"
              << exploration.trace();
    BOOST_TEST(exploration.trace().empty() == row.versionCheck);
    BOOST_TEST(exploration.states() > 100U);
}

} // namespace
