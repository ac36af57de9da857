#include "wasabiroad/agent/vacancy.hpp"

#include <algorithm>

namespace wasabiroad::agent {

using kernel::Duration;

namespace {

/** Capacity that one duty is reckoned to need: thousandths of a core, and Mbit/s. */
constexpr settings::VmCapacity dutyNeed { 500, 50 };

/** Delay of a candidate that offers just this need; longer than the store takes to show an owner to all. */
constexpr Duration delayAtNeed { 120 };

/** Longest delay: with the lifetime of the lease, it bounds the time without an owner after a crash. */
constexpr Duration longestDelay { 1500 };

/** @return Delay by one resource of which a VM has some. */
Duration delayBy(std::int64_t need, std::int64_t capacity, std::size_t duties)
{
    const auto share = static_cast<std::int64_t>(duties) + 1;
    return { delayAtNeed.milliseconds * share * need / std::max<std::int64_t>(1, capacity) };
}

} // namespace

VacancyDecision decideVacancy(const Candidate& candidate, Duration vacant)
{
    const auto delay = std::min(longestDelay,
        std::max(delayBy(dutyNeed.cpu, candidate.vm.cpu, candidate.duties),
            delayBy(dutyNeed.linkMbps, candidate.vm.linkMbps, candidate.duties)));
    if (vacant >= delay) {
        return TakeDuty {};
    }
    return LeaveDuty { delay - vacant };
}

} // namespace wasabiroad::agent
