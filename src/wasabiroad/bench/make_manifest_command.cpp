#include "wasabiroad/bench/make_manifest.hpp"
#include "wasabiroad/kernel/command.hpp"

#include <iostream>

#include <cxxopts.hpp>

namespace wasabiroad::bench {

namespace {

kernel::ResultCode run(int argc, const char* const* argv)
{
    cxxopts::Options options { "wasabiroad-bench make-manifest", "Writes a manifest of a given size." };
    const auto add = [&](const char* name, const char* text, const char* value) {
        options.add_options()(name, text, cxxopts::value<std::uint32_t>()->default_value(value));
    };
    add("vms", "Number of VMs, at least two for each pool", "52");
    add("zones", "Number of availability zones", "3");
    add("pools", "Number of pools", "6");
    add("teams", "Number of teams", "3");
    add("revision", "Changes the text in one place", "0");
    options.add_options()("h,help", "Print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return kernel::ResultCode::Ok;
    }
    const auto number = [&](const char* name) { return arguments[name].as<std::uint32_t>(); };
    std::cout << makeManifest(
        { number("vms"), number("zones"), number("pools"), number("teams"), number("revision") });
    return kernel::ResultCode::Ok;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "make-manifest",
    .summary = "Writes a valid manifest of a given size to the standard output.",
    .example = "make-manifest --vms 2800 --zones 5 --pools 29 --teams 260",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::bench
