#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/standin/proxy.hpp"
#include "wasabiroad/standin/run.hpp"

#include <cxxopts.hpp>

namespace wasabiroad::standin {

namespace {

kernel::ResultCode run(int argc, const char* const* argv)
{
    cxxopts::Options options { "wasabiroad-standin proxy", "TCP proxy that injects faults." };
    options.add_options()(
        "listen", "IP address and port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "to", "IP address and port of the server", cxxopts::value<std::string>())("admin",
        "IP address and port of the admin listener",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    const auto arguments = options.parse(argc, argv);
    const auto server = http::parseEndpoint(arguments["to"].as<std::string>());
    if (!server) {
        return reportError(server.error());
    }
    boost::asio::io_context context { 1 };
    Proxy proxy { context, *server };
    http::Server admin { context,
        [&proxy](http::Request request) { return proxy.handleAdmin(std::move(request)); } };
    const auto address = proxy.listen(arguments["listen"].as<std::string>());
    if (!address) {
        return reportError(address.error());
    }
    const auto adminAddress = admin.listen(arguments["admin"].as<std::string>());
    if (!adminAddress) {
        return reportError(adminAddress.error());
    }
    announce("proxy", *address);
    announce("admin", *adminAddress);
    return runUntilSignal(context);
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "proxy",
    .summary = "Forwards TCP connections and injects faults.",
    .example = "proxy --to 127.0.0.1:8000 --admin 127.0.0.1:7002",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::standin
