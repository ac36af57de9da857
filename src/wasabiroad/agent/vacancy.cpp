#include "wasabiroad/agent/vacancy.hpp"

#include <algorithm>

namespace wasabiroad::agent {

using kernel::Duration;

namespace {

/** Estimated capacity that one duty needs: thousandths of a core, and Mbit/s. */
constexpr settings::VmCapacity capacityPerDuty { 500, 50 };

/** Delay of a candidate with `capacityPerDuty`; longer than the store takes to notify all of a new owner. */
constexpr Duration baseDelay { 120 };

/** Maximum delay; together with the lease lifetime it limits the time without an owner after a crash. */
constexpr Duration longestDelay { 1500 };

/** @return Delay for one resource, whose capacity the held duties and the new one share. */
Duration delayFor(std::int64_t need, std::int64_t capacity, std::size_t duties)
{
    const auto dutyCount = static_cast<std::int64_t>(duties) + 1;
    return { baseDelay.milliseconds * dutyCount * need / std::max<std::int64_t>(1, capacity) };
}

} // namespace

VacancyDecision decideVacancy(const Candidate& candidate, Duration vacant)
{
    const auto delay = std::min(longestDelay,
        std::max(delayFor(capacityPerDuty.cpu, candidate.vm.cpu, candidate.duties),
            delayFor(capacityPerDuty.linkMbps, candidate.vm.linkMbps, candidate.duties)));
    if (vacant >= delay) {
        return TakeDuty {};
    }
    return DeferDuty { delay - vacant };
}

} // namespace wasabiroad::agent
