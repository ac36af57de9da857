#include "wasabiroad/kernel/kernel.hpp"
#include "wasabiroad/maintenance/controller.hpp"
#include "wasabiroad/settings/settings.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wasabiroad::maintenance {

namespace {

kernel::Expected<void> start(kernel::Kernel& kernel)
{
    const auto settings = kernel.find<const settings::Settings>();
    const auto store = kernel.find<const platform::Store>();
    auto& context = kernel.threads().control();
    auto controller
        = std::make_shared<Controller>(context, kernel.bus(), *store, settings->entry, settings->zone);
    kernel.provide(controller);
    boost::asio::co_spawn(context, controller->follow(std::string { ledgerPrefix }), boost::asio::detached);
    boost::asio::co_spawn(context, controller->follow(std::string { wavePrefix }), boost::asio::detached);
    boost::asio::co_spawn(context, controller->run(), boost::asio::detached);
    return {};
}

void drain(kernel::Kernel& kernel, std::function<void()> done)
{
    kernel.find<Controller>()->stop();
    done();
}

const kernel::Registration registration { kernel::Plugin {
    .name = "maintenance",
    .version = { 1, 0 },
    .dependencies = { "control" },
    .start = start,
    .drain = drain,
} };

} // namespace

} // namespace wasabiroad::maintenance
