#include "wasabiroad/peer/node.hpp"

namespace wasabiroad::peer {

namespace {

kernel::Expected<void> start(kernel::Kernel& kernel)
{
    auto node = std::make_shared<Node>(kernel);
    if (auto started = node->start(); !started) {
        return started;
    }
    kernel.provide(std::move(node));
    return {};
}

void drain(kernel::Kernel& kernel, std::function<void()> done)
{
    kernel.find<Node>()->leave();
    done();
}

void stop(kernel::Kernel& kernel) { kernel.find<Node>()->stop(); }

const kernel::Registration registration { kernel::Plugin {
    .name = "peer",
    .version = { 1, 0 },
    .dependencies = { "control", "metrics" },
    .start = start,
    .drain = drain,
    .stop = stop,
} };

} // namespace

} // namespace wasabiroad::peer
