#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <compare>
#include <optional>
#include <string_view>
#include <variant>

namespace wasabiroad::agent {

/** @brief The owner of a pool may start tasks. */
struct StartsAllowed {
    friend auto operator<=>(const StartsAllowed&, const StartsAllowed&) = default;
};

/** @brief The owner of a pool may start no task, for at least one of these reasons. */
struct StartsHeld {
    /** @brief Its lease may have ended, so that another daemon may own the pool. */
    const bool leaseInvalid { false };
    /** @brief Its view of the pool may miss a cancellation. */
    const bool viewOutdated { false };

    friend auto operator<=>(const StartsHeld&, const StartsHeld&) = default;
};

using StartPermission = std::variant<StartsAllowed, StartsHeld>;

/**
 * @brief Decides whether the owner of a pool may start tasks.
 * @param leaseValid Whether no other daemon can own the pool.
 * @param viewAge Upper bound for the age of the owner's view of the pool, or nothing if it is not known.
 * @param viewAgeLimit Maximum age of the view.
 */
StartPermission decideStarts(
    bool leaseValid, std::optional<kernel::Duration> viewAge, kernel::Duration viewAgeLimit);

/** @return The reasons for logs; empty if starts are allowed. */
std::string_view reasonOf(const StartPermission& permission);

} // namespace wasabiroad::agent
