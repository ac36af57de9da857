#include "wasabiroad/scheduling/arrivals.hpp"

#include <algorithm>
#include <iterator>

namespace wasabiroad::scheduling {

namespace {

/** Fewest jobs that are looked back on: with 8, chance makes the rate a third too high or too low. */
constexpr std::size_t minJobs = 8;

/** Older jobs say nothing of the present rate; bursts last some seconds. */
constexpr kernel::Duration maxSpan { 2000 };

/** Jobs that come together by chance are taken as spread over this span; all jobs within it count. */
constexpr kernel::Duration minSpan { 300 };

} // namespace

void ArrivalRate::add(std::int64_t work, kernel::Instant at)
{
    if (this->recent.size() >= minJobs && this->recent.back().at == at) {
        // One entry for each ms bounds the memory.
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
    // The span begins with the first job, so only the others came within it.
    std::int64_t work = 0;
    for (auto arrival = std::next(first); arrival != this->recent.end(); ++arrival) {
        work += arrival->work;
    }
    return work / std::max(minSpan, now - first->at).milliseconds;
}

} // namespace wasabiroad::scheduling
