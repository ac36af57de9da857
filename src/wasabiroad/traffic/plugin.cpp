#include "wasabiroad/control/snapshots.hpp"
#include "wasabiroad/kernel/kernel.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/traffic/front_end.hpp"

namespace wasabiroad::traffic {

namespace {

kernel::Expected<void> start(kernel::Kernel& kernel)
{
    const auto settings = kernel.find<const settings::Settings>();
    const auto metrics = kernel.find<metrics::Metrics>();
    auto frontEnd = std::make_shared<FrontEnd>(
        kernel.threads(), *settings, *metrics, *kernel.find<const platform::Store>());
    frontEnd->observeLeaving([&bus = kernel.bus()](const model::VmId& vm) {
        kernel::logEvent("upstream-leaving", { { "vm", vm.text() } });
        bus.publish(control::UpstreamLeaving { vm });
    });
    frontEnd->subscribe(kernel.find<control::Snapshots>()->publisher(),
        [&bus = kernel.bus()](std::uint64_t sequence) { bus.publish(control::SnapshotInUse { sequence }); });
    const auto address = frontEnd->listen(settings->callers);
    if (!address) {
        return tl::unexpected(address.error());
    }
    kernel::logEvent("listening", { { "listener", "callers" }, { "address", *address } });
    kernel.provide(std::move(frontEnd));
    return {};
}

void drain(kernel::Kernel& kernel, std::function<void()> done)
{
    kernel.find<FrontEnd>()->drain(std::move(done));
}

const kernel::Registration registration { kernel::Plugin {
    .name = "traffic",
    .version = { 1, 0 },
    .dependencies = { "control", "metrics" },
    .start = start,
    .drain = drain,
} };

} // namespace

} // namespace wasabiroad::traffic
