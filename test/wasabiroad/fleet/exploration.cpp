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
    /** Steps of the ledger after which no further step is made. */
    const std::uint64_t maxSteps;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "2 controllers, 2 VMs, moves and failures", 2, 2, true, true, true, 8 },
    Row { "2 controllers, 3 VMs, moves", 2, 3, true, false, true, 9 },
    Row { "3 controllers, 2 VMs, failures", 3, 2, false, true, true, 8 },
    Row { "3 controllers, 3 VMs", 3, 3, false, false, true, 9 },
    Row { "2 controllers, 2 VMs, version check taken out", 2, 2, false, false, false, 8 },
};

constexpr int none = -1;

/** A controller between two of its actions. */
struct Controller {
    /** Ledger that it read last; none after a crash, a conflict or a lost answer. */
    int copy { none };
    bool current { false };

    friend auto operator<=>(const Controller&, const Controller&) = default;
};

/** The store, the machines and all controllers at one moment. */
struct World {
    int ledger { none };
    std::vector<Controller> controllers {};
    /** Step of the last stop of each VM, and whether it still lasts. */
    std::vector<std::uint64_t> stopped {};
    std::vector<bool> rebooting {};

    friend bool operator==(const World&, const World&) = default;
};

struct WorldHash {
    std::size_t operator()(const World& world) const
    {
        std::size_t seed = boost::hash_value(world.ledger);
        for (const auto& controller : world.controllers) {
            boost::hash_combine(seed, controller.copy);
            boost::hash_combine(seed, controller.current);
        }
        for (std::size_t vm = 0; vm < world.stopped.size(); ++vm) {
            boost::hash_combine(seed, world.stopped[vm]);
            boost::hash_combine(seed, static_cast<bool>(world.rebooting[vm]));
        }
        return seed;
    }
};

const model::PoolId poolA { "a" };
const model::PoolId poolB { "b" };

model::VmId vmId(std::size_t index) { return model::VmId { "vm-" + std::to_string(index) }; }

