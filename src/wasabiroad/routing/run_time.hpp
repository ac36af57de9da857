#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstdint>

namespace wasabiroad::routing {

/** @brief Run time of one operation of one service, estimated from successful attempts. */
class RunTime {
public:
    /** @brief Adds the run time of a successful attempt. */
    void observe(kernel::Duration ran);

    /** @return Whether an attempt has been observed. */
    bool known() const { return this->count > 0; }

    /** @return Mean of recent run times in ms; the declared time as long as none has been observed. */
    double estimate(kernel::Duration declared) const;

private:
    std::uint32_t count { 0 };
    double mean { 0 };
};

/** @brief Typical run time of a service, from which the threshold of long work is derived. */
class RunTimeBaseline {
public:
    /** @brief Adds a declared time; the first observed run time replaces all declared ones. */
    void declare(kernel::Duration declared);

    /** @brief Adds the run time of a successful attempt of any operation. */
    void observe(kernel::Duration ran);

    /** @return Run time in ms above which work is long. */
    double longThreshold() const { return this->threshold; }

private:
    void add(double milliseconds);

    std::uint32_t count { 0 };
    bool observed { false };
    double meanOfLogarithms { 0 };
    /** @brief Initial value in ms, for a service without any declared or observed run time. */
    double threshold { 1000 };
};

} // namespace wasabiroad::routing
