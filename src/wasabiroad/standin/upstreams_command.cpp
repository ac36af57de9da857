#include "wasabiroad/http/server.hpp"
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

using Upstreams = std::vector<std::unique_ptr<Upstream>>;

boost::json::value toJson(const std::vector<Run>& page, std::size_t total)
{
    boost::json::array runs;
    for (const auto& run : page) {
        runs.push_back({ { "request", run.request }, { "attempt", run.attempt }, { "vm", run.vm },
            { "started-us", run.started }, { "ended-us", run.ended } });
    }
    return { { "total", total }, { "runs", std::move(runs) } };
}

/** Sets the behaviour of the VM that the query names, or of all VMs. */
boost::json::value behave(const Upstreams& upstreams, const http::Target& target)
{
    const auto behaviour = parseBehaviour(target);
    if (!behaviour) {
        return { { "error", name(behaviour.error().code) }, { "found", behaviour.error().found } };
    }
    const auto vm = target.query.find("vm");
    std::size_t set = 0;
    for (const auto& upstream : upstreams) {
        if (vm == target.query.end() || vm->second == upstream->vm()) {
            upstream->behave(*behaviour);
            ++set;
        }
    }
    return { { "set", set } };
}

http::Response answerAdmin(const http::Request& request, const RunLog& log, const Upstreams& upstreams)
{
    const auto target = http::parseTarget({ request.target().data(), request.target().size() });
    const auto reply = [&](unsigned status, const boost::json::value& document) {
        return http::respond(request, status, "application/json", boost::json::serialize(document));
    };
    if (target && target->path == "/behaviour") {
        const auto document = behave(upstreams, *target);
        return reply(document.as_object().contains("error") ? 400 : 200, document);
    }
    if (target && (target->path == "/runs" || target->path == "/")) {
        constexpr std::int64_t pageLimit = 10000;
        const auto from = static_cast<std::size_t>(http::numberOf(*target, "from", 0));
        const auto limit = static_cast<std::size_t>(http::numberOf(*target, "limit", pageLimit));
        return reply(200, toJson(log.page(from, limit), log.size()));
    }
    return reply(404, { { "error", "unknown path" } });
}

kernel::ResultCode run(int argc, const char* const* argv)
{
    cxxopts::Options options { "wasabiroad-standin upstreams", "Stand-ins of all upstreams of a manifest." };
    options.add_options()("manifest", "Manifest file; - reads the standard input",
        cxxopts::value<std::string>())("admin", "IP address and port for runs and behaviours",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "any-port", "Bind 127.0.0.1 and a free port in place of the manifest's addresses")(
        "seed", "Seed of random behaviours", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto arguments = options.parse(argc, argv);
    const auto manifest = readManifest(arguments["manifest"].as<std::string>());
    if (!manifest) {
        return reportError(manifest.error());
    }
    boost::asio::io_context context { 1 };
    RunLog log;
    Upstreams upstreams;
    for (const auto& vm : manifest->vms) {
        const UpstreamOptions upstream { vm.id.text(), vm.slots, vm.connections,
            arguments["seed"].as<std::uint64_t>() + upstreams.size() };
        upstreams.push_back(std::make_unique<Upstream>(context, upstream, log));
        const auto address
            = upstreams.back()->listen(arguments.count("any-port") != 0 ? "127.0.0.1:0" : vm.address);
        if (!address) {
            return reportError(address.error());
        }
        announce(vm.id.text(), *address);
    }
    http::Server admin { context, [&](http::Request request) -> boost::asio::awaitable<http::Response> {
                            co_return answerAdmin(request, log, upstreams);
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
