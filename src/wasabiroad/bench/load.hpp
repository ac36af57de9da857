#pragma once

#include "wasabiroad/bench/caller.hpp"
#include "wasabiroad/bench/summary.hpp"
#include "wasabiroad/kernel/error.hpp"

namespace wasabiroad::launch {
class Site;
} // namespace wasabiroad::launch

namespace wasabiroad::bench {

/** @brief Running processes to send a load to. */
struct LoadTarget {
    const std::string manifest;
    /** @brief Addresses of the callers' listeners. */
    const std::vector<std::string> daemons;
    /** @brief Admin listener of the upstreams' stand-in. */
    const std::string upstreams;

    friend auto operator<=>(const LoadTarget&, const LoadTarget&) = default;
};

/** @brief Records of a load and the runs of the upstreams during it. */
struct Observations {
    const std::vector<Record> records;
    const std::vector<UpstreamRun> runs;
    const Summary summary;
};

/** @return The processes of a site that the launcher started. */
LoadTarget targetOf(const launch::Site& site);

/** @brief Sends a load and joins it with the run log. Errors: those of the manifest and of `readRuns`. */
kernel::Expected<Observations> observe(const LoadTarget& target, const LoadProfile& profile,
    const std::function<void(const Progress&)>& report = {});

} // namespace wasabiroad::bench
