#pragma once

#include "wasabiroad/kernel/plugin.hpp"

#include <vector>

namespace wasabiroad::kernel {

/** @brief List of plug-ins, ordered by their dependencies on request. */
class Registry {
public:
    /** @return The registry that `Registration` objects fill during static initialisation. */
    static Registry& global();

    /** @brief Adds a plug-in; names are checked by `order`. */
    void emplace(Plugin plugin);

    /** @return Plug-ins in order of registration. */
    const std::vector<Plugin>& each() const { return this->plugins; }

    /**
     * @brief Sorts the plug-ins so that each comes after its dependencies.
     * @return Plug-ins in start order; ties are broken by name.
     * Errors: DuplicatePlugin, MissingDependency, DependencyCycle.
     */
    Expected<std::vector<const Plugin*>> order() const;

private:
    std::vector<Plugin> plugins {};
};

/** @brief Registers a plug-in from a namespace-scope object of its object library. */
struct Registration {
    explicit Registration(Plugin plugin) { Registry::global().emplace(std::move(plugin)); }
};

} // namespace wasabiroad::kernel
