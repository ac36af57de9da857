#include "wasabiroad/tool/output.hpp"

#include <iostream>

#include <boost/json/serialize.hpp>

namespace wasabiroad::tool {

kernel::ResultCode printErrors(OutputFormat format, const kernel::Errors& errors)
{
    boost::json::array list;
    for (const auto& error : errors) {
        list.push_back({ { "code", number(error.code) }, { "name", name(error.code) },
            { "where", error.where }, { "found", error.found }, { "allowed", error.allowed } });
        if (format == OutputFormat::Text) {
            std::cerr << "code=" << number(error.code) << " " << name(error.code) << " at '" << error.where
                      << "': found " << error.found << "; allowed: " << error.allowed << "\n";
        }
    }
    if (format == OutputFormat::Json) {
        std::cout << boost::json::serialize(boost::json::value { { "errors", std::move(list) } }) << "\n";
    }
    return errors.front().code;
}

void printObject(OutputFormat format, const boost::json::object& object)
{
    if (format == OutputFormat::Json) {
        std::cout << boost::json::serialize(object) << "\n";
        return;
    }
    for (const auto& member : object) {
        const auto* const text = member.value().if_string();
        std::cout << std::string_view { member.key() } << "="
                  << (text ? std::string { *text } : boost::json::serialize(member.value())) << "\n";
    }
}

} // namespace wasabiroad::tool
