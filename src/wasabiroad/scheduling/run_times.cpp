#include "wasabiroad/scheduling/run_times.hpp"

#include <algorithm>
#include <cmath>

namespace wasabiroad::scheduling {

namespace {

/** Factor on the weight of older steps with each new one; about the last 50 steps count. */
constexpr double decay = 0.98;

/** Minimum weight of the steps for a fit; below it, the estimate is used unchanged. */
constexpr double minSteps = 4;

/** Slope assumed until there are enough steps: half of the deviation of an estimate from the mean counts. */
constexpr double priorSlope = 0.5;

/** Weight of the prior slope, as a sum of squares: four steps whose estimates are off by a factor of two. */
constexpr double priorSquares = 2.0;

double logOf(kernel::Duration time)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(time.milliseconds, 1)));
}

} // namespace

void RunTimes::observe(const jobs::QueueId& queue, kernel::Duration declared, kernel::Duration actual)
{
    auto& sums = this->queues[queue];
    const auto x = logOf(declared);
    const auto y = logOf(actual);
    sums.weight = sums.weight * decay + 1;
    sums.declared = sums.declared * decay + x;
    sums.actual = sums.actual * decay + y;
    sums.declaredSquared = sums.declaredSquared * decay + x * x;
    sums.product = sums.product * decay + x * y;
}

kernel::Duration RunTimes::expected(const jobs::QueueId& queue, kernel::Duration declared) const
{
    const auto found = this->queues.find(queue);
    if (found == this->queues.end() || found->second.weight < minSteps) {
        return declared;
    }
    const auto& sums = found->second;
    const auto meanDeclared = sums.declared / sums.weight;
    const auto meanActual = sums.actual / sums.weight;
    const auto squares = sums.declaredSquared - sums.weight * meanDeclared * meanDeclared;
    const auto products = sums.product - sums.weight * meanDeclared * meanActual;
    const auto slope
        = std::clamp((products + priorSquares * priorSlope) / (squares + priorSquares), 0.0, 1.0);
    return { std::llround(std::exp(meanActual + slope * (logOf(declared) - meanDeclared))) };
}

} // namespace wasabiroad::scheduling
