#include "wasabiroad/bench/invocation.hpp"
#include "wasabiroad/bench/pass_through.hpp"
#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/kernel/command.hpp"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>

namespace wasabiroad::bench {

namespace {

kernel::ResultCode run(int argc, const char* const* argv)
{
    cxxopts::Options options { "wasabiroad-bench passthrough", "Bare HTTP pass-through." };
    options.add_options()(
        "listen", "IP address and port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))("to",
        "IP address and port of an upstream; may be repeated", cxxopts::value<std::vector<std::string>>());
    const auto arguments = options.parse(argc, argv);
    std::vector<boost::asio::ip::tcp::endpoint> upstreams;
    for (const auto& address : arguments["to"].as<std::vector<std::string>>()) {
        const auto endpoint = http::parseEndpoint(address);
        if (!endpoint) {
            return reportError(endpoint.error());
        }
        upstreams.push_back(*endpoint);
    }
    boost::asio::io_context context { 1 };
    PassThrough passThrough { context, std::move(upstreams) };
    const auto address = passThrough.listen(arguments["listen"].as<std::string>());
    if (!address) {
        return reportError(address.error());
    }
    std::cout << "event=listening listener=callers address=" << *address << std::endl;
    boost::asio::signal_set signals { context, SIGINT, SIGTERM };
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    context.run();
    return kernel::ResultCode::Ok;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "passthrough",
    .summary = "Forwards HTTP without decisions; the baseline of compare.",
    .example = "passthrough --to 127.0.0.1:8080",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::bench
