#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/tool/fleet_access.hpp"

namespace wasabiroad::tool {

namespace {

constexpr const char* summary = "Puts a drained VM back into service.";

kernel::ResultCode run(int argc, const char* const* argv)
{
    auto options = makeVmOptions("undrain", summary);
    const Invocation invocation { std::move(options), argc, argv };
    if (invocation.helped()) {
        return kernel::ResultCode::Ok;
    }
    return runVmChange(invocation,
        fleet::ApplyEvent { model::VmId { invocation.text("vm") }, lifecycle::VmEvent::DrainCancelled });
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "undrain",
    .summary = summary,
    .example = "undrain --vm vm-by-1-01 --platform 127.0.0.1:7000",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
