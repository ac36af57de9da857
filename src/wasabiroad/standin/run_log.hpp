#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabiroad::standin {

/** @brief One request that an upstream ran; times are of the machine's monotonic clock in microseconds. */
struct Run {
    const std::string request;
    const std::string attempt;
    const std::string vm;
    const std::int64_t started { 0 };
    /** @brief End of the run; 0 while it lasts. */
    const std::int64_t ended { 0 };

    friend auto operator<=>(const Run&, const Run&) = default;
};

/** @return Microseconds of the monotonic clock, which all processes of a machine share. */
std::int64_t monotonicMicroseconds();

/** @brief Record of all runs, from which lost, doubled and mixed-up requests are counted. */
class RunLog {
public:
    /** @brief Records the start of a run. @return Its number. */
    std::size_t start(const Run& run);

    /** @brief Records the end of a run. */
    void end(std::size_t number, std::int64_t ended) { this->ends.at(number) = ended; }

    std::size_t size() const { return this->starts.size(); }

    /** @return At most `limit` runs from number `from` on. */
    std::vector<Run> page(std::size_t from, std::size_t limit) const;

private:
    std::vector<Run> starts {};
    std::vector<std::int64_t> ends {};
};

} // namespace wasabiroad::standin
