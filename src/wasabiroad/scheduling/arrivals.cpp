#include "wasabiroad/scheduling/arrivals.hpp"

#include <algorithm>
#include <iterator>

namespace wasabiroad::scheduling {

namespace {

/** Minimum number of latest jobs to keep; with 8, random variation makes the rate a third too high or too
 * low. */
constexpr std::size_t minJobs = 8;

/** Older jobs do not count towards the current rate; bursts last a few seconds. */
constexpr kernel::Duration maxSpan { 2000 };

/** Minimum span of the rate: jobs that coincide by chance count as spread over it. All jobs within it are
 * kept. */
constexpr kernel::Duration minSpan { 300 };

} // namespace

void ArrivalRate::add(std::int64_t work, kernel::Instant at)
{
    if (this->recent.size() >= minJobs && this->recent.back().at == at) {
        // One entry per millisecond bounds the memory.
        this->recent.back().work += work;
        return;
    }
    this->recent.push_back({ at, work });
    while (this->recent.size() > minJobs && at - this->recent.front().at > minSpan) {
        this->recent.pop_front();
    }
}

std::int64_t ArrivalRate::cpu(kernel::Instant now) const
{
    const auto first = std::ranges::find_if(
        this->recent, [&](const Arrival& arrival) { return now - arrival.at <= maxSpan; });
    if (first == this->recent.end()) {
        return 0;
    }
    // The span begins with the arrival of the first job, so its work is not counted.
    std::int64_t work = 0;
    for (auto arrival = std::next(first); arrival != this->recent.end(); ++arrival) {
        work += arrival->work;
    }
    return work / std::max(minSpan, now - first->at).milliseconds;
}

} // namespace wasabiroad::scheduling
