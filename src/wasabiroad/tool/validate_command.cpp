#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/manifest/read.hpp"
#include "wasabiroad/tool/invocation.hpp"

namespace wasabiroad::tool {

namespace {

kernel::ResultCode run(int argc, const char* const* argv)
{
    auto options = makeOptions("validate", "Checks a manifest without contacting the platform.");
    options.add_options()(
        "manifest", "Manifest file; - reads the standard input", cxxopts::value<std::string>());
    const Invocation invocation { std::move(options), argc, argv };
    if (invocation.helped()) {
        return kernel::ResultCode::Ok;
    }
    const auto text = invocation.file("manifest");
    if (!text) {
        return printErrors(invocation.format(), { text.error() });
    }
    const auto manifest = manifest::read(*text);
    if (!manifest) {
        return printErrors(invocation.format(), manifest.error());
    }
    printObject(invocation.format(),
        { { "site", manifest->site.text() }, { "pools", manifest->pools.size() },
            { "vms", manifest->vms.size() }, { "services", manifest->services.size() },
            { "digest", manifest::digest(*text) } });
    return kernel::ResultCode::Ok;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "validate",
    .summary = "Checks a manifest without contacting the platform.",
    .example = "validate --manifest examples/hallbach.json",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
