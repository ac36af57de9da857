#include "wasabiroad/manifest/read.hpp"

#include "wasabiroad/json/document.hpp"
#include "wasabiroad/json/reader.hpp"
#include "wasabiroad/manifest/check.hpp"
#include "wasabiroad/manifest/schema_text.hpp"

#include <xxhash.h>

namespace wasabiroad::manifest {

using json::Reader;
using kernel::Error;
using kernel::Errors;
using kernel::ResultCode;

namespace {

constexpr std::uint32_t defaultQueueBound = 1000;
constexpr std::uint32_t defaultRetryPercent = 10;

model::Zone readZone(const boost::json::value& value)
{
    const Reader reader { value };
    return { reader.id<model::ZoneId>("id"), reader.text("region") };
}

model::Pool readPool(const boost::json::value& value)
{
    const Reader reader { value };
    return { reader.id<model::PoolId>("id"), reader.flag("spare") };
}

model::Vm readVm(const boost::json::value& value)
{
    const Reader reader { value };
    return {
        .id = reader.id<model::VmId>("id"),
        .zone = reader.id<model::ZoneId>("zone"),
        .rack = reader.id<model::RackId>("rack"),
        .pool = reader.id<model::PoolId>("pool"),
        .address = reader.text("address"),
        .cores = reader.count("cores"),
        .memory = reader.count("memory-gb"),
        .accelerators = reader.count("accelerators"),
        .slots = reader.count("slots"),
        .connections = reader.count("connections"),
    };
}

model::Operation readOperation(const boost::json::value& value)
{
    const Reader reader { value };
    return {
        .id = reader.id<model::OperationId>("id"),
        .deadline = { reader.integer("deadline-ms") },
        .declared = { reader.integer("declared-ms") },
        .idempotent = reader.flag("idempotent"),
        .stoppable = reader.flag("stoppable"),
        .accelerators = reader.count("accelerators"),
        .memory = reader.count("memory-gb"),
    };
}

model::Service readService(const boost::json::value& value)
{
    const Reader reader { value };
    return {
        .id = reader.id<model::ServiceId>("id"),
        .pool = reader.id<model::PoolId>("pool"),
        .maxUnavailable = reader.count("max-unavailable"),
        .queueBound = reader.count("queue-bound", defaultQueueBound),
        .retryPercent = reader.count("retry-percent", defaultRetryPercent),
        .atMostOnce
        = reader.text("at-most-once") == "claim" ? model::AtMostOnce::Claim : model::AtMostOnce::Ticket,
        .borrowFrom = reader.ids<model::PoolId>("borrow-from"),
        .operations = reader.list<model::Operation>("operations", readOperation),
    };
}

model::Team readTeam(const boost::json::value& value)
{
    const Reader reader { value };
    return { reader.id<model::TeamId>("id"), reader.count("quota") };
}

model::Wave readWave(const boost::json::value& value)
{
    const Reader reader { value };
    return {
        .id = reader.id<model::WaveId>("id"),
        .pools = reader.ids<model::PoolId>("pools"),
        .zones = reader.ids<model::ZoneId>("zones"),
        .racks = reader.ids<model::RackId>("racks"),
        .parallel = reader.count("parallel"),
        .stopAfterFailures = reader.count("stop-after-failures", 1),
        .healthWait = { reader.integer("health-wait-ms") },
    };
}

model::QueuePolicy readQueuePolicy(const Reader& reader)
{
    if (reader.text("queue") == "first-come-first-served") {
        return model::FirstComeFirstServed {};
    }
    const model::ShortFirst defaults;
    return model::ShortFirst { reader.count("reserved-percent", defaults.reservedPercent),
        reader.count("max-overtakes", defaults.maxOvertakes) };
}

model::PlacementPolicy readPlacementPolicy(const Reader& reader)
{
    const auto text = reader.text("placement", "least-outstanding");
    if (text == "round-robin") {
        return model::RoundRobin {};
    }
    if (text == "two-choices") {
        return model::TwoChoices {};
    }
    return model::LeastOutstanding {};
}

model::SlotPolicy readSlotPolicy(const Reader& reader)
{
    if (reader.text("slots") == "independent") {
        return model::IndependentSlots {};
    }
    return model::DividedSlots {};
}

model::Policies readPolicies(const boost::json::value* value)
{
    if (value == nullptr) {
        return {};
    }
    const Reader reader { *value };
    return { readQueuePolicy(reader), readPlacementPolicy(reader), readSlotPolicy(reader) };
}

model::Weights readWeights(const boost::json::value* value)
{
    if (value == nullptr) {
        return {};
    }
    const Reader reader { *value };
    return { reader.count("reserve"), reader.count("roll-out"), reader.count("moves"),
        reader.count("waiting") };
}

model::Manifest readManifest(const boost::json::value& document)
{
    const Reader reader { document };
    return {
        .site = reader.id<model::SiteId>("site"),
        .zones = reader.list<model::Zone>("zones", readZone),
        .pools = reader.list<model::Pool>("pools", readPool),
        .vms = reader.list<model::Vm>("vms", readVm),
        .services = reader.list<model::Service>("services", readService),
        .teams = reader.list<model::Team>("teams", readTeam),
        .waves = reader.list<model::Wave>("waves", readWave),
        .policies = readPolicies(reader.find("policies")),
        .weights = readWeights(reader.find("weights")),
    };
}

} // namespace

std::string_view schema() { return manifestSchema; }

kernel::Checked<model::Manifest> read(std::string_view text)
{
    if (text.size() > maxBytes) {
        return tl::unexpected(Errors { Error { ResultCode::DocumentTooLarge, "",
            std::to_string(text.size()) + " bytes", "at most " + std::to_string(maxBytes) + " bytes" } });
    }
    const auto document = json::parseDocument(text, schema());
    if (!document) {
        return tl::unexpected(document.error());
    }
    auto manifest = readManifest(*document);
    if (auto errors = check(manifest); !errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    return manifest;
}

std::string digest(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    constexpr std::string_view digits { "0123456789abcdef" };
    std::string hex;
    for (const auto byte : canonical.digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 0xfU];
    }
    return hex;
}

} // namespace wasabiroad::manifest