/** One zone with the pools a and b, each with a budget of one VM. */
model::Manifest manifestOf(std::size_t vms)
{
    std::vector<model::Vm> list;
    for (std::size_t index = 0; index < vms; ++index) {
        list.emplace_back(model::Vm {
            .id = vmId(index), .zone = model::ZoneId { "z" }, .rack = model::RackId { "r" }, .pool = poolA });
    }
    // The pool b starts empty; its service shares the budget of the only zone.
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

/** Visits every reachable state of one row and reports the first violation. */
class Exploration {
public:
    explicit Exploration(const Row& explored)
        : row(explored)
        , layout(fleet::layoutOf(manifestOf(explored.vms), { 1 }, model::ZoneId { "z" }))
    {
        World first;
        first.ledger = intern(initial());
        first.controllers.resize(this->row.controllers);
        first.stopped.resize(this->row.vms);
        first.rebooting.resize(this->row.vms);
        visit(first, none, "start");
    }

    void run()
    {
        while (!this->open.empty() && this->violation.empty()) {
            const auto index = this->open.front();
            this->open.pop_front();
            expand(index);
        }
    }

    std::size_t states() const { return this->worlds.size(); }

    /** Trace of the first violation; empty when there is none. */
    const std::string& trace() const { return this->violation; }

private:
    struct Outcome {
        const fleet::Step step;
        const std::size_t vm;
        /** Index of the ledger that the step makes. */
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
        const auto [entry, isNew] = this->known.emplace(ledger, static_cast<int>(this->ledgers.size()));
        if (isNew) {
            this->ledgers.push_back(ledger);
        }
        return entry->second;
    }

    void visit(const World& world, int parent, const std::string& action)
    {
        const auto [entry, isNew] = this->worlds.emplace(world, static_cast<int>(this->origins.size()));
        if (!isNew) {
            return;
        }
        this->origins.push_back({ parent, action });
        this->order.push_back(&entry->first);
        this->open.push_back(entry->second);
    }

    void fail(const World& world, int parent, const std::string& action, const std::string& reason)
    {
        if (!this->violation.empty()) {
            return;
        }
        visit(world, parent, action);
        std::vector<std::string> lines { reason, action };
        for (auto index = parent; index != none; index = this->origins[index].parent) {
            lines.push_back(this->origins[index].action);
        }
        for (auto line = lines.rbegin(); line != lines.rend(); ++line) {
            this->violation += *line + "\n";
        }
    }

    /** VMs of a pool that the ledger or the machines have out of service. */
    std::size_t out(const World& world, const model::PoolId& pool) const
    {
        std::size_t count = 0;
        for (const auto& [vm, record] : this->ledgers[world.ledger].vms) {
            bool isOut = record.state != VmState::Serving;
            for (std::size_t index = 0; index < this->row.vms; ++index) {
                isOut = isOut || (vm == vmId(index) && world.rebooting[index]);
            }
            count += record.pool == pool && isOut ? 1 : 0;
        }
        return count;
    }

    bool overBudget(const World& world) const { return out(world, poolA) > 1 || out(world, poolB) > 1; }

    void expand(int index)
    {
        const World world = *this->order[index];
        for (std::size_t vm = 0; vm < this->row.vms; ++vm) {
            if (world.rebooting[vm]) {
                auto next = world;
                next.rebooting[vm] = false;
                visit(next, index, "the stop of " + vmId(vm).text() + " ends");
            }
        }
        for (std::size_t number = 0; number < world.controllers.size(); ++number) {
            const auto name = "controller " + std::to_string(number);
            read(world, index, number, name);
            if (world.controllers[number].copy != none) {
                crash(world, index, number, name);
                callPlatform(world, index, number, name);
                writeAll(world, index, number, name);
            }
        }
    }

    void read(const World& world, int index, std::size_t number, const std::string& name)
    {
        auto next = world;
        next.controllers[number] = { world.ledger, true };
        visit(next, index, name + " reads");
    }

    void crash(const World& world, int index, std::size_t number, const std::string& name)
    {
        auto next = world;
        next.controllers[number] = {};
        visit(next, index, name + " crashes");
    }

    /** A paused controller may call with an old copy; the platform ignores a step that it has seen. */
    void callPlatform(const World& world, int index, std::size_t number, const std::string& name)
    {
        const auto& copy = this->ledgers[world.controllers[number].copy];
        for (std::size_t vm = 0; vm < this->row.vms; ++vm) {
            const auto& record = copy.vms.at(vmId(vm));
            if (record.state != VmState::InMaintenance || record.step <= world.stopped[vm]) {
                continue;
            }
            auto next = world;
            next.stopped[vm] = record.step;
            next.rebooting[vm] = true;
            const auto action = name + " stops " + vmId(vm).text();
            const auto& stored = this->ledgers[world.ledger].vms.at(vmId(vm));
            if (stored.state == VmState::Serving) {
                fail(next, index, action, "a serving VM was stopped");
            } else if (!this->row.failures && overBudget(next)) {
                fail(next, index, action, "over budget");
            } else {
                visit(next, index, action);
            }
        }
    }

    /** All steps that a controller with this copy can write, with the ledgers that they make. */
    const std::vector<Outcome>& outcomes(int copyIndex)
    {
        const auto [entry, isNew] = this->outcomesByCopy.try_emplace(copyIndex);
        const fleet::Ledger copy = this->ledgers[copyIndex];
        for (std::size_t vm = 0; isNew && vm < this->row.vms; ++vm) {
            for (const auto& step : stepsFor(copy, vmId(vm))) {
                if (const auto written = fleet::apply(copy, this->layout, step, {})) {
                    entry->second.push_back({ step, vm, intern(*written) });
                }
            }
        }
        return entry->second;
    }

    std::vector<fleet::Step> stepsFor(const fleet::Ledger& copy, const model::VmId& id) const
    {
        const auto& record = copy.vms.at(id);
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

    /** What the platform and the VM itself show now decides whether a controller takes some steps. */
    bool observable(const World& world, const fleet::Ledger& copy, const Outcome& outcome) const
    {
        const auto* const advance = std::get_if<fleet::ApplyEvent>(&outcome.step);
        if (advance == nullptr) {
            return true;
        }
        const auto& record = copy.vms.at(advance->vm);
        if (record.state == VmState::InMaintenance && world.stopped[outcome.vm] < record.step) {
            return false;
        }
        const bool needsAnswer = advance->event == VmEvent::MaintenanceFinished
            || advance->event == VmEvent::HealthConfirmed || advance->event == VmEvent::Repaired;
        return !needsAnswer || !world.rebooting[outcome.vm];
    }

    static std::string describe(const fleet::Step& step)
    {
        if (const auto* const disrupt = std::get_if<fleet::Disrupt>(&step)) {
            return "drain of " + disrupt->vm.text() + " for " + std::string { name(disrupt->reason) };
        }
        const auto& advance = std::get<fleet::ApplyEvent>(step);
        return std::string { lifecycle::name(advance.event) } + " of " + advance.vm.text();
    }

    void writeAll(const World& world, int index, std::size_t number, const std::string& name)
    {
        const auto controller = world.controllers[number];
        const fleet::Ledger& copy = this->ledgers[controller.copy];
        if (this->row.versionCheck && !controller.current) {
            auto next = world;
            next.controllers[number] = {};
            visit(next, index, name + " writes and gets a conflict");
            return;
        }
        if (copy.lastStep >= this->row.maxSteps) {
            return;
        }
        for (const auto& outcome : outcomes(controller.copy)) {
            if (observable(world, copy, outcome)) {
                write(world, index, number, name + " writes the " + describe(outcome.step), outcome);
            }
        }
    }

    void write(
        const World& world, int index, std::size_t number, const std::string& action, const Outcome& outcome)
    {
        auto next = world;
        next.ledger = outcome.ledger;
        for (auto& controller : next.controllers) {
            controller.current = false;
        }
        next.controllers[number] = { next.ledger, true };
        check(world, next, index, action, outcome.step);
        visit(next, index, action);
        next.controllers[number] = {};
        visit(next, index, action + "; the answer is lost");
    }

    void check(const World& before, const World& after, int index, const std::string& action,
        const fleet::Step& step)
    {
        const auto& old = this->ledgers[before.ledger];
        const auto& now = this->ledgers[after.ledger];
        const bool samePools = std::ranges::equal(
            old.vms, now.vms, {}, [](const auto& entry) { return entry.first; },
            [](const auto& entry) { return entry.first; });
        const bool declared = std::ranges::all_of(now.vms,
            [](const auto& entry) { return entry.second.pool == poolA || entry.second.pool == poolB; });
        if (!samePools || !declared) {
            fail(after, index, action, "a VM is not in exactly one pool");
        }
        const auto* const advance = std::get_if<fleet::ApplyEvent>(&step);
        const bool disrupts = advance == nullptr || advance->event == VmEvent::PoolChanged;
        if ((disrupts || !this->row.failures) && overBudget(after)) {
            fail(after, index, action, "over budget");
        }
        for (std::size_t vm = 0; vm < this->row.vms; ++vm) {
            if (after.rebooting[vm] && now.vms.at(vmId(vm)).state == VmState::Serving) {
                fail(after, index, action, "a VM serves while it is stopped");
            }
        }
        if (this->row.versionCheck && now.lastStep != old.lastStep + 1) {
            fail(after, index, action, "a step from a stale version");
        }
    }

    const Row& row;
    const fleet::Layout layout;
    std::deque<fleet::Ledger> ledgers {};
    std::map<fleet::Ledger, int> known {};
    std::unordered_map<World, int, WorldHash> worlds {};
    std::vector<const World*> order {};
    std::vector<Origin> origins {};
    std::map<int, std::vector<Outcome>> outcomesByCopy {};
    std::deque<int> open {};
    std::string violation {};
};

/**
 * Guards against any interleaving of readers, writers, lost answers, pauses and crashes that puts a VM
 * into two pools, breaks a budget or makes a step from a stale version. The row without the version
 * check must find a violation, which shows that the exploration can.
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
