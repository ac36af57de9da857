#pragma once

#include "wasabiroad/bench/caller.hpp"
#include "wasabiroad/bench/summary.hpp"

#include <boost/json/value.hpp>

namespace wasabiroad::bench {

/** @return The summary as a JSON object. */
boost::json::value toJson(const Summary& summary);

/** @return The summary as a Markdown table with one measure a row. */
std::string toMarkdown(const Summary& summary);

/** @return A number with two decimals. */
std::string rounded(double value);

/** @brief Prints the progress of a load on one line of the standard error. */
void printProgress(const Progress& progress);

} // namespace wasabiroad::bench
