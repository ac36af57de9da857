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
    struct Bucket {
        /** @brief Second on the clock; -1 for an unused bucket. */
        std::int64_t second { -1 };
        std::uint32_t requests { 0 };
        std::uint32_t retries { 0 };
    };

    /** @return Bucket for the second of an instant, cleared when it is of an earlier second. */
    Bucket& bucketAt(kernel::Instant now);

    std::array<Bucket, 10> buckets {};
};

} // namespace wasabiroad::admission
