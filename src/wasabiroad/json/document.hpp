#pragma once

#include "wasabiroad/kernel/error.hpp"

#include <string_view>

#include <boost/json/value.hpp>

namespace wasabiroad::json {

/**
 * @brief Parses a JSON document and checks it against a JSON Schema.
 * @param text Document.
 * @param schema JSON Schema, draft 7.
 * @return The parsed value, or all errors, each with its JSON pointer. Errors: InvalidJson, SchemaViolation.
 */
kernel::Checked<boost::json::value> parseDocument(std::string_view text, std::string_view schema);

/** @return The value at a JSON pointer in serialised form, shortened to 80 characters. */
std::string excerpt(const boost::json::value& document, std::string_view pointer);

} // namespace wasabiroad::json
