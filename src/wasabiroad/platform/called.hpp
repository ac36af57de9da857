#pragma once

#include "wasabiroad/kernel/result_code.hpp"

#include <string>

namespace wasabiroad::platform {

/** @brief A call to the platform ended; published so that calls are counted by cause. */
struct Called {
    /** @brief First part of the key and what was done with it, as in `ledger-write`, or `vms-list`. */
    const std::string cause;
    const kernel::ResultCode code { kernel::ResultCode::Ok };

    friend auto operator<=>(const Called&, const Called&) = default;
};

/** @return False when the code says that the platform could not be reached or refused to work. */
constexpr bool isReachable(kernel::ResultCode code)
{
    return code != kernel::ResultCode::PlatformUnreachable && code != kernel::ResultCode::PlatformTimeout
        && code != kernel::ResultCode::PlatformRejected;
}

} // namespace wasabiroad::platform
