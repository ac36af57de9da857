#include "wasabiroad/bench/make_manifest.hpp"

#include <functional>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace wasabiroad::bench {

namespace json = boost::json;

namespace {

constexpr std::uint32_t vmsPerRack = 4;

std::string numbered(const std::string& name, std::uint32_t number)
{
    return name + "-" + std::to_string(number);
}

json::value vmOf(const ManifestSize& size, std::uint32_t index)
{
    const auto zone = index % size.zones;
    const auto inZone = index / size.zones;
    const auto address = "127." + std::to_string(100 + zone) + "." + std::to_string(inZone / 250) + "."
        + std::to_string(1 + inZone % 250) + ":8080";
    return { { "id", numbered("vm-z" + std::to_string(zone), inZone) }, { "zone", numbered("zone", zone) },
        { "rack", numbered("rack-z" + std::to_string(zone), inZone / vmsPerRack) },
        { "pool", numbered("pool", index % size.pools) }, { "address", address }, { "cores", 16 },
        { "memory-gb", 64 }, { "accelerators", 1 }, { "slots", 8 }, { "connections", 64 } };
}

json::value serviceOf(const ManifestSize& size, std::uint32_t index)
{
    const json::value shortOperation { { "id", "check" }, { "deadline-ms", 5000 }, { "declared-ms", 20 },
        { "idempotent", true } };
    const json::value longOperation { { "id", "report" }, { "deadline-ms", 20000 }, { "declared-ms", 400 },
        { "idempotent", true }, { "stoppable", true } };
    const auto queueBound = index == 0 ? 1000 + size.revision % 9000 : 1000;
    return { { "id", numbered("service", index) }, { "pool", numbered("pool", index) },
        { "max-unavailable", 1 }, { "queue-bound", queueBound },
        { "operations", { shortOperation, longOperation } } };
}

json::array list(std::uint32_t count, const std::function<json::value(std::uint32_t)>& make)
{
    json::array values;
    for (std::uint32_t index = 0; index < count; ++index) {
        values.push_back(make(index));
    }
    return values;
}

} // namespace

std::string makeManifest(const ManifestSize& size)
{
    const json::value document {
        { "version", 1 },
        { "site", "scale" },
        { "zones",
            list(size.zones,
                [](auto index) -> json::value {
                    return { { "id", numbered("zone", index) }, { "region", numbered("region", index % 2) } };
                }) },
        { "pools",
            list(size.pools,
                [&](auto index) -> json::value {
                    return { { "id", numbered("pool", index) }, { "spare", index + 1 == size.pools } };
                }) },
        { "vms", list(size.vms, [&](auto index) { return vmOf(size, index); }) },
        { "services", list(size.pools - 1, [&](auto index) { return serviceOf(size, index); }) },
        { "teams",
            list(size.teams,
                [](auto index) -> json::value {
                    return { { "id", numbered("team", index) }, { "quota", 100 } };
                }) },
    };
    return json::serialize(document);
}

} // namespace wasabiroad::bench
