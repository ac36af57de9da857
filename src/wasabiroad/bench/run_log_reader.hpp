#pragma once

#include "wasabiroad/bench/record.hpp"
#include "wasabiroad/kernel/error.hpp"

#include <vector>

namespace wasabiroad::bench {

/**
 * @brief Reads the run log of the upstreams' stand-in page by page.
 * @param admin Address of its admin listener.
 * @param from Number of the first run to read.
 * @return The runs. Errors: those of `launch::send`, InvalidJson.
 */
kernel::Expected<std::vector<UpstreamRun>> readRuns(const std::string& admin, std::uint64_t from);

/** @return Number of runs in the log. Errors: those of `launch::send`, InvalidJson. */
kernel::Expected<std::uint64_t> countRuns(const std::string& admin);

} // namespace wasabiroad::bench
