#include "wasabiroad/tool/daemon_status.hpp"

#include "wasabiroad/http/client.hpp"
#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/tool/wait.hpp"

#include <boost/json/parse.hpp>

namespace wasabiroad::tool {

using kernel::ResultCode;

namespace {

constexpr kernel::Duration callTimeout { 3000 };

} // namespace

kernel::Expected<boost::json::value> readStatus(const std::string& address)
{
    const auto endpoint = http::parseEndpoint(address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    auto request = http::makeRequest(boost::beast::http::verb::get, "/status");
    const auto response = wait(http::exchange(*endpoint, std::move(request), callTimeout));
    if (!response) {
        return kernel::fail(ResultCode::PeerUnreachable, address, response.error().found);
    }
    boost::system::error_code failed;
    auto document = boost::json::parse(response->body(), failed);
    if (failed || !document.is_object()) {
        return kernel::fail(ResultCode::PeerMessageInvalid, address, failed.message(), "a JSON object");
    }
    return document;
}

std::uint64_t generationOf(const boost::json::value& status)
{
    const auto* const generation = status.as_object().if_contains("generation");
    return generation != nullptr && generation->is_number() ? generation->to_number<std::uint64_t>() : 0;
}

} // namespace wasabiroad::tool
