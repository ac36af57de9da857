#pragma once

#include <map>
#include <memory>
#include <string>

namespace prometheus {

class Counter;
class Histogram;

} // namespace prometheus

namespace wasabiroad::metrics {

using Labels = std::map<std::string, std::string>;

/** @brief Handle of a counter; it spares the look-up by name and labels. Valid while its `Metrics` lives. */
class Counter {
public:
    explicit Counter(prometheus::Counter& counter)
        : target(&counter)
    {
    }

    void increment(double amount = 1);

private:
    prometheus::Counter* target;
};

/** @brief Handle of a histogram of durations. Valid while its `Metrics` lives. */
class Histogram {
public:
    explicit Histogram(prometheus::Histogram& histogram)
        : target(&histogram)
    {
    }

    void observe(double milliseconds);

private:
    prometheus::Histogram* target;
};

/** @brief Prometheus metrics of a process; callable from any thread. */
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /** @return Handle of a counter, for paths that each request takes. */
    Counter counter(const std::string& name, const Labels& labels);

    /** @return Handle of a histogram of durations. */
    Histogram histogram(const std::string& name, const Labels& labels);

    /** @brief Adds to a counter. */
    void count(const std::string& name, const Labels& labels, double amount = 1);

    /** @brief Sets a gauge. */
    void set(const std::string& name, const Labels& labels, double value);

    /** @return All metrics in the Prometheus text format. */
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace wasabiroad::metrics
