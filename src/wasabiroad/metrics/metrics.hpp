#pragma once

#include <map>
#include <memory>
#include <string>

namespace wasabiroad::metrics {

using Labels = std::map<std::string, std::string>;

/** @brief Prometheus metrics of a process; callable from any thread. */
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /** @brief Adds to a counter. */
    void count(const std::string& name, const Labels& labels, double amount = 1);

    /** @brief Sets a gauge. */
    void set(const std::string& name, const Labels& labels, double value);

    /** @brief Adds a duration in milliseconds to a histogram. */
    void observe(const std::string& name, const Labels& labels, double milliseconds);

    /** @return All metrics in the Prometheus text format. */
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace wasabiroad::metrics
