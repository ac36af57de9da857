#include "wasabiroad/http/endpoint.hpp"

#include <charconv>

namespace wasabiroad::http {

using boost::asio::ip::tcp;
using kernel::ResultCode;

kernel::Expected<tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto invalid = [&] {
        return kernel::fail(
            ResultCode::ValueOutOfRange, {}, std::string { text }, "an IP address and a port");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid();
    }
    boost::system::error_code failed;
    const auto address = boost::asio::ip::make_address(std::string { text.substr(0, colon) }, failed);
    std::uint16_t port = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (failed || parsed.ec != std::errc {} || parsed.ptr != end) {
        return invalid();
    }
    return tcp::endpoint { address, port };
}

std::string toText(const tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

kernel::Expected<std::string> listen(tcp::acceptor& acceptor, const std::string& address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    boost::system::error_code failed;
    acceptor.open(endpoint->protocol(), failed);
    acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    acceptor.bind(*endpoint, failed);
    if (!failed) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return kernel::fail(ResultCode::ListenFailed, address, failed.message(), "a free local address");
    }
    return toText(acceptor.local_endpoint());
}

} // namespace wasabiroad::http
