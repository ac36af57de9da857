#include "wasabiroad/routing/run_time.hpp"

#include <algorithm>
#include <cmath>

namespace wasabiroad::routing {

namespace {

/** The mean follows a change of an operation's run times within about as many attempts. */
constexpr std::uint32_t estimateWindow = 32;

/** The baseline mixes all operations of a service, so it takes more attempts to settle. */
constexpr std::uint32_t baselineWindow = 512;

/**
 * Work is long above this multiple of the geometric mean. A twentieth of requests that run 50 times as
 * long raise that mean by a fifth only; half of them raise it by seven, and they still count as long.
 */
constexpr double longFactor = 4;

/** Run times below the clock's resolution count as half a tick. */
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
