#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <array>
#include <cstdint>

namespace wasabiroad::admission {

/** @brief Bounds the retries of a service to a percentage of its requests in the last ten seconds. */
class RetryBudget {
public:
    /** @brief Counts a new request. */
    void countRequest(kernel::Instant now);

    /** @brief Takes one retry from the budget. @return Whether the budget allowed it. */
    bool tryTakeRetry(kernel::Instant now, std::uint32_t percent);

private:
    struct Second {
        std::int64_t number { -1 };
        std::uint32_t requests { 0 };
        std::uint32_t retries { 0 };
    };

    Second& current(kernel::Instant now);

    std::array<Second, 10> seconds {};
};

} // namespace wasabiroad::admission
