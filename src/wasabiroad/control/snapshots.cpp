#include "wasabiroad/control/snapshots.hpp"

#include "wasabiroad/kernel/log.hpp"

namespace wasabiroad::control {

Snapshots::Snapshots(kernel::EventBus& bus, DaemonLocation daemonLocation)
    : location(std::move(daemonLocation))
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
    bus.subscribe<SnapshotInUse>([this](const SnapshotInUse& event) { markInUse(event.sequence); });
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
        assemble(*this->current, this->location, ++this->sequence));
    kernel::logEvent("snapshot-published",
        { { "snapshot", snapshot->sequence }, { "generation", snapshot->generation.value },
            { "upstreams", snapshot->upstreams.size() }, { "services", snapshot->services.size() } });
    this->published.emplace(snapshot->sequence, this->current->configuration);
    this->routing.publish(snapshot);
}

void Snapshots::markInUse(std::uint64_t usedSequence)
{
    const auto end = this->published.upper_bound(usedSequence);
    if (end == this->published.begin()) {
        return;
    }
    const auto configuration = std::prev(end)->second;
    this->published.erase(this->published.begin(), end);
    if (configuration == this->configurationInForce) {
        return;
    }
    this->configurationInForce = configuration;
    kernel::logEvent("configuration-in-force",
        { { "generation", configuration->generation.value }, { "digest", configuration->digest } });
}

} // namespace wasabiroad::control
