#include "wasabiroad/bench/closed_loop.hpp"
#include "wasabiroad/bench/invocation.hpp"
#include "wasabiroad/bench/process_usage.hpp"
#include "wasabiroad/bench/quantiles.hpp"
#include "wasabiroad/bench/report.hpp"
#include "wasabiroad/bench/spread.hpp"
#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/launch/site.hpp"
#include "wasabiroad/manifest/read.hpp"

#include <csignal>
#include <iostream>

#include <spdlog/fmt/fmt.h>

namespace wasabiroad::bench {

namespace {

constexpr double median = 0.5;
constexpr double tail = 0.99;

/** A process under test and its measurements. */
struct Contender {
    const std::string name;
    const boost::asio::ip::tcp::endpoint address;
    const int process;
    std::vector<double> perCore {};
    std::vector<double> perSecond {};
    std::vector<double> p50 {};
    std::vector<double> p99 {};
    std::uint64_t failed { 0 };
};

struct CompareOptions {
    const std::string target;
    const std::size_t connections;
    const kernel::Duration length;
};

void measure(Contender& contender, const CompareOptions& options)
{
    const auto before = processorSeconds(contender.process);
    const auto full
        = runClosedLoop({ contender.address, options.target, options.connections, options.length });
    const auto used = processorSeconds(contender.process) - before;
    // Four connections with a pause stay far below saturation.
    constexpr std::size_t fewConnections = 4;
    constexpr kernel::Duration pause { 2 };
    const auto light
        = runClosedLoop({ contender.address, options.target, fewConnections, options.length, pause });
    const Quantiles latencies { light.latencies };
    contender.perCore.push_back(used > 0 ? static_cast<double>(full.answered) / used : 0);
    contender.perSecond.push_back(static_cast<double>(full.answered) / full.seconds);
    contender.p50.push_back(latencies.at(median));
    contender.p99.push_back(latencies.at(tail));
    contender.failed += full.failed + light.failed;
    std::cerr << fmt::format(
        "{}: {:.0f} requests per core second, {:.0f} a second, p50 {:.3f} ms, p99 {:.3f} ms\n",
        contender.name, contender.perCore.back(), contender.perSecond.back(), contender.p50.back(),
        contender.p99.back());
}

std::vector<double> differences(const std::vector<double>& left, const std::vector<double>& right)
{
    std::vector<double> result;
    for (std::size_t index = 0; index < left.size(); ++index) {
        result.push_back(left[index] - right[index]);
    }
    return result;
}

std::vector<double> ratios(const std::vector<double>& left, const std::vector<double>& right)
{
    std::vector<double> result;
    for (std::size_t index = 0; index < left.size(); ++index) {
        result.push_back(right[index] > 0 ? left[index] / right[index] : 0);
    }
    return result;
}

void print(const Contender& bare, const Contender& daemon, double idleMegabytes)
{
    const auto row
        = [](const std::string& name, const std::vector<double>& left, const std::vector<double>& right) {
              std::cout << "| " << name << " | " << toText(spreadOf(left)) << " | " << toText(spreadOf(right))
                        << " |\n";
          };
    std::cout << "| measure | pass-through | daemon |\n|---|---|---|\n";
    row("requests per core second", bare.perCore, daemon.perCore);
    row("requests a second", bare.perSecond, daemon.perSecond);
    row("p50 below saturation, ms", bare.p50, daemon.p50);
    row("p99 below saturation, ms", bare.p99, daemon.p99);
    std::cout << "| failed requests | " << bare.failed << " | " << daemon.failed << " |\n\n"
              << "| target | limit | measured |\n|---|---|---|\n"
              << "| throughput per core relative to the pass-through | at least 0.70 | "
              << toText(spreadOf(ratios(daemon.perCore, bare.perCore))) << " |\n"
              << "| added p50, ms | - | " << toText(spreadOf(differences(daemon.p50, bare.p50))) << " |\n"
              << "| added p99, ms | at most 0.30 | " << toText(spreadOf(differences(daemon.p99, bare.p99)))
              << " |\n"
              << "| resident memory of the idle daemon, MB | at most 32 | " << rounded(idleMegabytes)
              << " |\n";
}

std::vector<std::string> passThroughArguments(const model::Manifest& manifest)
{
    std::vector<std::string> arguments { "passthrough" };
    for (const auto& vm : manifest.vms) {
        if (vm.pool == manifest.services.front().pool) {
            arguments.insert(arguments.end(), { "--to", vm.address });
        }
    }
    return arguments;
}

kernel::ResultCode run(int argc, const char* const* argv)
{
    cxxopts::Options options { "wasabiroad-bench compare", "Compares a daemon with a bare pass-through." };
    options.add_options()(
        "manifest", "Manifest file", cxxopts::value<std::string>()->default_value("examples/hallbach.json"))(
        "seconds", "Length of each measurement", cxxopts::value<std::uint32_t>()->default_value("3"))(
        "repetitions", "Repetitions", cxxopts::value<std::uint32_t>()->default_value("5"))("connections",
        "Connections of the throughput load", cxxopts::value<std::uint32_t>()->default_value("32"));
    const auto arguments = options.parse(argc, argv);
    const auto text = readFile(arguments["manifest"].as<std::string>());
    if (!text) {
        return reportError(text.error());
    }
    const auto declared = manifest::read(*text);
    if (!declared) {
        return reportError(declared.error().front());
    }
    const auto site = launch::Site::start(
        { *text, { { "entry-a", declared->zones.front().id.text(), R"({"traffic-threads": 1})" } } });
    if (!site) {
        return reportError(site.error());
    }
    if (const auto applied = (*site)->apply(); !applied) {
        return reportError(applied.error());
    }
    const double idleMegabytes = residentMegabytes((*site)->daemon(0).id());
    const auto manifest = manifest::read((*site)->manifest());
    const launch::Process passThrough { { launch::programFolder() + "/wasabiroad-bench",
        passThroughArguments(*manifest) } };
    const auto bareAddress = passThrough.address("callers");
    if (!bareAddress) {
        return reportError(bareAddress.error());
    }
    const auto& service = manifest->services.front();
    const CompareOptions compare { "/services/" + service.id.text() + "/"
            + service.operations.front().id.text(),
        arguments["connections"].as<std::uint32_t>(),
        { static_cast<std::int64_t>(arguments["seconds"].as<std::uint32_t>()) * 1000 } };
    Contender bare { "pass-through", *http::parseEndpoint(*bareAddress), passThrough.id() };
    Contender daemon { "daemon", *http::parseEndpoint((*site)->addresses(0).callers),
        (*site)->daemon(0).id() };
    for (std::uint32_t repetition = 0; repetition < arguments["repetitions"].as<std::uint32_t>();
         ++repetition) {
        measure(bare, compare);
        measure(daemon, compare);
    }
    print(bare, daemon, idleMegabytes);
    passThrough.signal(SIGTERM);
    (*site)->stopDaemon(0);
    return kernel::ResultCode::Ok;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "compare",
    .summary = "Compares a daemon with one traffic thread with a bare pass-through, interleaved.",
    .example = "compare --repetitions 5",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::bench
