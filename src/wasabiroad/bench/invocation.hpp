#pragma once

#include "wasabiroad/bench/arrivals.hpp"
#include "wasabiroad/kernel/error.hpp"

#include <cxxopts.hpp>

namespace wasabiroad::bench {

/** @brief Adds the options that describe a load. */
void addLoadOptions(cxxopts::Options& options, const std::string& rate, const std::string& seconds);

/** @return The load that the arguments describe. */
LoadProfile profileOf(const cxxopts::ParseResult& arguments);

/** @return The content of a file. Errors: FileUnreadable. */
kernel::Expected<std::string> readFile(const std::string& path);

/** @brief Prints an error and returns its code. */
kernel::ResultCode reportError(const kernel::Error& error);

} // namespace wasabiroad::bench
