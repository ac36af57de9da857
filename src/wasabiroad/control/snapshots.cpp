#include "wasabiroad/control/snapshots.hpp"

#include "wasabiroad/kernel/log.hpp"

namespace wasabiroad::control {

Snapshots::Snapshots(kernel::EventBus& bus, Place daemonPlace)
    : place(std::move(daemonPlace))
{
    bus.subscribe<ConfigurationAdopted>([this](const ConfigurationAdopted& event) {
        const auto& old = *this->current;
        replace({ event.configuration, old.assignments, old.leaving, old.membership });
    });
    bus.subscribe<AssignmentsChanged>([this](const AssignmentsChanged& event) {
        const auto& old = *this->current;
        replace({ old.configuration, event.assignments, old.leaving, old.membership });
    });
    bus.subscribe<LeavingVmsChanged>([this](const LeavingVmsChanged& event) {
        const auto& old = *this->current;
        replace({ old.configuration, old.assignments, event.leaving, old.membership });
    });
    bus.subscribe<MembershipChanged>([this](const MembershipChanged& event) {
        const auto& old = *this->current;
        replace({ old.configuration, old.assignments, old.leaving, event });
    });
}

void Snapshots::replace(ControlState state)
{
    if (state == *this->current) {
        return;
    }
    this->current = std::make_shared<const ControlState>(std::move(state));
    if (!this->current->configuration) {
        return;
    }
    const auto snapshot = std::make_shared<const model::RoutingSnapshot>(
        assemble(*this->current, this->place, ++this->sequence));
    kernel::logEvent("snapshot-published",
        { { "snapshot", snapshot->sequence }, { "generation", snapshot->generation.value },
            { "upstreams", snapshot->upstreams.size() }, { "services", snapshot->services.size() } });
    this->routing.publish(snapshot);
}

} // namespace wasabiroad::control
