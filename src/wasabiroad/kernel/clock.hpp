#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <variant>

namespace wasabiroad::kernel {

/** @brief A length of time in milliseconds. */
struct Duration {
    std::int64_t milliseconds { 0 };

    friend constexpr auto operator<=>(const Duration&, const Duration&) = default;
    friend constexpr Duration operator+(Duration left, Duration right)
    {
        return { left.milliseconds + right.milliseconds };
    }
    friend constexpr Duration operator-(Duration left, Duration right)
    {
        return { left.milliseconds - right.milliseconds };
    }
    friend constexpr Duration operator*(Duration left, std::int64_t factor)
    {
        return { left.milliseconds * factor };
    }

    /** @return The same length for interfaces of the standard library and of Asio. */
    constexpr std::chrono::milliseconds chrono() const
    {
        return std::chrono::milliseconds { this->milliseconds };
    }
};

/** @brief A point in time in milliseconds since an epoch that the clock defines. */
struct Instant {
    std::int64_t milliseconds { 0 };

    friend constexpr auto operator<=>(const Instant&, const Instant&) = default;
    friend constexpr Instant operator+(Instant instant, Duration duration)
    {
        return { instant.milliseconds + duration.milliseconds };
    }
    friend constexpr Instant operator-(Instant instant, Duration duration)
    {
        return { instant.milliseconds - duration.milliseconds };
    }
    friend constexpr Duration operator-(Instant left, Instant right)
    {
        return { left.milliseconds - right.milliseconds };
    }
};

/** @brief Reads the monotonic clock of the machine. */
struct SteadyClock { };

/** @brief Reads the monotonic clock that also counts the time while the machine is suspended. */
struct BootClock { };

/** @brief Reads the wall clock of the machine, for values that several VMs compare. */
struct WallClock { };

/** @brief Returns a fixed instant, for tests and replays. */
struct ManualClock {
    const Instant instant {};
};

using Clock = std::variant<SteadyClock, BootClock, WallClock, ManualClock>;

/**
 * @brief Reads a clock.
 * @param clock Clock to read.
 * @return The current instant of that clock.
 */
Instant now(const Clock& clock);

/** @return The current instant of `BootClock`, by which leases are judged. */
Instant bootNow();

} // namespace wasabiroad::kernel
