#pragma once

#include "wasabiroad/bench/load.hpp"

namespace wasabiroad::bench {

/** @brief Values over time of one load. */
struct Series {
    const std::string name;
    /** @brief One value for each interval of equal length from the start of the load. */
    const std::vector<double> values;

    friend auto operator<=>(const Series&, const Series&) = default;
};

/** @brief What the plots of one load show. */
struct Timeline {
    /** @brief Length of an interval. */
    const kernel::Duration interval {};
    /** @brief 99th percentile of the wait of short work that was sent in the interval, in milliseconds. */
    const std::vector<double> shortWaits;
    /** @brief Requests that were sent and had not started at the end of the interval. */
    const std::vector<double> queued;
    /** @brief Slots that short and long work held at the end of the interval. */
    const std::vector<double> shortSlots;
    const std::vector<double> longSlots;
};

/** @return The values over time of an observed load. */
Timeline timelineOf(const Observations& observations, kernel::Duration length);

/** @brief Draws lines over a common axis of time. @return An SVG document. */
std::string plot(const std::string& title, const std::string& unit, kernel::Duration interval,
    const std::vector<Series>& series);

} // namespace wasabiroad::bench
