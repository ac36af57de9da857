#include "wasabiroad/control/assemble.hpp"

#include "wasabiroad/routing/slot_share.hpp"

#include <algorithm>

namespace wasabiroad::control {

namespace {

routing::SharingEntries sharingEntries(const ControlState& state, const DaemonLocation& location)
{
    std::vector<std::string> entries;
    for (const auto& entry : state.membership.zoneEntries) {
        entries.push_back(entry.text());
    }
    if (std::ranges::find(entries, location.entry.text()) == entries.end()) {
        entries.push_back(location.entry.text());
    }
    const auto zones = static_cast<std::uint32_t>(state.configuration->manifest.zones.size());
    return { location.entry.text(), std::move(entries), zones };
}

Assignment assignmentOf(const ControlState& state, const model::Vm& vm)
{
    const auto found = state.assignments.find(vm.id);
    return found == state.assignments.end() ? Assignment { vm.pool } : found->second;
}

model::UpstreamView viewOf(const ControlState& state, const model::Vm& vm, const model::ZoneId& zone,
    const routing::SharingEntries& entries)
{
    const auto assignment = assignmentOf(state, vm);
    const bool sameZone = vm.zone == zone;
    // A daemon without peers is the only entry VM, so the upstreams of other zones have no entry VM of their
    // own zone whose share has to be left free.
    const bool sharesInZone = sameZone || state.membership.zoneEntries.empty();
    const auto share = routing::slotShare(state.configuration->manifest.policies.slots,
        { vm.id.text(), sharesInZone, vm.slots, vm.connections }, entries);
    return {
        .vm = vm.id,
        .address = vm.address,
        .pool = assignment.pool,
        .accepting = model::acceptsWork(assignment.state) && !state.leaving.contains(vm.id),
        .sameZone = sameZone,
        .slots = share.slots,
        .connections = share.connections,
        .memory = vm.memory,
        .accelerators = vm.accelerators,
    };
}

using PoolMembers = std::map<model::PoolId, std::vector<std::uint32_t>>;

PoolMembers membersByPool(const std::vector<model::UpstreamView>& upstreams)
{
    PoolMembers members;
    for (std::uint32_t index = 0; index < upstreams.size(); ++index) {
        members[upstreams[index].pool].push_back(index);
    }
    return members;
}

model::ServiceView viewOf(const model::Service& service, const PoolMembers& members)
{
    std::vector<std::uint32_t> own;
    if (const auto pool = members.find(service.pool); pool != members.end()) {
        own = pool->second;
    }
    std::vector<std::uint32_t> borrowed;
    for (const auto& id : service.borrowFrom) {
        if (const auto pool = members.find(id); pool != members.end() && id != service.pool) {
            borrowed.insert(borrowed.end(), pool->second.begin(), pool->second.end());
        }
    }
    return { service, std::move(own), std::move(borrowed) };
}

} // namespace

model::RoutingSnapshot assemble(
    const ControlState& state, const DaemonLocation& location, std::uint64_t sequence)
{
    const auto& manifest = state.configuration->manifest;
    std::vector<model::UpstreamView> upstreams;
    upstreams.reserve(manifest.vms.size());
    const auto entries = sharingEntries(state, location);
    for (const auto& vm : manifest.vms) {
        upstreams.emplace_back(viewOf(state, vm, location.zone, entries));
    }
    const auto members = membersByPool(upstreams);
    std::map<model::ServiceId, model::ServiceView> services;
    for (const auto& service : manifest.services) {
        services.emplace(service.id, viewOf(service, members));
    }
    std::map<model::TeamId, model::Team> teams;
    for (const auto& team : manifest.teams) {
        teams.emplace(team.id, team);
    }
    return {
        .generation = state.configuration->generation,
        .sequence = sequence,
        .upstreams = std::move(upstreams),
        .services = std::move(services),
        .teams = std::move(teams),
        .entries = state.membership.entriesInSite,
        .policies = manifest.policies,
    };
}

} // namespace wasabiroad::control
