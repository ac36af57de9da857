#include "wasabiroad/fleet/wave_planner.hpp"

#include "wasabiroad/manifest/read.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <ostream>
#include <sstream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using fleet::Ledger;
using lifecycle::VmEvent;
using model::VmState;

struct Row {
    const std::string example;
    const std::uint32_t parallel;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << row.example << ", " << row.parallel << " at once";
}

const std::array rows {
    Row { "hallbach.json", 2 },
    Row { "accord-labs.json", 2 },
    Row { "hallbach.json", 4 },
    Row { "accord-labs.json", 4 },
};

constexpr kernel::Duration drainTime { 3000 };
constexpr kernel::Duration rebootTime { 60000 };
/** Interval in which each controller acts once. */
constexpr kernel::Duration tick { 200 };

model::Manifest example(const std::string& name)
{
    std::ostringstream text;
    text << std::ifstream { std::string { EXAMPLES_DIR } + "/" + name }.rdbuf();
    return *manifest::read(text.str());
}

/** One controller per zone, in virtual time. Each writes each document at most once per tick. */
class Simulation {
public:
    Simulation(model::Manifest simulated, model::Wave simulatedWave)
        : manifest(std::move(simulated))
        , wave(std::move(simulatedWave))
        , vms(fleet::selectedVms(this->manifest, this->wave))
        , progress(std::make_shared<fleet::WaveProgress>(fleet::WaveProgress { this->wave.id }))
    {
        std::map<model::ZoneId, model::Generation> generations;
        for (const auto& zone : this->manifest.zones) {
            this->layouts.emplace(zone.id, fleet::layoutOf(this->manifest, { 1 }, zone.id));
            this->ledgers.emplace(zone.id, fleet::emptyLedger(zone.id));
            generations.emplace(zone.id, model::Generation { 1 });
        }
        for (const auto& zone : this->manifest.zones) {
            applyStep(zone.id, fleet::AdoptManifest {});
            applyStep(zone.id, fleet::RaiseShares { generations });
        }
        applyChange(fleet::StartWave {});
    }

    kernel::Duration run()
    {
        const auto begin = this->now;
        while (this->progress->phase == fleet::WavePhase::Running && this->now.milliseconds < 100000000) {
            this->now = this->now + tick;
            for (const auto& zone : this->manifest.zones) {
                runController(zone.id);
                checkBudgets();
            }
        }
        return this->now - begin;
    }

    bool finished() const { return this->progress->phase == fleet::WavePhase::Finished; }
    std::size_t violations() const { return this->budgetViolations; }
    std::size_t size() const { return this->vms.size(); }

private:
    bool applyStep(const model::ZoneId& zone, const fleet::Step& step)
    {
        const auto next = fleet::apply(this->ledgers.at(zone), this->layouts.at(zone), step, this->now);
        if (next) {
            this->ledgers.erase(zone);
            this->ledgers.emplace(zone, *next);
        }
        return next.has_value();
    }

    bool applyChange(const fleet::WaveChange& change)
    {
        const auto next = fleet::apply(*this->progress, this->wave, this->vms, change, this->now);
        if (next) {
            this->progress = std::make_shared<const fleet::WaveProgress>(*next);
        }
        return next.has_value();
    }

    void runController(const model::ZoneId& zone)
    {
        const auto pending = fleet::pendingVms(this->manifest, this->wave, *this->progress);
        if (const auto lendingStep = fleet::nextLendingStep(this->layouts.at(zone), this->ledgers, pending)) {
            applyStep(zone, *lendingStep);
            return;
        }
        if (!advanceOne(zone) && this->progress->active.size() < this->wave.parallel) {
            claimOne(zone);
        }
    }

    void claimOne(const model::ZoneId& zone)
    {
        const fleet::VersionedManifest versioned { this->manifest, { 1 } };
        for (const auto& choice :
            fleet::planWave(versioned, this->wave, *this->progress, this->ledgers, {}, this->now)) {
            if (choice.zone == zone && std::holds_alternative<fleet::StartNow>(choice.decision)) {
                applyChange(fleet::ClaimSlot { choice.vm });
                return;
            }
        }
    }

    bool advanceOne(const model::ZoneId& zone)
    {
        for (const auto& [vm, record] : this->ledgers.at(zone).vms) {
            const bool active = this->progress->active.contains(vm);
            const auto age = this->now - record.since;
            const auto cause = fleet::runName(*this->progress);
            if (record.state == VmState::Serving && active) {
                return record.maintained == cause
                    ? applyChange(fleet::ReleaseSlot { vm })
                    : applyStep(zone, fleet::Disrupt { vm, fleet::Reason::Wave, cause });
            }
            if (record.state == VmState::Draining && age >= drainTime) {
                return applyStep(zone, fleet::ApplyEvent { vm, VmEvent::WorkFinished });
            }
            if (record.state == VmState::Drained) {
                return applyStep(zone, fleet::ApplyEvent { vm, VmEvent::MaintenanceStarted });
            }
            if (record.state == VmState::InMaintenance && age >= rebootTime) {
                return applyStep(zone, fleet::ApplyEvent { vm, VmEvent::MaintenanceFinished, record.step });
            }
            if (record.state == VmState::Returning && age >= this->wave.healthWait) {
                return applyStep(zone, fleet::ApplyEvent { vm, VmEvent::HealthConfirmed });
            }
        }
        return false;
    }

    void checkBudgets()
    {
        for (const auto& service : this->manifest.services) {
            std::uint32_t unavailableVms = 0;
            for (const auto& [zone, ledger] : this->ledgers) {
                unavailableVms += fleet::unavailable(ledger, service.pool);
            }
            this->budgetViolations += unavailableVms > service.maxUnavailable ? 1 : 0;
        }
    }

    const model::Manifest manifest;
    const model::Wave wave;
    const std::set<model::VmId> vms;
    std::shared_ptr<const fleet::WaveProgress> progress;
    std::map<model::ZoneId, fleet::Layout> layouts {};
    fleet::Ledgers ledgers {};
    kernel::Instant now { 1000000 };
    std::size_t budgetViolations { 0 };
};

/** Guards against a plan that leaves slots unused, and against a wave that exceeds a budget. */
BOOST_DATA_TEST_CASE(comes_near_the_lower_bound, boost::unit_test::data::make(rows), row)
{
    const auto manifest = example(row.example);
    const auto& declared = manifest.waves.front();
    const model::Wave wave { .id = declared.id,
        .parallel = row.parallel,
        .stopAfterFailures = declared.stopAfterFailures,
        .healthWait = declared.healthWait };
    Simulation simulation { manifest, wave };
    const auto duration = simulation.run();
    const auto timePerVm = (drainTime + rebootTime + wave.healthWait).milliseconds;
    // The bound assumes that all slots are always in use.
    const auto bound = static_cast<double>(timePerVm) * static_cast<double>(simulation.size()) / row.parallel;
    const auto ratio = static_cast<double>(duration.milliseconds) / bound;
    std::cout << "wave: " << row << ": " << duration.milliseconds << " ms, " << ratio
              << " times the lower bound\n";
    BOOST_TEST(simulation.finished());
    BOOST_TEST(simulation.violations() == 0U);
    BOOST_TEST(ratio <= 1.15);
}

} // namespace
