#include "wasabiroad/fleet/wave.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using namespace wasabiroad::fleet;
using kernel::ResultCode;

const model::VmId one { "vm-1" };
const model::VmId two { "vm-2" };
const model::VmId three { "vm-3" };
const std::set<model::VmId> vms { one, two, three };

struct Row {
    const std::string label;
    const std::vector<WaveChange> before;
    const WaveChange last;
    const ResultCode code;
    const WavePhase phase;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "starts", {}, StartWave {}, ResultCode::Ok, WavePhase::Running },
    Row { "rejects a second start", { StartWave {} }, StartWave {}, ResultCode::TransitionNotAllowed,
        WavePhase::Running },
    Row { "rejects a pause before the start", {}, PauseWave {}, ResultCode::TransitionNotAllowed,
        WavePhase::Idle },
    Row { "rejects a claim while paused", { StartWave {}, PauseWave {} }, ClaimSlot { one },
        ResultCode::TransitionNotAllowed, WavePhase::Paused },
    Row { "rejects a claim when all slots are held", { StartWave {}, ClaimSlot { one }, ClaimSlot { two } },
        ClaimSlot { three }, ResultCode::BudgetExhausted, WavePhase::Running },
    Row { "rejects a claim of a VM that is not selected", { StartWave {} }, ClaimSlot { model::VmId { "x" } },
        ResultCode::UnknownVm, WavePhase::Running },
    Row { "rejects a second claim of a maintained VM",
        { StartWave {}, ClaimSlot { one }, ReleaseSlot { one } }, ClaimSlot { one },
        ResultCode::TransitionNotAllowed, WavePhase::Running },
    Row { "claims a released VM that was not maintained",
        { StartWave {}, ClaimSlot { one }, ReleaseSlot { one, false } }, ClaimSlot { one }, ResultCode::Ok,
        WavePhase::Running },
    Row { "one failure is below the limit", { StartWave {} }, RecordFailure { one }, ResultCode::Ok,
        WavePhase::Running },
    Row { "two failures stop the wave", { StartWave {}, RecordFailure { one } }, RecordFailure { two },
        ResultCode::Ok, WavePhase::Stopped },
    Row { "rejects a second report of the same failure", { StartWave {}, RecordFailure { one } },
        RecordFailure { one }, ResultCode::TransitionNotAllowed, WavePhase::Running },
    Row { "earlier failures do not stop a resumed wave",
        { StartWave {}, RecordFailure { one }, RecordFailure { two }, ResumeWave {} }, PauseWave {},
        ResultCode::Ok, WavePhase::Paused },
    Row { "finishes when the last VM is released",
        { StartWave {}, RecordFailure { one }, ClaimSlot { two }, ReleaseSlot { two }, ClaimSlot { three } },
        ReleaseSlot { three }, ResultCode::Ok, WavePhase::Finished },
    Row { "rejects a start after an abort while a VM is active",
        { StartWave {}, ClaimSlot { one }, AbortWave {} }, StartWave {}, ResultCode::TransitionNotAllowed,
        WavePhase::Aborted },
};

/** Guards against waves that exceed their slots, ignore failures or end early. */
BOOST_DATA_TEST_CASE(changes_the_progress, boost::unit_test::data::make(rows), row)
{
    const model::Wave wave { .id = model::WaveId { "w" }, .parallel = 2, .stopAfterFailures = 2 };
    auto progress = std::make_shared<const WaveProgress>(WaveProgress { wave.id });
    for (const auto& change : row.before) {
        const auto next = apply(*progress, wave, vms, change, {});
        BOOST_REQUIRE(next);
        progress = std::make_shared<const WaveProgress>(*next);
    }
    const auto next = apply(*progress, wave, vms, row.last, {});
    BOOST_TEST(name(next ? ResultCode::Ok : next.error().code) == name(row.code));
    BOOST_TEST(name(next ? next->phase : progress->phase) == name(row.phase));
}

} // namespace
