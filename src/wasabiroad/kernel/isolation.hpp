#pragma once

#include "wasabiroad/kernel/log.hpp"

#include <functional>

namespace wasabiroad::kernel {

/**
 * @brief Calls a function and logs an exception that leaves it, so that the caller can go on.
 * @param origin Where the function came from, for the log.
 * @return Whether the function returned without an exception.
 */
bool runIsolated(const Field& origin, const std::function<void()>& function);

} // namespace wasabiroad::kernel
