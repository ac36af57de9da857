#include "wasabiroad/bench/make_manifest.hpp"

#include <iostream>

#include <cxxopts.hpp>

int main(int argc, char** argv)
{
    cxxopts::Options options { "make-manifest",
        "Writes a valid manifest of a given size to the standard output." };
    options.add_options()("vms", "Number of VMs", cxxopts::value<std::uint32_t>()->default_value("52"))(
        "zones", "Number of availability zones", cxxopts::value<std::uint32_t>()->default_value("3"))("pools",
        "Number of pools", cxxopts::value<std::uint32_t>()->default_value("6"))("teams", "Number of teams",
        cxxopts::value<std::uint32_t>()->default_value("3"))("revision", "Changes the text in one place",
        cxxopts::value<std::uint32_t>()->default_value("0"))("h,help", "Print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help()
                      << "\nexample: make-manifest --vms 2800 --zones 5 --pools 29 --teams 260\n";
            return 0;
        }
        const auto number = [&](const char* name) { return arguments[name].as<std::uint32_t>(); };
        std::cout << wasabiroad::bench::makeManifest(
            { number("vms"), number("zones"), number("pools"), number("teams"), number("revision") });
        return 0;
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << "make-manifest: " << exception.what() << "\n";
        return 1;
    }
}
