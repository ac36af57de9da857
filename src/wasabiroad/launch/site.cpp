#include "wasabiroad/launch/site.hpp"

#include <csignal>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace wasabiroad::launch {

using kernel::ResultCode;

namespace {

std::string settingsFor(const DaemonOptions& daemon, const std::string& platform)
{
    boost::json::object settings {
        { "version", 1 },
        { "entry", daemon.entry },
        { "zone", daemon.zone },
        { "callers", "127.0.0.1:0" },
        { "operators", "127.0.0.1:0" },
        { "platform", platform },
    };
    const auto additions = boost::json::parse(daemon.settings);
    for (const auto& member : additions.as_object()) {
        settings[member.key()] = member.value();
    }
    return boost::json::serialize(settings);
}

} // namespace

Site::Site(const SiteOptions& siteOptions)
    : options(siteOptions)
    , manifestText(siteOptions.manifest)
{
}

kernel::Expected<std::unique_ptr<Site>> Site::start(const SiteOptions& options)
{
    std::unique_ptr<Site> site { new Site { options } };
    if (const auto started = site->startStandIns(); !started) {
        return tl::unexpected(started.error());
    }
    for (const auto& daemon : options.daemons) {
        if (const auto added = site->addDaemon(daemon); !added) {
            return tl::unexpected(added.error());
        }
    }
    return site;
}

kernel::Expected<void> Site::startStandIns()
{
    const auto program = this->options.programs + "/wasabiroad-standin";
    this->platform = std::make_unique<Process>(ProcessOptions { program, { "platform" } });
    this->upstreams = std::make_unique<Process>(
        ProcessOptions { program, { "upstreams", "--manifest", "-", "--any-port" }, this->manifestText });
    const auto platformAddress = this->platform->address("platform");
    if (!platformAddress) {
        return tl::unexpected(platformAddress.error());
    }
    this->platformListener = *platformAddress;
    return readAddresses();
}

kernel::Expected<void> Site::readAddresses()
{
    const auto admin = this->upstreams->address("admin");
    if (!admin) {
        return tl::unexpected(admin.error());
    }
    this->adminListener = *admin;
    auto document = boost::json::parse(this->manifestText);
    for (auto& vm : document.as_object()["vms"].as_array()) {
        const auto address = this->upstreams->address(std::string { vm.as_object()["id"].as_string() });
        if (!address) {
            return tl::unexpected(address.error());
        }
        vm.as_object()["address"] = *address;
    }
    this->manifestText = boost::json::serialize(document);
    return {};
}

kernel::Expected<void> Site::addDaemon(const DaemonOptions& daemon)
{
    auto process = std::make_unique<Process>(ProcessOptions { this->options.programs + "/wasabiroadd",
        { "--settings", "-" }, settingsFor(daemon, this->platformListener) });
    const auto callers = process->address("callers");
    const auto operators = process->address("operators");
    if (!callers) {
        return tl::unexpected(callers.error());
    }
    if (!operators) {
        return tl::unexpected(operators.error());
    }
    this->daemonAddresses.emplace_back(DaemonAddresses { *callers, *operators });
    this->daemons.push_back(std::move(process));
    return {};
}

kernel::Expected<void> Site::apply(kernel::Duration timeout)
{
    Process tool { ProcessOptions { this->options.programs + "/wasabiroad",
        { "apply", "--manifest", "-", "--platform", this->platformListener }, this->manifestText } };
    const auto line = tool.waitForLine("generation=", timeout);
    if (!line) {
        return kernel::fail(ResultCode::PlatformRejected, "apply", "the tool reported no generation");
    }
    for (const auto& daemon : this->daemons) {
        const auto inForce = "event=configuration-in-force generation=" + valueOf(*line, "generation") + " ";
        if (!daemon->waitForLine(inForce, timeout)) {
            return kernel::fail(ResultCode::NotInForceEverywhere, "apply", *line);
        }
    }
    return {};
}

std::optional<int> Site::stopDaemon(std::size_t index, kernel::Duration timeout)
{
    this->daemons.at(index)->signal(SIGTERM);
    return this->daemons.at(index)->wait(timeout);
}

} // namespace wasabiroad::launch
