#pragma once

#include "wasabiroad/bench/series.hpp"

#include <map>

namespace wasabiroad::bench {

/** @brief One of the policies that an experiment compares. */
struct Variant {
    const std::string name;
    /** @brief Members of the manifest's policies that are replaced, as JSON text of an object. */
    const std::string policies;

    friend auto operator<=>(const Variant&, const Variant&) = default;
};

/** @brief A named experiment. */
struct Experiment {
    const std::string name;
    /** @brief Path of the manifest, relative to the working directory. */
    const std::string manifest;
    /** @brief Zones of the daemons, one daemon each. */
    const std::vector<std::string> daemons;
    const LoadProfile load;
    /** @brief Behaviours of upstreams, as queries of their admin listener. */
    const std::vector<std::string> faults {};
    const std::uint32_t repetitions { 5 };
    const std::vector<Variant> variants;

    friend auto operator<=>(const Experiment&, const Experiment&) = default;
};

/** @brief Results of one variant, one for each repetition. */
struct VariantResult {
    std::vector<Summary> summaries {};
    /** @brief Timelines of the repetitions. */
    std::vector<Timeline> timelines {};
};

/** @brief Reads an experiment. Errors: InvalidJson, SchemaViolation. */
kernel::Expected<Experiment> readExperiment(const std::string& text);

/** @brief Runs the variants in turn, repetition by repetition; prints progress on the standard error. */
kernel::Expected<std::map<std::string, VariantResult>> runExperiment(const Experiment& experiment);

} // namespace wasabiroad::bench
