#include "wasabiroad/control/assemble.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>

namespace wasabiroad::control {

namespace {

/** A share of at least one keeps every upstream usable when there are more entries than slots. */
std::uint32_t divide(std::uint32_t total, std::uint32_t entries)
{
    return std::max(1U, total / std::max(1U, entries));
}

std::uint32_t slotsFor(const model::Vm& vm, const model::SlotPolicy& policy, std::uint32_t entries)
{
    return std::visit(kernel::Overloaded {
                          [&](const model::IndependentSlots&) { return vm.slots; },
                          [&](const model::DividedSlots&) { return divide(vm.slots, entries); },
                      },
        policy);
}

Assignment assignmentOf(const ControlState& state, const model::Vm& vm)
{
    const auto found = state.assignments.find(vm.id);
    return found == state.assignments.end() ? Assignment { vm.pool } : found->second;
}

model::UpstreamView viewOf(const ControlState& state, const model::Vm& vm, const model::ZoneId& zone)
{
    const auto& manifest = state.configuration->manifest;
    const auto assignment = assignmentOf(state, vm);
    return {
        .vm = vm.id,
        .address = vm.address,
        .pool = assignment.pool,
        .accepting = model::acceptsWork(assignment.state) && !state.leaving.contains(vm.id),
        .sameZone = vm.zone == zone,
        .slots = slotsFor(vm, manifest.policies.slots, state.membership.entriesInZone),
        .connections = divide(vm.connections, state.membership.entriesInSite),
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

model::RoutingSnapshot assemble(const ControlState& state, const model::ZoneId& zone, std::uint64_t sequence)
{
    const auto& manifest = state.configuration->manifest;
    std::vector<model::UpstreamView> upstreams;
    upstreams.reserve(manifest.vms.size());
    for (const auto& vm : manifest.vms) {
        upstreams.emplace_back(viewOf(state, vm, zone));
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
