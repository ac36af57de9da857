#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/settings/settings.hpp"

#include <compare>
#include <cstddef>
#include <variant>

namespace wasabiroad::agent {

/** @brief A daemon that competes for a vacant duty. */
struct Candidate {
    const settings::VmCapacity vm {};
    /** @brief Number of duties that it holds or is about to take. */
    const std::size_t duties { 0 };

    friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

/** @brief Take the duty now. */
struct TakeDuty {
    friend auto operator<=>(const TakeDuty&, const TakeDuty&) = default;
};

/** @brief Leave the duty to candidates with more capacity for the remaining time. */
struct DeferDuty {
    const kernel::Duration remaining {};

    friend auto operator<=>(const DeferDuty&, const DeferDuty&) = default;
};

using VacancyDecision = std::variant<TakeDuty, DeferDuty>;

/**
 * @brief Decides whether a daemon takes a vacant duty.
 *
 * Candidates do not communicate. Each waits for a delay in inverse proportion to the capacity that it could
 * give the duty, up to a limit, so the candidate with the most capacity takes the duty first.
 *
 * @param candidate The daemon.
 * @param vacant Time since the duty became vacant.
 * @return Whether to take the duty now, or how long to wait.
 */
VacancyDecision decideVacancy(const Candidate& candidate, kernel::Duration vacant);

} // namespace wasabiroad::agent
