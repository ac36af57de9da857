#pragma once

#include <compare>
#include <cstddef>
#include <string>

#include <boost/circular_buffer.hpp>

namespace wasabiroad::kernel {

/** @brief Lines to write at once. */
struct LineBatch {
    const std::string text {};
    /** @brief Lines that were dropped just before these. */
    const std::size_t dropped { 0 };

    friend auto operator<=>(const LineBatch&, const LineBatch&) = default;
};

/** @brief Lines that wait to be written, in order; over a bound the oldest are dropped and counted. */
class LineBuffer {
public:
    /** @param bound Lines that may wait. */
    explicit LineBuffer(std::size_t bound)
        : lines(bound)
    {
    }

    /** @param line Line with its end. */
    void push(std::string line);

    bool empty() const { return this->lines.empty(); }

    /** @return All lines that wait; they wait no longer. */
    LineBatch take();

private:
    boost::circular_buffer_space_optimized<std::string> lines;
    std::size_t dropped { 0 };
};

} // namespace wasabiroad::kernel
