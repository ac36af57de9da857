#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/standin/platform.hpp"
#include "wasabiroad/standin/run.hpp"

#include <cxxopts.hpp>

namespace wasabiroad::standin {

namespace {

kernel::ResultCode run(int argc, const char* const* argv)
{
    cxxopts::Options options { "wasabiroad-standin platform",
        "Stand-in of the platform's key-value service." };
    options.add_options()(
        "listen", "IP address and port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    const auto arguments = options.parse(argc, argv);
    boost::asio::io_context context { 1 };
    Platform platform { context };
    const auto address = platform.listen(arguments["listen"].as<std::string>());
    if (!address) {
        return reportError(address.error());
    }
    announce("platform", *address);
    return runUntilSignal(context);
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "platform",
    .summary = "Serves the platform's key-value service from memory.",
    .example = "platform --listen 127.0.0.1:7000",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::standin
