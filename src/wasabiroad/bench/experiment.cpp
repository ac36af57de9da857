#include "wasabiroad/bench/experiment.hpp"

#include "wasabiroad/bench/daemons.hpp"
#include "wasabiroad/bench/invocation.hpp"
#include "wasabiroad/json/document.hpp"
#include "wasabiroad/json/reader.hpp"
#include "wasabiroad/launch/site.hpp"

#include <iostream>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <spdlog/fmt/fmt.h>

namespace wasabiroad::bench {

namespace {

constexpr std::string_view schema = R"({
  "type": "object", "additionalProperties": false,
  "required": ["name", "manifest", "daemons", "load", "variants"],
  "properties": {
    "name": { "type": "string", "pattern": "^[a-z0-9-]+$" },
    "manifest": { "type": "string" },
    "daemons": { "type": "array", "minItems": 1, "items": { "type": "string" } },
    "load": {
      "type": "object", "additionalProperties": false, "required": ["rate", "seconds", "seed"],
      "properties": {
        "rate": { "type": "integer", "minimum": 1 }, "seconds": { "type": "integer", "minimum": 1 },
        "seed": { "type": "integer", "minimum": 0 }, "burst-ms": { "type": "integer", "minimum": 1 },
        "long-percent": { "type": "integer", "minimum": 0, "maximum": 100 },
        "long-factor": { "type": "integer", "minimum": 1 },
        "wrong-percent": { "type": "integer", "minimum": 0, "maximum": 100 },
        "non-idempotent": { "type": "boolean" }
      }
    },
    "faults": { "type": "array", "items": { "type": "string" } },
    "repetitions": { "type": "integer", "minimum": 1 },
    "variants": {
      "type": "array", "minItems": 1,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "policies"],
        "properties": { "name": { "type": "string" }, "policies": { "type": "object" } }
      }
    }
  }
})";

LoadProfile readLoad(const boost::json::value& value)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const json::Reader reader { value };
    const LoadProfile defaults;
    return LoadProfile {
        .rate = static_cast<double>(reader.integer("rate")),
        .length = { reader.integer("seconds") * millisecondsPerSecond },
        .seed = static_cast<std::uint64_t>(reader.integer("seed")),
        .burstLength = { reader.integer("burst-ms", defaults.burstLength.milliseconds) },
        .longPercent = reader.count("long-percent", defaults.longPercent),
        .longFactor = reader.count("long-factor", defaults.longFactor),
        .wrongPercent = reader.count("wrong-percent", defaults.wrongPercent),
        .nonIdempotent = reader.flag("non-idempotent", true),
    };
}

LoadProfile withSeed(const LoadProfile& load, std::uint64_t seed)
{
    return LoadProfile {
        .rate = load.rate,
        .length = load.length,
        .seed = seed,
        .burstLength = load.burstLength,
        .longPercent = load.longPercent,
        .longFactor = load.longFactor,
        .wrongPercent = load.wrongPercent,
        .nonIdempotent = load.nonIdempotent,
    };
}

std::string withPolicies(const std::string& manifest, const std::string& policies)
{
    auto document = boost::json::parse(manifest);
    auto& target = document.as_object()["policies"];
    if (!target.is_object()) {
        target.emplace_object();
    }
    const auto replacements = boost::json::parse(policies);
    for (const auto& member : replacements.as_object()) {
        target.as_object()[member.key()] = member.value();
    }
    return boost::json::serialize(document);
}

kernel::Expected<Observations> runOnce(
    const Experiment& experiment, const Variant& variant, const std::string& manifest, std::uint64_t seed)
{
    const auto site
        = launch::Site::start({ withPolicies(manifest, variant.policies), makeDaemons(experiment.daemons) });
    if (!site) {
        return tl::unexpected(site.error());
    }
    if (const auto applied = (*site)->apply(); !applied) {
        return tl::unexpected(applied.error());
    }
    if (const auto known = waitForMembership(**site); !known) {
        return tl::unexpected(known.error());
    }
    for (const auto& fault : experiment.faults) {
        const auto set
            = launch::send({ .address = (*site)->upstreamsAdmin(), .target = "/behaviour?" + fault });
        if (!set || set->result_int() != 200U) {
            return kernel::fail(kernel::ResultCode::ValueOutOfRange, "faults", fault, "a behaviour");
        }
    }
    auto observed = observe(targetOf(**site), withSeed(experiment.load, seed));
    for (std::size_t index = 0; index < (*site)->daemonCount(); ++index) {
        (*site)->stopDaemon(index);
    }
    return observed;
}

} // namespace

kernel::Expected<Experiment> readExperiment(const std::string& text)
{
    const auto document = json::parseDocument(text, schema);
    if (!document) {
        return tl::unexpected(document.error().front());
    }
    const json::Reader reader { *document };
    const auto asText = [](const auto& element) { return std::string { element.as_string() }; };
    return Experiment {
        .name = reader.text("name"),
        .manifest = reader.text("manifest"),
        .daemons = reader.list<std::string>("daemons", asText),
        .load = readLoad(*reader.find("load")),
        .faults = reader.list<std::string>("faults", asText),
        .repetitions = reader.count("repetitions", 5),
        .variants = reader.list<Variant>("variants",
            [](const auto& element) {
                const json::Reader variant { element };
                return Variant { variant.text("name"), boost::json::serialize(*variant.find("policies")) };
            }),
    };
}

kernel::Expected<std::map<std::string, VariantResult>> runExperiment(const Experiment& experiment)
{
    const auto manifest = readFile(experiment.manifest);
    if (!manifest) {
        return tl::unexpected(manifest.error());
    }
    std::map<std::string, VariantResult> results;
    for (std::uint32_t repetition = 0; repetition < experiment.repetitions; ++repetition) {
        for (const auto& variant : experiment.variants) {
            const auto observed = runOnce(experiment, variant, *manifest, experiment.load.seed + repetition);
            if (!observed) {
                return tl::unexpected(observed.error());
            }
            const auto& summary = observed->summary;
            std::cerr << fmt::format("{} {}/{} {}: {} sent, {} answered, short wait p99 {:.1f} ms, {}\n",
                experiment.name, repetition + 1, experiment.repetitions, variant.name, summary.sent,
                summary.answered, summary.shortWaitP99, summary.correct() ? "correct" : "NOT CORRECT");
            auto& result = results[variant.name];
            result.summaries.emplace_back(summary);
            result.timelines.emplace_back(timelineOf(*observed, experiment.load.length));
        }
    }
    return results;
}

} // namespace wasabiroad::bench
