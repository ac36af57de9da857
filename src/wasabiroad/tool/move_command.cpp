#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/tool/fleet_access.hpp"

namespace wasabiroad::tool {

namespace {

constexpr const char* summary = "Moves a VM to another pool after it drained.";

kernel::ResultCode run(int argc, const char* const* argv)
{
    auto options = makeVmOptions("move", summary);
    options.add_options()("pool", "Pool to join", cxxopts::value<std::string>());
    const Invocation invocation { std::move(options), argc, argv };
    if (invocation.helped()) {
        return kernel::ResultCode::Ok;
    }
    return runVmChange(invocation,
        fleet::Disrupt { model::VmId { invocation.text("vm") }, fleet::Reason::Move, invocation.text("note"),
            model::PoolId { invocation.text("pool") } });
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "move",
    .summary = summary,
    .example = "move --vm vm-by-1-17 --pool quality --platform 127.0.0.1:7000",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
