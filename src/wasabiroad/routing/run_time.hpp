#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstdint>

namespace wasabiroad::routing {

/** @brief Run time of one operation of one service, learned from finished attempts. */
class RunTime {
public:
    /** @brief Adds the run time of an attempt that succeeded. */
    void observe(kernel::Duration ran);

    /** @return Whether an attempt has been observed. */
    bool known() const { return this->count > 0; }

    /** @return Mean of recent run times, or the declared time while nothing is known. */
    double estimate(kernel::Duration declared) const;

private:
    std::uint32_t count { 0 };
    double mean { 0 };
};

/** @brief Typical run time of a service, against which a request counts as long. */
class RunTimeBaseline {
public:
    /** @brief Adds a declared time, used until a run time has been observed. */
    void declare(kernel::Duration declared);

    /** @brief Adds the run time of a finished attempt of any operation. */
    void observe(kernel::Duration ran);

    /** @return Run time in ms above which work is long. */
    double longThreshold() const { return this->threshold; }

private:
    void add(double milliseconds);

    std::uint32_t count { 0 };
    bool observed { false };
    double meanOfLogarithms { 0 };
    /** @brief Long threshold of a service without any declared or observed run time. */
    double threshold { 1000 };
};

} // namespace wasabiroad::routing
