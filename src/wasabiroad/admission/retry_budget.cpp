#include "wasabiroad/admission/retry_budget.hpp"

namespace wasabiroad::admission {

namespace {

/** Retries in ten seconds that are always allowed, so that a service with few requests can retry. */
constexpr std::uint64_t minRetries = 5;

constexpr std::int64_t millisecondsPerSecond = 1000;

} // namespace

void RetryBudget::countRequest(kernel::Instant now) { ++bucketAt(now).requests; }

bool RetryBudget::tryTakeRetry(kernel::Instant now, std::uint32_t percent)
{
    auto& bucket = bucketAt(now);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    const auto oldest = bucket.second - static_cast<std::int64_t>(this->buckets.size());
    for (const auto& each : this->buckets) {
        if (each.second > oldest) {
            requests += each.requests;
            retries += each.retries;
        }
    }
    if (retries >= minRetries && retries * 100 >= requests * percent) {
        return false;
    }
    ++bucket.retries;
    return true;
}

RetryBudget::Bucket& RetryBudget::bucketAt(kernel::Instant now)
{
    const auto second = now.milliseconds / millisecondsPerSecond;
    auto& bucket = this->buckets[static_cast<std::uint64_t>(second) % this->buckets.size()];
    if (bucket.second != second) {
        bucket = Bucket { second };
    }
    return bucket;
}

} // namespace wasabiroad::admission
