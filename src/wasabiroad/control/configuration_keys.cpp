#include "wasabiroad/control/configuration_keys.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace wasabiroad::control {

std::string bodyKey(const Head& head)
{
    return "config/body/" + std::to_string(head.generation.value) + "-" + head.digest;
}

std::string toText(const Head& head)
{
    return boost::json::serialize(
        boost::json::value { { "generation", head.generation.value }, { "digest", head.digest } });
}

kernel::Expected<Head> parseHead(const std::string& text)
{
    boost::system::error_code error;
    const auto document = boost::json::parse(text, error);
    const auto* const object = error ? nullptr : document.if_object();
    const auto* const generation = object ? object->if_contains("generation") : nullptr;
    const auto* const digest = object ? object->if_contains("digest") : nullptr;
    if (!generation || !generation->is_int64() || generation->get_int64() < 1 || !digest
        || !digest->is_string()) {
        return kernel::fail(
            kernel::ResultCode::InvalidJson, std::string { headKey }, text, "a generation and a digest");
    }
    return Head { { generation->to_number<std::uint64_t>() }, std::string { digest->get_string() } };
}

} // namespace wasabiroad::control
