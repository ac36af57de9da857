#include "wasabiroad/fleet/progress.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using namespace wasabiroad::fleet;
using lifecycle::VmEvent;
using model::VmState;

struct Row {
    const std::string label;
    const VmState state;
    const Reason reason;
    const VmObservation seen;
    const VmAction action;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

constexpr kernel::Duration early { 2999 };
constexpr kernel::Duration late { 3000 };

const std::array rows {
    Row { "long-running work is not interrupted", VmState::Draining, Reason::Wave,
        { .timeInState = { 900000 }, .running = 1 }, NoAction {} },
    Row { "daemons may still send", VmState::Draining, Reason::Wave, { .timeInState = early, .running = 0 },
        NoAction {} },
    Row { "no probe after the drain has propagated", VmState::Draining, Reason::Wave, { .timeInState = late },
        NoAction {} },
    Row { "drained", VmState::Draining, Reason::Wave, { .timeInState = late, .running = 0 },
        WriteEvent { VmEvent::WorkFinished } },
    Row { "aborted while draining", VmState::Draining, Reason::Wave, { .aborted = true },
        WriteEvent { VmEvent::DrainCancelled } },
    Row { "aborted after draining", VmState::Drained, Reason::Wave, { .aborted = true },
        WriteEvent { VmEvent::DrainCancelled } },
    Row { "operator's drain is kept", VmState::Drained, Reason::Operator, {}, NoAction {} },
    Row { "move continues", VmState::Drained, Reason::Move, {}, WriteEvent { VmEvent::PoolChanged } },
    Row { "platform's list not read", VmState::InMaintenance, Reason::Wave, {}, NoAction {} },
    Row {
        "stop not yet requested", VmState::InMaintenance, Reason::Wave, { .platformStep = 6 }, StopVm { 7 } },
    Row { "stop in progress", VmState::InMaintenance, Reason::Wave, { .platformStep = 7, .rebooting = true },
        NoAction {} },
    Row { "stop ended", VmState::InMaintenance, Reason::Wave, { .platformStep = 7 },
        WriteEvent { VmEvent::MaintenanceFinished } },
    Row { "not healthy for long enough", VmState::Returning, Reason::Wave,
        { .timeInState = { 1999 }, .healthyFor = kernel::Duration { 5000 } }, NoAction {} },
    Row { "healthy", VmState::Returning, Reason::Wave,
        { .timeInState = { 2000 }, .healthyFor = kernel::Duration { 2000 } },
        WriteEvent { VmEvent::HealthConfirmed } },
    Row { "one lost probe", VmState::Serving, Reason::None, { .failedProbes = 2 }, NoAction {} },
    Row { "failed", VmState::Serving, Reason::None, { .failedProbes = 3 },
        WriteEvent { VmEvent::FailureDetected } },
    Row { "answers while it is stopped", VmState::Failed, Reason::Failure,
        { .timeInState = late, .healthyFor = late, .rebooting = true }, NoAction {} },
};

/** Guards against interrupted work, a stop that is requested twice, and a VM that serves without a health
 * check. */
BOOST_DATA_TEST_CASE(decides_the_next_action, boost::unit_test::data::make(rows), row)
{
    const VmRecord record {
        .pool = model::PoolId { "p" }, .state = row.state, .reason = row.reason, .step = 7
    };
    BOOST_TEST((nextAction(record, row.seen, {}) == row.action));
}

} // namespace
