#include "wasabiroad/kernel/kernel.hpp"
#include "wasabiroad/metrics/metrics.hpp"

namespace wasabiroad::metrics {

namespace {

kernel::Expected<void> start(kernel::Kernel& kernel)
{
    kernel.provide(std::make_shared<Metrics>());
    return {};
}

const kernel::Registration registration { kernel::Plugin {
    .name = "metrics",
    .version = { 1, 0 },
    .start = start,
} };

} // namespace

} // namespace wasabiroad::metrics
