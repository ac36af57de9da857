#include "wasabiroad/admission/retry_budget.hpp"

namespace wasabiroad::admission {

namespace {

/** Retries in ten seconds that are always allowed, so that a service with few requests can retry. */
constexpr std::uint64_t minRetries = 5;

constexpr std::int64_t millisecondsPerSecond = 1000;

} // namespace

void RetryBudget::countRequest(kernel::Instant now) { ++current(now).requests; }

bool RetryBudget::tryTakeRetry(kernel::Instant now, std::uint32_t percent)
{
    auto& second = current(now);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    const auto oldest = second.number - static_cast<std::int64_t>(this->seconds.size());
    for (const auto& each : this->seconds) {
        if (each.number > oldest) {
            requests += each.requests;
            retries += each.retries;
        }
    }
    if (retries >= minRetries && retries * 100 >= requests * percent) {
        return false;
    }
    ++second.retries;
    return true;
}

RetryBudget::Second& RetryBudget::current(kernel::Instant now)
{
    const auto number = now.milliseconds / millisecondsPerSecond;
    auto& second = this->seconds[static_cast<std::uint64_t>(number) % this->seconds.size()];
    if (second.number != number) {
        second = Second { number };
    }
    return second;
}

} // namespace wasabiroad::admission
