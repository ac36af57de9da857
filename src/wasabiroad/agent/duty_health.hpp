#pragma once

#include <compare>
#include <string>
#include <variant>

namespace wasabiroad::agent {

/** @brief The duty makes progress. */
struct DutyWorking {
    friend auto operator<=>(const DutyWorking&, const DutyWorking&) = default;
};

/** @brief The duty makes no progress at present, and may recover by itself. */
struct DutyHindered {
    const std::string reason {};

    friend auto operator<=>(const DutyHindered&, const DutyHindered&) = default;
};

/** @brief Nothing carries the duty out any more in this term. */
struct DutyEnded {
    const std::string reason {};

    friend auto operator<=>(const DutyEnded&, const DutyEnded&) = default;
};

using DutyHealth = std::variant<DutyWorking, DutyHindered, DutyEnded>;

} // namespace wasabiroad::agent
