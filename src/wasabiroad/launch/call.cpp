#include "wasabiroad/launch/call.hpp"

#include "wasabiroad/http/client.hpp"
#include "wasabiroad/http/endpoint.hpp"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace wasabiroad::launch {

kernel::Expected<http::Response> send(const Call& call)
{
    const auto endpoint = http::parseEndpoint(call.address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    auto request = http::makeRequest(boost::beast::http::string_to_verb(call.method), call.target, call.body);
    for (const auto& [name, value] : call.headers) {
        request.set(name, value);
    }
    boost::asio::io_context context { 1 };
    std::optional<kernel::Expected<http::Response>> result;
    boost::asio::co_spawn(context, http::exchange(*endpoint, std::move(request), call.timeout),
        [&](const std::exception_ptr&, kernel::Expected<http::Response> response) {
            result.emplace(std::move(response));
        });
    context.run();
    return std::move(*result);
}

} // namespace wasabiroad::launch
