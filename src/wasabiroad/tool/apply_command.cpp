#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/manifest/read.hpp"
#include "wasabiroad/tool/apply.hpp"
#include "wasabiroad/tool/invocation.hpp"
#include "wasabiroad/tool/wait.hpp"

namespace wasabiroad::tool {

namespace {

kernel::ResultCode run(int argc, const char* const* argv)
{
    auto options = makeOptions("apply", "Puts a manifest in force as the next generation.");
    options.add_options()(
        "manifest", "Manifest file; - reads the standard input", cxxopts::value<std::string>())(
        "platform", "IP address and port of the platform", cxxopts::value<std::string>())(
        "planned-against", "Generation that the change was planned against", cxxopts::value<std::int64_t>());
    const Invocation invocation { std::move(options), argc, argv };
    if (invocation.helped()) {
        return kernel::ResultCode::Ok;
    }
    const auto format = invocation.format();
    const auto text = invocation.file("manifest");
    if (!text) {
        return printErrors(format, { text.error() });
    }
    if (const auto manifest = manifest::read(*text); !manifest) {
        return printErrors(format, manifest.error());
    }
    const auto store = invocation.platform();
    if (!store) {
        return printErrors(format, { store.error() });
    }
    const auto planned = invocation.has("planned-against") ? std::optional { model::Generation {
                             static_cast<std::uint64_t>(invocation.number("planned-against")) } }
                                                           : std::nullopt;
    const auto head = wait(apply(*store, *text, planned));
    if (!head) {
        return printErrors(format, { head.error() });
    }
    printObject(format, { { "generation", head->generation.value }, { "digest", head->digest } });
    return kernel::ResultCode::Ok;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "apply",
    .summary = "Puts a manifest in force as the next generation.",
    .example = "apply --manifest examples/hallbach.json --platform 127.0.0.1:7000",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
