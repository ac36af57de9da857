#include "wasabiroad/standin/run_log.hpp"

#include <algorithm>
#include <chrono>

namespace wasabiroad::standin {

std::int64_t monotonicMicroseconds()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::size_t RunLog::start(const Run& run)
{
    this->starts.emplace_back(run);
    this->ends.push_back(run.ended);
    return this->starts.size() - 1;
}

std::vector<Run> RunLog::page(std::size_t from, std::size_t limit) const
{
    std::vector<Run> runs;
    const auto last = from + std::min(limit, size() - std::min(size(), from));
    for (auto number = from; number < last; ++number) {
        const auto& run = this->starts[number];
        runs.emplace_back(Run { run.request, run.attempt, run.vm, run.started, this->ends[number] });
    }
    return runs;
}

} // namespace wasabiroad::standin
