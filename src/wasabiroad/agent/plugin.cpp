#include "wasabiroad/agent/agent.hpp"
#include "wasabiroad/kernel/kernel.hpp"

namespace wasabiroad::agent {

namespace {

kernel::Expected<void> start(kernel::Kernel& kernel)
{
    const auto settings = kernel.find<const settings::Settings>();
    auto configurations = std::make_shared<kernel::Publisher<jobs::Configuration>>();
    auto agent = std::make_shared<Agent>(AgentContext {
        .context = kernel.threads().control(),
        .entry = settings->entry,
        .access = *settings->fleet,
        .store = kernel.find<const store::Store>(),
        .fleet = kernel.find<const ports::Fleet>(),
        .upstreams = kernel.find<const ports::Upstreams>(),
        .metrics = kernel.find<metrics::Metrics>(),
        .configurations = configurations,
        .incarnation = static_cast<std::uint64_t>(kernel::now(kernel::WallClock {}).milliseconds),
        .vm = settings->vm,
    });
    kernel.provide(std::move(configurations));
    kernel.provide(agent);
    kernel.provide(std::make_shared<const JobApi>(agent->makeJobApi()));
    agent->start();
    return {};
}

void drain(kernel::Kernel& kernel, std::function<void()> done)
{
    kernel.find<Agent>()->stop(std::move(done));
}

const kernel::Registration registration { kernel::Plugin {
    .name = "agent",
    .version = { 1, 0 },
    .dependencies = { "fleet-ports", "metrics" },
    .start = start,
    .drain = drain,
} };

} // namespace

} // namespace wasabiroad::agent
