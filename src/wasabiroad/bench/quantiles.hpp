#pragma once

#include <memory>
#include <vector>

namespace wasabiroad::bench {

/** @brief Exact quantiles of a set of values. */
class Quantiles {
public:
    explicit Quantiles(const std::vector<double>& values);
    ~Quantiles();
    Quantiles(Quantiles&&) noexcept;
    Quantiles& operator=(Quantiles&&) = delete;

    /** @param probability Over 0 and at most 1. @return The quantile; 0 when there are no values. */
    double at(double probability) const;

    double mean() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace wasabiroad::bench
