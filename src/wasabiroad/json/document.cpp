#include "wasabiroad/json/document.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <set>

namespace wasabiroad::json {

using kernel::Error;
using kernel::Errors;
using kernel::ResultCode;

namespace {

constexpr std::size_t excerptLength = 80;

/** Converts the path of a valijson error, such as `<root>`, `[vms]`, `[0]`, to a JSON pointer. */
std::string toPointer(const std::vector<std::string>& context)
{
    std::string pointer;
    for (const auto& element : context) {
        if (element.size() >= 2 && element.front() == '[' && element.back() == ']') {
            pointer += '/';
            pointer += element.substr(1, element.size() - 2);
        }
    }
    return pointer;
}

/** A value that breaks one rule also makes valijson report its parents; those reports carry no new fact. */
bool isParentReport(const valijson::ValidationResults::Error& error)
{
    return error.description.starts_with("Failed to validate item #")
        || error.description.starts_with("Failed to validate against schema associated with property name")
        || error.description.starts_with("Failed to validate against child schema");
}

Errors collect(valijson::ValidationResults& results, const boost::json::value& document)
{
    Errors errors;
    std::set<std::pair<std::string, std::string>> seen;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        const auto pointer = toPointer(error.context);
        if (!isParentReport(error) && seen.emplace(pointer, error.description).second) {
            errors.emplace_back(Error {
                ResultCode::SchemaViolation, pointer, excerpt(document, pointer), error.description });
        }
    }
    return errors;
}

} // namespace

std::string excerpt(const boost::json::value& document, std::string_view pointer)
{
    boost::system::error_code failed;
    const auto* const value = document.find_pointer({ pointer.data(), pointer.size() }, failed);
    if (failed || value == nullptr) {
        return "(absent)";
    }
    auto text = boost::json::serialize(*value);
    if (text.size() > excerptLength) {
        text.resize(excerptLength - 3);
        text += "...";
    }
    return text;
}

kernel::Checked<boost::json::value> parseDocument(std::string_view text, std::string_view schemaText)
{
    boost::system::error_code failed;
    const auto document = boost::json::parse({ text.data(), text.size() }, failed);
    if (failed) {
        return tl::unexpected(
            Errors { Error { ResultCode::InvalidJson, "", failed.message(), "well-formed JSON" } });
    }
    const auto schemaDocument = boost::json::parse({ schemaText.data(), schemaText.size() });
    valijson::Schema schema;
    const valijson::adapters::BoostJsonAdapter schemaAdapter { schemaDocument };
    valijson::SchemaParser {}.populateSchema(schemaAdapter, schema);

    valijson::ValidationResults results;
    valijson::Validator validator { valijson::Validator::kStrongTypes };
    const valijson::adapters::BoostJsonAdapter target { document };
    if (!validator.validate(schema, target, &results)) {
        return tl::unexpected(collect(results, document));
    }
    return document;
}

} // namespace wasabiroad::json
