#include "wasabiroad/routing/run_time.hpp"

#include <algorithm>
#include <cmath>

namespace wasabiroad::routing {

namespace {

/** Averaging window in attempts: the mean follows a change of run times within about this many. */
constexpr std::uint32_t estimateWindow = 32;

/** Larger than `estimateWindow`, because the run times of all operations of a service are mixed. */
constexpr std::uint32_t baselineWindow = 512;

/**
 * Work is long above this multiple of the geometric mean. If 5% of the requests run 50 times as long as the
 * others, that mean rises by a fifth only; if 50% do, it rises by a factor of seven, and they still count as
 * long.
 */
constexpr double longFactor = 4;

/** Run times below the clock's resolution of 1 ms count as half of it. */
constexpr double minRunTimeMs = 0.5;

double milliseconds(kernel::Duration duration)
{
    return std::max(minRunTimeMs, static_cast<double>(duration.milliseconds));
}

} // namespace

void RunTime::observe(kernel::Duration ran)
{
    this->count = std::min(this->count + 1, estimateWindow);
    this->mean += (milliseconds(ran) - this->mean) / this->count;
}

double RunTime::estimate(kernel::Duration declared) const
{
    return known() ? this->mean : milliseconds(declared);
}

void RunTimeBaseline::declare(kernel::Duration declared)
{
    if (!this->observed && declared.milliseconds > 0) {
        add(milliseconds(declared));
    }
}

void RunTimeBaseline::observe(kernel::Duration ran)
{
    if (!this->observed) {
        this->observed = true;
        this->count = 0;
    }
    add(milliseconds(ran));
}

void RunTimeBaseline::add(double milliseconds)
{
    this->count = std::min(this->count + 1, baselineWindow);
    this->meanOfLogarithms += (std::log(milliseconds) - this->meanOfLogarithms) / this->count;
    this->threshold = longFactor * std::exp(this->meanOfLogarithms);
}

} // namespace wasabiroad::routing
