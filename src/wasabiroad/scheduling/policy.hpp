#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstddef>

namespace wasabiroad::scheduling {

/** @brief Limits and weights of a pool scheduler. */
struct Policy {
    /** @brief Longest time that a task runs on after the last call that could renew its lease, on our clock.
     */
    const kernel::Duration maxLeaseDuration { 6500 };
    /** @brief Tasks of an upstream that has not listed them for longer count as away: their lease may soon
     * end.
     */
    const kernel::Duration taskListMaxAge { 2000 };
    /** @brief Tasks that a former owner may have started are lost after this time without a sign of them. */
    const kernel::Duration takeoverTimeout { 11000 };
    /** @brief Time that an upstream in maintenance drain may take for its tasks before they are stopped. */
    const kernel::Duration drainTimeout { 5000 };
    /** @brief A task whose progress stands still for this long is stopped and started elsewhere. */
    const kernel::Duration stallTimeout { 3000 };
    /** @brief A long-running task that is not at work after this time is started elsewhere. */
    const kernel::Duration startupTimeout { 6000 };
    /** @brief Time for which a suspect upstream gets no new tasks; each further suspicion doubles it. */
    const kernel::Duration suspectDuration { 2000 };
    /** @brief Delay before a task is tried again after a refused start. */
    const kernel::Duration refusalRetryDelay { 200 };
    /** @brief Interval of repeated stop orders without an answer. */
    const kernel::Duration stopRetryInterval { 1000 };
    /** @brief Interval between two raises of the pace of a filler task. */
    const kernel::Duration paceRaiseInterval { 1500 };

    /**
     * @brief Starts of the pool that may be without an answer at once; the others wait and keep their order.
     *
     * A start takes less than 1 KB: on a link of 10 Mbit/s as many are sent within a quarter of the time-out
     * of an order.
     */
    const std::size_t maxStartsInFlight { 256 };
    /** @brief The same on one upstream, whose connection carries one order after another. */
    const std::size_t maxStartsInFlightPerUpstream { 16 };

    friend auto operator<=>(const Policy&, const Policy&) = default;
};

} // namespace wasabiroad::scheduling
