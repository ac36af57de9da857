#include "wasabiroad/lifecycle/vm_machine.hpp"

#include "wasabiroad/lifecycle/transitions.hpp"

#include <boost/mpl/vector.hpp>

namespace wasabiroad::lifecycle {

namespace {

using model::VmState;

template <VmState from, VmEvent event, VmState to>
using Row = boost::msm::front::Row<internal::InState<from>, internal::OnEvent<event>, internal::InState<to>>;

struct VmTable {
    using Rows = boost::mpl::vector<Row<VmState::Serving, VmEvent::DrainRequested, VmState::Draining>,
        Row<VmState::Serving, VmEvent::FailureDetected, VmState::Failed>,
        Row<VmState::Draining, VmEvent::DrainCancelled, VmState::Serving>,
        Row<VmState::Draining, VmEvent::WorkFinished, VmState::Drained>,
        Row<VmState::Draining, VmEvent::FailureDetected, VmState::Failed>,
        Row<VmState::Drained, VmEvent::DrainCancelled, VmState::Returning>,
        Row<VmState::Drained, VmEvent::MaintenanceStarted, VmState::InMaintenance>,
        Row<VmState::Drained, VmEvent::PoolChanged, VmState::Returning>,
        Row<VmState::Drained, VmEvent::FailureDetected, VmState::Failed>,
        Row<VmState::InMaintenance, VmEvent::MaintenanceFinished, VmState::Returning>,
        Row<VmState::InMaintenance, VmEvent::FailureDetected, VmState::Failed>,
        Row<VmState::Returning, VmEvent::HealthConfirmed, VmState::Serving>,
        Row<VmState::Returning, VmEvent::FailureDetected, VmState::Failed>,
        Row<VmState::Failed, VmEvent::Repaired, VmState::Returning>>;
};

constexpr std::size_t stateCount = 6;
constexpr std::size_t eventCount = 9;
static_assert(static_cast<std::size_t>(VmState::Failed) + 1 == stateCount);
static_assert(static_cast<std::size_t>(VmEvent::Repaired) + 1 == eventCount);

} // namespace

std::string_view name(VmEvent event)
{
    switch (event) {
    case VmEvent::DrainRequested:
        return "drain-requested";
    case VmEvent::DrainCancelled:
        return "drain-cancelled";
    case VmEvent::WorkFinished:
        return "work-finished";
    case VmEvent::MaintenanceStarted:
        return "maintenance-started";
    case VmEvent::MaintenanceFinished:
        return "maintenance-finished";
    case VmEvent::PoolChanged:
        return "pool-changed";
    case VmEvent::HealthConfirmed:
        return "health-confirmed";
    case VmEvent::FailureDetected:
        return "failure-detected";
    case VmEvent::Repaired:
        return "repaired";
    }
    return "unlisted";
}

std::optional<VmState> next(VmState from, VmEvent event)
{
    static const internal::Transitions<VmTable, VmState, VmEvent, stateCount, eventCount> transitions;
    return transitions.next(from, event);
}

} // namespace wasabiroad::lifecycle
