#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/manifest/read.hpp"
#include "wasabiroad/tool/changes.hpp"
#include "wasabiroad/tool/invocation.hpp"
#include "wasabiroad/tool/wait.hpp"

namespace wasabiroad::tool {

namespace {

kernel::ResultCode run(int argc, const char* const* argv)
{
    auto options = makeOptions("plan", "Shows what a manifest would change.");
    options.add_options()(
        "manifest", "Manifest file; - reads the standard input", cxxopts::value<std::string>())(
        "platform", "IP address and port of the platform", cxxopts::value<std::string>());
    const Invocation invocation { std::move(options), argc, argv };
    if (invocation.helped()) {
        return kernel::ResultCode::Ok;
    }
    const auto format = invocation.format();
    const auto text = invocation.file("manifest");
    if (!text) {
        return printErrors(format, { text.error() });
    }
    const auto next = manifest::read(*text);
    if (!next) {
        return printErrors(format, next.error());
    }
    const auto store = invocation.platform();
    if (!store) {
        return printErrors(format, { store.error() });
    }
    const auto stored = wait(readStoredManifest(*store));
    if (!stored) {
        return printErrors(format, { stored.error() });
    }
    const auto changes = changesTo(*stored, *next);
    if (!changes) {
        return printErrors(format, changes.error());
    }
    printChanges(format, stored->head.generation, *changes);
    return kernel::ResultCode::Ok;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "plan",
    .summary = "Shows what a manifest would change, and what that does to VMs and budgets.",
    .example = "plan --manifest examples/hallbach.json --platform 127.0.0.1:7000",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
