#include "wasabiroad/bench/daemons.hpp"
#include "wasabiroad/bench/invocation.hpp"
#include "wasabiroad/bench/load.hpp"
#include "wasabiroad/bench/report.hpp"
#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/launch/site.hpp"

#include <iostream>

namespace wasabiroad::bench {

namespace {

/** @return Whether all daemons ended with exit code 0. */
bool stopDaemons(launch::Site& site)
{
    bool graceful = true;
    for (std::size_t index = 0; index < site.daemonCount(); ++index) {
        const auto exit = site.stopDaemon(index);
        std::cout << "daemon " << index << " stopped: "
                  << (exit ? "exit code " + std::to_string(*exit) : "no end within the time limit") << "\n";
        graceful = graceful && exit == 0;
    }
    return graceful;
}

kernel::ResultCode run(int argc, const char* const* argv)
{
    cxxopts::Options options { "wasabiroad-bench demo", "Runs a site on loopback under a mixed load." };
    addLoadOptions(options, "600", "20");
    options.add_options()("manifest", "Manifest file",
        cxxopts::value<std::string>()->default_value("examples/hallbach.json"))("h,help", "Print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return kernel::ResultCode::Ok;
    }
    const auto manifest = readFile(arguments["manifest"].as<std::string>());
    if (!manifest) {
        return reportError(manifest.error());
    }
    std::cout << "starting the platform, 52 upstreams and 3 daemons on loopback" << std::endl;
    const auto site = launch::Site::start({ *manifest, makeDaemons({ "by-1", "by-2", "by-3" }) });
    if (!site) {
        return reportError(site.error());
    }
    if (const auto applied = (*site)->apply(); !applied) {
        return reportError(applied.error());
    }
    if (const auto known = waitForMembership(**site); !known) {
        return reportError(known.error());
    }
    std::cout << "the manifest is in force; sending mixed short and long work" << std::endl;
    const auto observed = observe(targetOf(**site), profileOf(arguments), printProgress);
    if (!observed) {
        return reportError(observed.error());
    }
    std::cout << "\n" << toMarkdown(observed->summary) << "\n";
    const bool graceful = stopDaemons(**site);
    const bool passed = graceful && observed->summary.answered > 0 && observed->summary.correct();
    std::cout << "verdict: " << (passed ? "passed" : "failed") << std::endl;
    return passed ? kernel::ResultCode::Ok : kernel::ResultCode::OutcomeUnknown;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "demo",
    .summary = "Runs a site on loopback under a mixed load and prints a verdict.",
    .example = "demo",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::bench
