#include "wasabiroad/settings/settings.hpp"

#include "wasabiroad/json/document.hpp"
#include "wasabiroad/json/reader.hpp"
#include "wasabiroad/settings/schema_text.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace wasabiroad::settings {

using json::Reader;
using kernel::Error;
using kernel::Errors;
using kernel::ResultCode;

namespace {

boost::json::value parseOverride(const std::string& text)
{
    boost::system::error_code failed;
    auto value = boost::json::parse(text, failed);
    return failed ? boost::json::value(text) : value;
}

/** Sets the member that a pointer names, and makes the objects on the way to it. */
bool setMember(boost::json::value& document, std::string_view pointer, boost::json::value value)
{
    if (pointer.empty() || pointer.front() != '/') {
        return false;
    }
    auto* target = &document;
    while (!pointer.empty()) {
        pointer.remove_prefix(1);
        const auto key = pointer.substr(0, pointer.find('/'));
        pointer.remove_prefix(key.size());
        if (target->is_null()) {
            target->emplace_object();
        }
        if (!target->is_object() || key.empty()) {
            return false;
        }
        target = &target->get_object()[{ key.data(), key.size() }];
    }
    *target = std::move(value);
    return true;
}

kernel::Checked<std::string> applyOverrides(std::string_view text, const Overrides& overrides)
{
    boost::system::error_code failed;
    auto document = boost::json::parse({ text.data(), text.size() }, failed);
    if (failed) {
        return tl::unexpected(
            Errors { Error { ResultCode::InvalidJson, "", failed.message(), "well-formed JSON" } });
    }
    Errors errors;
    for (const auto& [pointer, value] : overrides) {
        if (!setMember(document, pointer, parseOverride(value))) {
            errors.emplace_back(Error {
                ResultCode::InvalidArguments, pointer, value, "a JSON pointer to a member, as in /entry" });
        }
    }
    if (!errors.empty()) {
        return tl::unexpected(std::move(errors));
    }
    return boost::json::serialize(document);
}

Limits readLimits(const boost::json::value* value)
{
    if (value == nullptr) {
        return {};
    }
    const Reader reader { *value };
    const Limits defaults;
    return {
        .headerBytes = reader.count("header-bytes", defaults.headerBytes),
        .bodyBytes = reader.count("body-bytes", defaults.bodyBytes),
        .headerTimeout = { reader.integer("header-timeout-ms", defaults.headerTimeout.milliseconds) },
        .idleTimeout = { reader.integer("idle-timeout-ms", defaults.idleTimeout.milliseconds) },
        .connections = reader.count("connections", defaults.connections),
        .platformTimeout = { reader.integer("platform-timeout-ms", defaults.platformTimeout.milliseconds) },
    };
}

} // namespace

kernel::Checked<Settings> read(std::string_view text, const Overrides& overrides)
{
    const auto merged = applyOverrides(text, overrides);
    if (!merged) {
        return tl::unexpected(merged.error());
    }
    const auto document = json::parseDocument(*merged, settingsSchema);
    if (!document) {
        return tl::unexpected(document.error());
    }
    const Reader reader { *document };
    const Settings defaults {};
    return Settings {
        .entry = reader.id<model::EntryId>("entry"),
        .zone = reader.id<model::ZoneId>("zone"),
        .callers = reader.text("callers"),
        .operators = reader.text("operators"),
        .platform = reader.text("platform"),
        .trafficThreads = reader.count("traffic-threads", defaults.trafficThreads),
        .limits = readLimits(reader.find("limits")),
    };
}

} // namespace wasabiroad::settings
