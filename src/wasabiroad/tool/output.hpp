#pragma once

#include "wasabiroad/kernel/error.hpp"

#include <boost/json/value.hpp>

namespace wasabiroad::tool {

/** @brief Format of a command's output. */
enum class OutputFormat : unsigned char {
    Text,
    Json,
};

/**
 * @brief Prints errors to the standard error stream, or as JSON to the standard output.
 * @return The code of the first error.
 */
kernel::ResultCode printErrors(OutputFormat format, const kernel::Errors& errors);

/** @brief Prints an object, as lines of key=value in text format. */
void printObject(OutputFormat format, const boost::json::object& object);

} // namespace wasabiroad::tool
