#include "wasabiroad/bench/spread.hpp"

#include "wasabiroad/bench/report.hpp"

#include <algorithm>

namespace wasabiroad::bench {

Spread spreadOf(const std::vector<double>& values)
{
    if (values.empty()) {
        return {};
    }
    auto sorted = values;
    std::ranges::sort(sorted);
    const auto middle = sorted.size() / 2;
    const auto median = sorted.size() % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    return { median, sorted.front(), sorted.back() };
}

std::string toText(const Spread& spread)
{
    return rounded(spread.median) + " (" + rounded(spread.least) + " to " + rounded(spread.greatest) + ")";
}

} // namespace wasabiroad::bench
