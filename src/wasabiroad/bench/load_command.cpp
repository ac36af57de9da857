#include "wasabiroad/bench/invocation.hpp"
#include "wasabiroad/bench/load.hpp"
#include "wasabiroad/bench/report.hpp"
#include "wasabiroad/kernel/command.hpp"

#include <iostream>

#include <boost/json/serialize.hpp>

namespace wasabiroad::bench {

namespace {

kernel::ResultCode run(int argc, const char* const* argv)
{
    cxxopts::Options options { "wasabiroad-bench load", "Sends an open-loop load to running daemons." };
    addLoadOptions(options, "500", "10");
    options.add_options()("manifest", "Manifest file", cxxopts::value<std::string>())("daemon",
        "Callers' listener of a daemon; may be repeated", cxxopts::value<std::vector<std::string>>())(
        "upstreams", "Admin listener of the upstreams' stand-in", cxxopts::value<std::string>())("output",
        "json or markdown",
        cxxopts::value<std::string>()->default_value("markdown"))("h,help", "Print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return kernel::ResultCode::Ok;
    }
    const auto manifest = readFile(arguments["manifest"].as<std::string>());
    if (!manifest) {
        return reportError(manifest.error());
    }
    const LoadTarget target { *manifest, arguments["daemon"].as<std::vector<std::string>>(),
        arguments["upstreams"].as<std::string>() };
    const auto observed = observe(target, profileOf(arguments), printProgress);
    if (!observed) {
        return reportError(observed.error());
    }
    std::cout << (arguments["output"].as<std::string>() == "json"
            ? boost::json::serialize(toJson(observed->summary)) + "\n"
            : toMarkdown(observed->summary));
    return observed->summary.correct() ? kernel::ResultCode::Ok : kernel::ResultCode::OutcomeUnknown;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "load",
    .summary = "Sends an open-loop load to running daemons and counts what went wrong.",
    .example = "load --manifest manifest.json --daemon 127.0.0.1:8000 --upstreams 127.0.0.1:7001 --rate 500",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::bench
