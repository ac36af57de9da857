#pragma once

#include "wasabiroad/model/identifier.hpp"

namespace wasabiroad::model {

/** @brief A team with a quota. */
struct Team {
    const TeamId id;
    /** @brief Slots that the team may hold at once in the whole site. */
    const std::uint32_t quota { 0 };

    friend auto operator<=>(const Team&, const Team&) = default;
};

} // namespace wasabiroad::model
