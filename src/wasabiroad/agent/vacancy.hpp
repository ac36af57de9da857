#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/settings/settings.hpp"

#include <compare>
#include <cstddef>
#include <variant>

namespace wasabiroad::agent {

/** @brief A daemon that may take a vacant duty. */
struct Candidate {
    const settings::VmCapacity vm {};
    /** @brief Duties that it holds or is about to take. */
    const std::size_t duties { 0 };

    friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

/** @brief The duty is taken now. */
struct TakeDuty {
    friend auto operator<=>(const TakeDuty&, const TakeDuty&) = default;
};

/** @brief The duty is left to candidates with more capacity for some time. */
struct LeaveDuty {
    const kernel::Duration remaining {};

    friend auto operator<=>(const LeaveDuty&, const LeaveDuty&) = default;
};

using VacancyDecision = std::variant<TakeDuty, LeaveDuty>;

/**
 * @brief Decides whether a daemon takes a vacant duty.
 *
 * Candidates do not know of each other. Each waits in inverse proportion to the capacity that the duty would
 * get from it, up to a limit, so that the one that has most to offer is the first.
 *
 * @param candidate The daemon.
 * @param vacant How long the duty has been vacant.
 * @return Whether to take the duty, or how long to leave it.
 */
VacancyDecision decideVacancy(const Candidate& candidate, kernel::Duration vacant);

} // namespace wasabiroad::agent
