#include "wasabiroad/lifecycle/vm_machine.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using wasabiroad::lifecycle::VmEvent;
using wasabiroad::model::VmState;

struct Row {
    const VmState from;
    const VmEvent event;
    const std::optional<VmState> to;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << name(row.from) << " on " << name(row.event);
}

const std::array rows {
    Row { VmState::Serving, VmEvent::DrainRequested, VmState::Draining },
    Row { VmState::Serving, VmEvent::MaintenanceStarted, std::nullopt },
    Row { VmState::Serving, VmEvent::PoolChanged, std::nullopt },
    Row { VmState::Draining, VmEvent::WorkFinished, VmState::Drained },
    Row { VmState::Draining, VmEvent::MaintenanceStarted, std::nullopt },
    Row { VmState::Draining, VmEvent::PoolChanged, std::nullopt },
    Row { VmState::Draining, VmEvent::DrainCancelled, VmState::Serving },
    Row { VmState::Drained, VmEvent::MaintenanceStarted, VmState::InMaintenance },
    Row { VmState::Drained, VmEvent::PoolChanged, VmState::Returning },
    Row { VmState::Drained, VmEvent::DrainCancelled, VmState::Returning },
    Row { VmState::InMaintenance, VmEvent::MaintenanceFinished, VmState::Returning },
    Row { VmState::InMaintenance, VmEvent::HealthConfirmed, std::nullopt },
    Row { VmState::Returning, VmEvent::HealthConfirmed, VmState::Serving },
    Row { VmState::Returning, VmEvent::FailureDetected, VmState::Failed },
    Row { VmState::Failed, VmEvent::Repaired, VmState::Returning },
    Row { VmState::Failed, VmEvent::HealthConfirmed, std::nullopt },
};

/** Guards against stopping or moving a VM that still runs work, and serving without a health check. */
BOOST_DATA_TEST_CASE(vm_transitions, boost::unit_test::data::make(rows), row)
{
    BOOST_TEST((wasabiroad::lifecycle::next(row.from, row.event) == row.to));
}

} // namespace
