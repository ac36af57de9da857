#include "wasabiroad/kernel/isolation.hpp"

#include <exception>

namespace wasabiroad::kernel {

bool runIsolated(const Field& origin, const std::function<void()>& function)
{
    try {
        function();
        return true;
    } catch (const std::exception& exception) {
        logEvent("handler-failed", { origin, { "reason", exception.what() } });
    } catch (...) {
        logEvent("handler-failed", { origin, { "reason", "unknown exception" } });
    }
    return false;
}

} // namespace wasabiroad::kernel
