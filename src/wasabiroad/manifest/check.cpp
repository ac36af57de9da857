#include "wasabiroad/manifest/check.hpp"

#include <map>
#include <set>
#include <string>
#include <type_traits>

namespace wasabiroad::manifest {

using kernel::Error;
using kernel::Errors;
using kernel::ResultCode;

namespace {

std::string at(std::string_view list, std::size_t index, std::string_view member)
{
    std::string pointer { "/" };
    pointer += list;
    pointer += '/';
    pointer += std::to_string(index);
    pointer += '/';
    pointer += member;
    return pointer;
}

template <typename Element>
auto checkUnique(const std::vector<Element>& elements, const std::string& list, Errors& errors)
{
    std::set<std::remove_const_t<decltype(Element::id)>> ids;
    for (std::size_t index = 0; index < elements.size(); ++index) {
        if (!ids.insert(elements[index].id).second) {
            errors.emplace_back(Error { ResultCode::DuplicateIdentifier, at(list, index, "id"),
                elements[index].id.text(), "an identifier that occurs once" });
        }
    }
    return ids;
}

template <typename Ids, typename Id>
void checkReference(const Ids& ids, const Id& id, std::string pointer, std::string_view kind, Errors& errors)
{
    if (!ids.contains(id)) {
        errors.emplace_back(Error { ResultCode::UnknownReference, std::move(pointer), id.text(),
            "the id of a declared " + std::string { kind } });
    }
}

template <typename Ids, typename Id>
void checkReferences(const Ids& ids, const std::vector<Id>& list, const std::string& pointer,
    std::string_view kind, Errors& errors)
{
    for (std::size_t index = 0; index < list.size(); ++index) {
        checkReference(ids, list[index], pointer + "/" + std::to_string(index), kind, errors);
    }
}

using RackZones = std::map<model::RackId, model::ZoneId>;

RackZones checkRacks(const std::vector<model::Vm>& vms, Errors& errors)
{
    RackZones zones;
    for (std::size_t index = 0; index < vms.size(); ++index) {
        const auto [rack, isNew] = zones.emplace(vms[index].rack, vms[index].zone);
        if (!isNew && rack->second != vms[index].zone) {
            errors.emplace_back(Error { ResultCode::ValueOutOfRange, at("vms", index, "rack"),
                vms[index].rack.text() + " in " + vms[index].zone.text(),
                "a rack in one availability zone, here " + rack->second.text() });
        }
    }
    return zones;
}

void checkAddresses(const std::vector<model::Vm>& vms, Errors& errors)
{
    std::set<std::string> addresses;
    for (std::size_t index = 0; index < vms.size(); ++index) {
        if (!addresses.insert(vms[index].address).second) {
            errors.emplace_back(Error { ResultCode::DuplicateIdentifier, at("vms", index, "address"),
                vms[index].address, "an address that occurs once" });
        }
    }
}

std::map<model::PoolId, std::uint32_t> poolSizes(const std::vector<model::Vm>& vms)
{
    std::map<model::PoolId, std::uint32_t> sizes;
    for (const auto& vm : vms) {
        ++sizes[vm.pool];
    }
    return sizes;
}

void checkBudgets(const model::Manifest& manifest, Errors& errors)
{
    const auto sizes = poolSizes(manifest.vms);
    for (std::size_t index = 0; index < manifest.services.size(); ++index) {
        const auto& service = manifest.services[index];
        const auto size = sizes.find(service.pool);
        const auto vms = size == sizes.end() ? 0 : size->second;
        if (service.maxUnavailable >= vms) {
            errors.emplace_back(Error { ResultCode::ValueOutOfRange, at("services", index, "max-unavailable"),
                std::to_string(service.maxUnavailable),
                "less than the " + std::to_string(vms) + " VMs of pool " + service.pool.text() });
        }
    }
}

void checkWeights(const model::Weights& weights, Errors& errors)
{
    const auto sum = weights.reserve + weights.rollOut + weights.moves + weights.waiting;
    if (sum != 100) {
        errors.emplace_back(Error {
            ResultCode::ValueOutOfRange, "/weights", std::to_string(sum), "weights with the sum 100" });
    }
}

} // namespace

Errors check(const model::Manifest& manifest)
{
    Errors errors;
    const auto zones = checkUnique(manifest.zones, "zones", errors);
    const auto pools = checkUnique(manifest.pools, "pools", errors);
    checkUnique(manifest.vms, "vms", errors);
    checkUnique(manifest.services, "services", errors);
    checkUnique(manifest.teams, "teams", errors);
    checkUnique(manifest.waves, "waves", errors);
    const auto racks = checkRacks(manifest.vms, errors);
    checkAddresses(manifest.vms, errors);

    for (std::size_t index = 0; index < manifest.vms.size(); ++index) {
        checkReference(zones, manifest.vms[index].zone, at("vms", index, "zone"), "zone", errors);
        checkReference(pools, manifest.vms[index].pool, at("vms", index, "pool"), "pool", errors);
    }
    for (std::size_t index = 0; index < manifest.services.size(); ++index) {
        const auto& service = manifest.services[index];
        checkReference(pools, service.pool, at("services", index, "pool"), "pool", errors);
        checkReferences(pools, service.borrowFrom, at("services", index, "borrow-from"), "pool", errors);
        checkUnique(service.operations, "services/" + std::to_string(index) + "/operations", errors);
    }
    for (std::size_t index = 0; index < manifest.waves.size(); ++index) {
        const auto& wave = manifest.waves[index];
        checkReferences(pools, wave.pools, at("waves", index, "pools"), "pool", errors);
        checkReferences(zones, wave.zones, at("waves", index, "zones"), "zone", errors);
        checkReferences(racks, wave.racks, at("waves", index, "racks"), "rack", errors);
    }
    checkBudgets(manifest, errors);
    checkWeights(manifest.weights, errors);
    return errors;
}

} // namespace wasabiroad::manifest
