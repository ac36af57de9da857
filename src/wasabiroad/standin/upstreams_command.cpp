#include "wasabiroad/json/reader.hpp"
#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/manifest/read.hpp"
#include "wasabiroad/standin/run.hpp"
#include "wasabiroad/standin/upstream.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>

namespace wasabiroad::standin {

namespace {

kernel::Expected<model::Manifest> readManifest(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
    } else {
        text << std::ifstream { path }.rdbuf();
    }
    auto manifest = manifest::read(text.str());
    if (!manifest) {
        return tl::unexpected(manifest.error().front());
    }
    return *manifest;
}

std::string toJson(const RunLog& log)
{
    boost::json::array runs;
    for (const auto& run : log) {
        runs.push_back({ { "request", run.request }, { "attempt", run.attempt }, { "vm", run.vm } });
    }
    return boost::json::serialize(boost::json::value { { "runs", std::move(runs) } });
}

kernel::ResultCode run(int argc, const char* const* argv)
{
    cxxopts::Options options { "wasabiroad-standin upstreams", "Stand-ins of all upstreams of a manifest." };
    options.add_options()("manifest", "Manifest file; - reads the standard input",
        cxxopts::value<std::string>())("admin", "IP address and port for reading the runs",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "any-port", "Bind 127.0.0.1 and a free port in place of the manifest's addresses");
    const auto arguments = options.parse(argc, argv);
    const auto manifest = readManifest(arguments["manifest"].as<std::string>());
    if (!manifest) {
        return reportError(manifest.error());
    }
    boost::asio::io_context context { 1 };
    RunLog log;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (const auto& vm : manifest->vms) {
        upstreams.push_back(
            std::make_unique<Upstream>(context, UpstreamBehaviour { vm.id.text(), vm.slots }, log));
        const auto address
            = upstreams.back()->listen(arguments.count("any-port") != 0 ? "127.0.0.1:0" : vm.address);
        if (!address) {
            return reportError(address.error());
        }
        announce(vm.id.text(), *address);
    }
    http::Server admin { context, [&log](http::Request request) -> boost::asio::awaitable<http::Response> {
                            co_return http::respond(request, 200, "application/json", toJson(log));
                        } };
    const auto address = admin.listen(arguments["admin"].as<std::string>());
    if (!address) {
        return reportError(address.error());
    }
    announce("admin", *address);
    return runUntilSignal(context);
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "upstreams",
    .summary = "Serves all upstreams of a manifest.",
    .example = "upstreams --manifest examples/hallbach.json",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::standin
