#include "wasabiroad/fleet/progress.hpp"

namespace wasabiroad::fleet {

using lifecycle::VmEvent;
using model::VmState;

namespace {

VmAction whileDraining(const VmObservation& observation, const ProgressRules& rules)
{
    if (observation.aborted) {
        return WriteEvent { VmEvent::DrainCancelled };
    }
    const bool idle = observation.running && *observation.running == 0;
    return idle && observation.timeInState >= rules.drainPropagation
        ? VmAction { WriteEvent { VmEvent::WorkFinished } }
        : VmAction { NoAction {} };
}

VmAction whileDrained(const VmRecord& record, const VmObservation& observation)
{
    switch (record.reason) {
    case Reason::Wave:
        return WriteEvent { observation.aborted ? VmEvent::DrainCancelled : VmEvent::MaintenanceStarted };
    case Reason::Move:
        return WriteEvent { VmEvent::PoolChanged };
    case Reason::None:
    case Reason::Operator:
    case Reason::Failure:
        break;
    }
    return NoAction {};
}

VmAction whileInMaintenance(
    const VmRecord& record, const VmObservation& observation, const ProgressRules& rules)
{
    if (!observation.platformStep) {
        return NoAction {};
    }
    if (*observation.platformStep < record.step) {
        return StopVm { record.step };
    }
    if (!observation.rebooting) {
        return WriteEvent { VmEvent::MaintenanceFinished };
    }
    return observation.timeInState >= rules.stopTimeout ? VmAction { WriteEvent { VmEvent::FailureDetected } }
                                                        : VmAction { NoAction {} };
}

VmAction confirmHealth(const VmObservation& observation, const ProgressRules& rules, VmEvent event)
{
    const bool healthy = observation.healthyFor && *observation.healthyFor >= rules.healthWait
        && observation.timeInState >= rules.healthWait;
    return healthy && !observation.rebooting ? VmAction { WriteEvent { event } } : VmAction { NoAction {} };
}

} // namespace

VmAction nextAction(const VmRecord& record, const VmObservation& observation, const ProgressRules& rules)
{
    const bool mustAnswerProbes = record.state == VmState::Serving || record.state == VmState::Draining
        || record.state == VmState::Returning;
    if (mustAnswerProbes && observation.failedProbes >= rules.failedProbes) {
        return WriteEvent { VmEvent::FailureDetected };
    }
    switch (record.state) {
    case VmState::Serving:
        return NoAction {};
    case VmState::Draining:
        return whileDraining(observation, rules);
    case VmState::Drained:
        return whileDrained(record, observation);
    case VmState::InMaintenance:
        return whileInMaintenance(record, observation, rules);
    case VmState::Returning:
        return confirmHealth(observation, rules, VmEvent::HealthConfirmed);
    case VmState::Failed:
        return confirmHealth(observation, rules, VmEvent::Repaired);
    }
    return NoAction {};
}

} // namespace wasabiroad::fleet
