#include "wasabiroad/kernel/kernel.hpp"

#include "wasabiroad/kernel/log.hpp"

namespace wasabiroad::kernel {

Expected<void> Kernel::start(const Registry& registry)
{
    const auto ordered = registry.order();
    if (!ordered) {
        return tl::unexpected(ordered.error());
    }
    for (const auto* plugin : *ordered) {
        if (plugin->start) {
            if (auto result = plugin->start(*this); !result) {
                stopAll();
                return result;
            }
        }
        this->started.push_back(plugin);
        logEvent("plugin-started", { { "plugin", plugin->name } });
    }
    return {};
}

void Kernel::shutDown()
{
    if (this->shuttingDown) {
        return;
    }
    this->shuttingDown = true;
    logEvent("shutdown-started");
    drainNext(this->started.size());
}

void Kernel::drainNext(std::size_t remaining)
{
    if (remaining == 0) {
        stopAll();
        logEvent("shutdown-finished");
        this->threadSet.stop();
        return;
    }
    const auto* plugin = this->started[remaining - 1];
    if (!plugin->drain) {
        drainNext(remaining - 1);
        return;
    }
    plugin->drain(*this, [this, remaining] { drainNext(remaining - 1); });
}

void Kernel::stopAll()
{
    for (auto plugin = this->started.rbegin(); plugin != this->started.rend(); ++plugin) {
        if ((*plugin)->stop) {
            (*plugin)->stop(*this);
        }
    }
    this->started.clear();
}

} // namespace wasabiroad::kernel
