#include "wasabiroad/control/configuration_follower.hpp"
#include "wasabiroad/control/snapshots.hpp"
#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/kernel/kernel.hpp"
#include "wasabiroad/settings/settings.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wasabiroad::control {

namespace {

kernel::Expected<void> start(kernel::Kernel& kernel)
{
    const auto settings = kernel.find<const settings::Settings>();
    const auto endpoint = http::parseEndpoint(settings->platform);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    auto& bus = kernel.bus();
    const platform::Store store { platform::HttpStore { *endpoint, settings->limits.platformTimeout,
        [&bus](const platform::Called& called) { bus.publish(called); } } };
    kernel.provide(std::make_shared<const platform::Store>(store));
    kernel.provide(
        std::make_shared<Snapshots>(kernel.bus(), DaemonLocation { settings->entry, settings->zone }));
    auto follower = std::make_shared<ConfigurationFollower>(kernel.bus(), store);
    kernel.provide(follower);
    boost::asio::co_spawn(kernel.threads().control(), follower->run(), boost::asio::detached);
    return {};
}

const kernel::Registration registration { kernel::Plugin {
    .name = "control",
    .version = { 1, 0 },
    .start = start,
} };

} // namespace

} // namespace wasabiroad::control
