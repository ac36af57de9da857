#pragma once

#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/kernel/fwd.hpp"

#include <compare>
#include <functional>
#include <string>
#include <vector>

namespace wasabiroad::kernel {

/** @brief Version of a plug-in. */
struct Version {
    const int major { 0 };
    const int minor { 0 };

    friend auto operator<=>(const Version&, const Version&) = default;
};

/** @brief A part of a process that the kernel starts and stops without knowing it. */
struct Plugin {
    /** @brief Unique name. */
    const std::string name;
    const Version version {};
    /** @brief Names of the plug-ins that must start before this one. */
    const std::vector<std::string> dependencies {};
    /** @brief Starts the plug-in on the control thread, before the threads run. */
    const std::function<Expected<void>(Kernel&)> start {};
    /** @brief Finishes work in flight; calls the callback once on the control thread when done. */
    const std::function<void(Kernel&, std::function<void()>)> drain {};
    /** @brief Releases resources on the control thread after all plug-ins have drained. */
    const std::function<void(Kernel&)> stop {};
};

} // namespace wasabiroad::kernel
