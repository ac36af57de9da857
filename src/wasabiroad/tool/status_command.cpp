#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/tool/daemon_status.hpp"
#include "wasabiroad/tool/invocation.hpp"

#include <iostream>

#include <boost/json/serialize.hpp>

namespace wasabiroad::tool {

namespace {

void print(OutputFormat format, const boost::json::array& daemons)
{
    if (format == OutputFormat::Json) {
        std::cout << boost::json::serialize(boost::json::value { { "daemons", daemons } }) << "\n";
        return;
    }
    for (const auto& daemon : daemons) {
        const char* separator = "";
        for (const auto& member : daemon.as_object()) {
            const auto* const text = member.value().if_string();
            std::cout << separator << std::string_view { member.key() } << "="
                      << (text ? std::string { *text } : boost::json::serialize(member.value()));
            separator = " ";
        }
        std::cout << "\n";
    }
}

kernel::ResultCode run(int argc, const char* const* argv)
{
    auto options = makeOptions("status", "Shows which daemon runs which generation.");
    options.add_options()("daemon", "IP address and port of a daemon's operators' listener; repeatable",
        cxxopts::value<std::vector<std::string>>());
    const Invocation invocation { std::move(options), argc, argv };
    if (invocation.helped()) {
        return kernel::ResultCode::Ok;
    }
    boost::json::array daemons;
    kernel::Errors errors;
    for (const auto& address : invocation.texts("daemon")) {
        auto status = readStatus(address);
        if (status) {
            daemons.push_back(std::move(*status));
        } else {
            errors.emplace_back(status.error());
            daemons.push_back({ { "address", address }, { "error", name(status.error().code) } });
        }
    }
    print(invocation.format(), daemons);
    return errors.empty() ? kernel::ResultCode::Ok : errors.front().code;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "status",
    .summary = "Shows which daemon runs which generation; names daemons that cannot be reached.",
    .example = "status --daemon 127.0.0.1:8001",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
