#include "wasabiroad/bench/quantiles.hpp"

#include <algorithm>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace wasabiroad::bench {

namespace accumulators = boost::accumulators;

struct Quantiles::State {
    using Statistics = accumulators::stats<accumulators::tag::tail_quantile<accumulators::right>,
        accumulators::tag::mean, accumulators::tag::count>;
    accumulators::accumulator_set<double, Statistics> values;
};

Quantiles::Quantiles(const std::vector<double>& values)
    // A cache of all values makes the quantiles exact.
    : state(new State { decltype(State::values) { accumulators::tag::tail<accumulators::right>::cache_size
        = std::max<std::size_t>(1, values.size()) } })
{
    for (const auto value : values) {
        this->state->values(value);
    }
}

Quantiles::~Quantiles() = default;
Quantiles::Quantiles(Quantiles&&) noexcept = default;

double Quantiles::at(double probability) const
{
    // The library returns no quantile of fewer than two values.
    if (accumulators::count(this->state->values) < 2) {
        return mean();
    }
    return accumulators::quantile(this->state->values, accumulators::quantile_probability = probability);
}

double Quantiles::mean() const
{
    return accumulators::count(this->state->values) == 0 ? 0 : accumulators::mean(this->state->values);
}

} // namespace wasabiroad::bench
