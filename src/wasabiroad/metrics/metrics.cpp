#include "wasabiroad/metrics/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace wasabiroad::metrics {

namespace {

const prometheus::Histogram::BucketBoundaries& bucketsInMilliseconds()
{
    static const prometheus::Histogram::BucketBoundaries buckets { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000,
        2000, 5000, 10000, 30000 };
    return buckets;
}

} // namespace

struct Metrics::State {
    prometheus::Registry registry;
};

Metrics::Metrics()
    : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Counter::increment(double amount) { this->target->Increment(amount); }

void Histogram::observe(double milliseconds) { this->target->Observe(milliseconds); }

Counter Metrics::counter(const std::string& name, const Labels& labels)
{
    return Counter { prometheus::BuildCounter().Name(name).Register(this->state->registry).Add(labels) };
}

Histogram Metrics::histogram(const std::string& name, const Labels& labels)
{
    return Histogram { prometheus::BuildHistogram()
                           .Name(name)
                           .Register(this->state->registry)
                           .Add(labels, bucketsInMilliseconds()) };
}

void Metrics::count(const std::string& name, const Labels& labels, double amount)
{
    counter(name, labels).increment(amount);
}

void Metrics::set(const std::string& name, const Labels& labels, double value)
{
    prometheus::BuildGauge().Name(name).Register(this->state->registry).Add(labels).Set(value);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer {}.Serialize(this->state->registry.Collect());
}

} // namespace wasabiroad::metrics
