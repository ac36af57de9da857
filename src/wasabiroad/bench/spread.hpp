#pragma once

#include <compare>
#include <string>
#include <vector>

namespace wasabiroad::bench {

/** @brief Median and range of repeated measurements. */
struct Spread {
    const double median { 0 };
    const double least { 0 };
    const double greatest { 0 };

    friend auto operator<=>(const Spread&, const Spread&) = default;
};

/** @return Median, least and greatest value; zeros when there are none. */
Spread spreadOf(const std::vector<double>& values);

/** @return Text such as `1.20 (1.10 to 1.30)`. */
std::string toText(const Spread& spread);

} // namespace wasabiroad::bench
