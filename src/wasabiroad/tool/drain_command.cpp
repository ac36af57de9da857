#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/tool/fleet_access.hpp"

namespace wasabiroad::tool {

namespace {

constexpr const char* summary = "Takes a VM out of service within its availability budget.";

kernel::ResultCode run(int argc, const char* const* argv)
{
    auto options = makeVmOptions("drain", summary);
    const Invocation invocation { std::move(options), argc, argv };
    if (invocation.helped()) {
        return kernel::ResultCode::Ok;
    }
    return runVmChange(invocation,
        fleet::Disrupt {
            model::VmId { invocation.text("vm") }, fleet::Reason::Operator, invocation.text("note"), {} });
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "drain",
    .summary = summary,
    .example = "drain --vm vm-by-1-01 --platform 127.0.0.1:7000",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
