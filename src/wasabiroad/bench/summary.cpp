#include "wasabiroad/bench/summary.hpp"

#include "wasabiroad/bench/quantiles.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace wasabiroad::bench {

namespace {

constexpr double microsecondsPerMillisecond = 1000;
constexpr unsigned firstServerError = 500;

struct RunsOfRequest {
    std::uint64_t count { 0 };
    std::int64_t firstStart { 0 };
};

using RunsByRequest = std::unordered_map<std::string_view, RunsOfRequest>;

RunsByRequest index(const std::vector<UpstreamRun>& runs)
{
    RunsByRequest byRequest;
    byRequest.reserve(runs.size());
    for (const auto& run : runs) {
        auto& found = byRequest[run.request];
        found.firstStart = found.count == 0 ? run.started : std::min(found.firstStart, run.started);
        ++found.count;
    }
    return byRequest;
}

struct Counts {
    std::uint64_t answered { 0 };
    std::uint64_t failed { 0 };
    std::map<unsigned, std::uint64_t> refused {};
    std::uint64_t unknown { 0 };
    std::uint64_t broken { 0 };
    std::uint64_t lost { 0 };
    std::uint64_t doubled { 0 };
    std::uint64_t mixedUp { 0 };
    std::uint64_t falseNotRun { 0 };
    std::vector<double> shortWaits {};
    std::vector<double> longWaits {};
    std::vector<double> longTimes {};

    void addAnswer(const Record& record, const RunsOfRequest& runs, unsigned status)
    {
        ++this->answered;
        this->failed += status >= firstServerError ? 1U : 0U;
        if (runs.count == 0) {
            ++this->mixedUp;
            return;
        }
        const auto wait = static_cast<double>(runs.firstStart - record.intended) / microsecondsPerMillisecond;
        (record.isLong ? this->longWaits : this->shortWaits).push_back(wait);
        if (record.isLong) {
            this->longTimes.push_back(
                static_cast<double>(record.ended - record.intended) / microsecondsPerMillisecond);
        }
    }

    void add(const Record& record, const RunsOfRequest& runs)
    {
        this->doubled += !record.idempotent && runs.count > 1 ? 1U : 0U;
        std::visit(kernel::Overloaded {
                       [&](const Answered& result) { addAnswer(record, runs, result.status); },
                       [&](const Refused& result) {
                           ++this->refused[result.code];
                           this->falseNotRun += runs.count > 0 ? 1U : 0U;
                       },
                       [&](const Unknown&) { ++this->unknown; },
                       [&](const Broken&) { ++this->broken; },
                       [&](const Lost&) { ++this->lost; },
                       [&](const MixedUp&) { ++this->mixedUp; },
                   },
            record.result);
    }
};

} // namespace

std::uint64_t Summary::refusedTotal() const
{
    std::uint64_t total = 0;
    for (const auto& [code, count] : this->refused) {
        total += count;
    }
    return total;
}

Summary summarise(
    const std::vector<Record>& records, const std::vector<UpstreamRun>& runs, kernel::Duration length)
{
    const auto byRequest = index(runs);
    Counts counts;
    for (const auto& record : records) {
        const auto found = byRequest.find(record.request);
        counts.add(record, found == byRequest.end() ? RunsOfRequest {} : found->second);
    }
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    constexpr double millisecondsPerSecond = 1000;
    const Quantiles shortWaits { counts.shortWaits };
    const Quantiles longWaits { counts.longWaits };
    return Summary {
        .sent = records.size(),
        .answered = counts.answered,
        .failed = counts.failed,
        .refused = counts.refused,
        .unknown = counts.unknown,
        .broken = counts.broken,
        .lost = counts.lost,
        .doubled = counts.doubled,
        .mixedUp = counts.mixedUp,
        .falseNotRun = counts.falseNotRun,
        .shortWaitP50 = shortWaits.at(median),
        .shortWaitP99 = shortWaits.at(tail),
        .longWaitP50 = longWaits.at(median),
        .longWaitP99 = longWaits.at(tail),
        .longMean = Quantiles { counts.longTimes }.mean(),
        .throughput = static_cast<double>(counts.answered) * millisecondsPerSecond
            / static_cast<double>(std::max<std::int64_t>(1, length.milliseconds)),
    };
}

} // namespace wasabiroad::bench
