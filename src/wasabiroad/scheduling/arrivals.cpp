#include "wasabiroad/scheduling/arrivals.hpp"

#include <algorithm>
#include <iterator>

namespace wasabiroad::scheduling {

namespace {

/** Fewest jobs that are looked back on: with 8, chance makes the rate a third too high or too low. */
constexpr std::size_t leastJobs = 8;

/** Older jobs say nothing of the present rate; bursts last some seconds. */
constexpr kernel::Duration longestSpan { 2000 };

/** Jobs that come together by chance are taken as spread over this span; all jobs within it count. */
constexpr kernel::Duration shortestSpan { 300 };

} // namespace

void ArrivalRate::add(std::int64_t work, kernel::Instant at)
{
    if (this->latest.size() >= leastJobs && this->latest.back().at == at) {
        // One entry for each ms bounds the memory.
        this->latest.back().work += work;
        return;
    }
    this->latest.push_back({ at, work });
    while (this->latest.size() > leastJobs && at - this->latest.front().at > shortestSpan) {
        this->latest.pop_front();
    }
}

std::int64_t ArrivalRate::cpu(kernel::Instant now) const
{
    const auto first = std::ranges::find_if(
        this->latest, [&](const Arrival& arrival) { return now - arrival.at <= longestSpan; });
    if (first == this->latest.end()) {
        return 0;
    }
    // The span begins with the first job, so only the others came within it.
    std::int64_t work = 0;
    for (auto arrival = std::next(first); arrival != this->latest.end(); ++arrival) {
        work += arrival->work;
    }
    return work / std::max(shortestSpan, now - first->at).milliseconds;
}

} // namespace wasabiroad::scheduling
