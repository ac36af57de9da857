#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/tool/invocation.hpp"

namespace wasabiroad::tool {

namespace {

kernel::ResultCode run(int argc, const char* const* argv)
{
    const Invocation invocation { makeOptions("version", "Prints the version."), argc, argv };
    if (!invocation.helped()) {
        printObject(invocation.format(), { { "version", WASABIROAD_VERSION }, { "manifest-format", 1 } });
    }
    return kernel::ResultCode::Ok;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "version",
    .summary = "Prints the version of the tool and of the manifest format.",
    .example = "version --output json",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
