#include "wasabiroad/bench/invocation.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace wasabiroad::bench {

void addLoadOptions(cxxopts::Options& options, const std::string& rate, const std::string& seconds)
{
    using cxxopts::value;
    options.add_options()("rate", "Requests a second", value<double>()->default_value(rate))(
        "seconds", "Length of the load", value<double>()->default_value(seconds))(
        "seed", "Seed of the load", value<std::uint64_t>()->default_value("1"))(
        "burst-seconds", "Length of each service's burst", value<double>()->default_value("3"))(
        "long-percent", "Share of long work", value<std::uint32_t>()->default_value("5"))("long-factor",
        "Run time of long work relative to short work", value<std::uint32_t>()->default_value("50"))(
        "wrong-percent", "Share of wrong declarations", value<std::uint32_t>()->default_value("10"))(
        "idempotent-only", "Leave out operations that are not idempotent");
}

LoadProfile profileOf(const cxxopts::ParseResult& arguments)
{
    const auto duration = [&](const std::string& option) {
        constexpr double millisecondsPerSecond = 1000;
        return kernel::Duration { static_cast<std::int64_t>(
            arguments[option].as<double>() * millisecondsPerSecond) };
    };
    return LoadProfile {
        .rate = arguments["rate"].as<double>(),
        .length = duration("seconds"),
        .seed = arguments["seed"].as<std::uint64_t>(),
        .burstLength = duration("burst-seconds"),
        .longPercent = arguments["long-percent"].as<std::uint32_t>(),
        .longFactor = arguments["long-factor"].as<std::uint32_t>(),
        .wrongPercent = arguments["wrong-percent"].as<std::uint32_t>(),
        .nonIdempotent = arguments.count("idempotent-only") == 0,
    };
}

kernel::Expected<std::string> readFile(const std::string& path)
{
    std::ostringstream content;
    const std::ifstream stream { path };
    if (!stream) {
        return kernel::fail(kernel::ResultCode::FileUnreadable, path, "no readable file", "a readable file");
    }
    content << stream.rdbuf();
    return content.str();
}

kernel::ResultCode reportError(const kernel::Error& error)
{
    std::cerr << "code=" << number(error.code) << " " << name(error.code) << " at '" << error.where
              << "': found " << error.found << "; allowed: " << error.allowed << "\n";
    return error.code;
}

} // namespace wasabiroad::bench
