#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/tool/invocation.hpp"
#include "wasabiroad/tool/stored_manifest.hpp"
#include "wasabiroad/tool/wait.hpp"

#include <iostream>

namespace wasabiroad::tool {

namespace {

kernel::ResultCode run(int argc, const char* const* argv)
{
    auto options = makeOptions("config", "Prints the manifest in force.");
    options.add_options()("platform", "IP address and port of the platform", cxxopts::value<std::string>())(
        "head", "Print only the generation and the digest");
    const Invocation invocation { std::move(options), argc, argv };
    if (invocation.helped()) {
        return kernel::ResultCode::Ok;
    }
    const auto format = invocation.format();
    const auto store = invocation.platform();
    if (!store) {
        return printErrors(format, { store.error() });
    }
    const auto stored = wait(readStoredManifest(*store));
    if (!stored) {
        return printErrors(format, { stored.error() });
    }
    if (stored->head.generation == model::Generation {}) {
        return printErrors(
            format, { { kernel::ResultCode::NotConfigured, std::string { control::headKey } } });
    }
    if (invocation.has("head")) {
        printObject(
            format, { { "generation", stored->head.generation.value }, { "digest", stored->head.digest } });
        return kernel::ResultCode::Ok;
    }
    std::cout << stored->text;
    return kernel::ResultCode::Ok;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "config",
    .summary = "Prints the manifest in force, or with --head its generation and digest.",
    .example = "config --head --platform 127.0.0.1:7000",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
