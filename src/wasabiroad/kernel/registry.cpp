#include "wasabiroad/kernel/registry.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace wasabiroad::kernel {

namespace {

using ByName = std::map<std::string, const Plugin*>;

Expected<ByName> indexByName(const std::vector<Plugin>& plugins)
{
    ByName byName;
    for (const auto& plugin : plugins) {
        if (!byName.emplace(plugin.name, &plugin).second) {
            return fail(ResultCode::DuplicatePlugin, plugin.name);
        }
    }
    return byName;
}

Expected<void> checkDependencies(const ByName& byName)
{
    for (const auto& [pluginName, plugin] : byName) {
        for (const auto& dependency : plugin->dependencies) {
            if (!byName.contains(dependency)) {
                return fail(ResultCode::MissingDependency, pluginName, dependency);
            }
        }
    }
    return {};
}

} // namespace

Registry& Registry::global()
{
    static Registry registry;
    return registry;
}

void Registry::emplace(Plugin plugin) { this->plugins.emplace_back(std::move(plugin)); }

Expected<std::vector<const Plugin*>> Registry::order() const
{
    const auto byName = indexByName(this->plugins);
    if (!byName) {
        return tl::unexpected(byName.error());
    }
    if (const auto checked = checkDependencies(*byName); !checked) {
        return tl::unexpected(checked.error());
    }
    std::vector<const Plugin*> ordered;
    std::set<std::string> placed;
    while (ordered.size() < byName->size()) {
        const auto ready = std::ranges::find_if(*byName, [&](const auto& entry) {
            const auto isPlaced = [&](const auto& dependency) { return placed.contains(dependency); };
            return !placed.contains(entry.first) && std::ranges::all_of(entry.second->dependencies, isPlaced);
        });
        if (ready == byName->end()) {
            const auto blocked = std::ranges::find_if(
                *byName, [&](const auto& entry) { return !placed.contains(entry.first); });
            return fail(ResultCode::DependencyCycle, blocked->first);
        }
        ordered.push_back(ready->second);
        placed.insert(ready->first);
    }
    return ordered;
}

} // namespace wasabiroad::kernel
