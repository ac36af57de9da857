#include "wasabiroad/bench/series.hpp"

#include "wasabiroad/bench/quantiles.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <unordered_map>

#include <spdlog/fmt/fmt.h>

namespace wasabiroad::bench {

namespace {

constexpr std::size_t intervals = 100;
constexpr double microsecondsPerMillisecond = 1000;

/** Adds 1 to each interval whose end lies between two times. */
void addSpan(std::vector<double>& values, std::int64_t from, std::int64_t to, std::int64_t interval)
{
    const auto first = std::max<std::int64_t>(0, from / interval);
    const auto last = std::min<std::int64_t>(static_cast<std::int64_t>(values.size()), to / interval);
    for (auto index = first; index < last; ++index) {
        ++values[static_cast<std::size_t>(index)];
    }
}

constexpr std::array<std::string_view, 6> colours { "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e",
    "#17becf" };

constexpr double width = 760;
constexpr double height = 260;
constexpr double margin = 50;
constexpr double legendHeight = 18;

std::string polyline(const Series& series, double greatest, std::size_t number)
{
    std::string points;
    for (std::size_t index = 0; index < series.values.size(); ++index) {
        const auto x = margin
            + (width - 2 * margin) * static_cast<double>(index) / static_cast<double>(series.values.size());
        const auto y = height - margin - (height - 2 * margin) * series.values[index] / greatest;
        points += fmt::format("{:.1f},{:.1f} ", x, y);
    }
    const auto colour = colours.at(number % colours.size());
    return fmt::format("<polyline fill=\"none\" stroke=\"{0}\" stroke-width=\"1.5\" points=\"{1}\"/>\n"
                       "<text x=\"{2}\" y=\"{3}\" fill=\"{0}\">{4}</text>\n",
        colour, points, margin, height + legendHeight * static_cast<double>(number), series.name);
}

} // namespace

Timeline timelineOf(const Observations& observations, kernel::Duration length)
{
    const kernel::Duration interval { std::max<std::int64_t>(
        1, length.milliseconds / static_cast<std::int64_t>(intervals)) };
    const std::int64_t step = interval.chrono() / std::chrono::microseconds { 1 };
    std::unordered_map<std::string_view, const UpstreamRun*> runs;
    for (const auto& run : observations.runs) {
        runs.emplace(run.request, &run);
    }
    std::int64_t begin = 0;
    for (const auto& record : observations.records) {
        begin = begin == 0 ? record.intended : std::min(begin, record.intended);
    }
    std::vector<std::vector<double>> waits(intervals);
    std::vector<double> queued(intervals);
    std::vector<double> shortSlots(intervals);
    std::vector<double> longSlots(intervals);
    for (const auto& record : observations.records) {
        const auto found = runs.find(record.request);
        const auto intended = record.intended - begin;
        if (found == runs.end()) {
            addSpan(queued, intended, record.ended - begin, step);
            continue;
        }
        const auto started = found->second->started - begin;
        const auto ended = found->second->ended == 0 ? record.ended : found->second->ended;
        addSpan(queued, intended, started, step);
        addSpan(record.isLong ? longSlots : shortSlots, started, ended - begin, step);
        const auto index = static_cast<std::size_t>(intended / step);
        if (!record.isLong && index < intervals) {
            waits[index].push_back(static_cast<double>(started - intended) / microsecondsPerMillisecond);
        }
    }
    constexpr double tail = 0.99;
    std::vector<double> shortWaits;
    shortWaits.reserve(intervals);
    for (const auto& values : waits) {
        shortWaits.push_back(Quantiles { values }.at(tail));
    }
    return { interval, std::move(shortWaits), std::move(queued), std::move(shortSlots),
        std::move(longSlots) };
}

std::string plot(const std::string& title, const std::string& unit, kernel::Duration interval,
    const std::vector<Series>& series)
{
    double greatest = 1;
    std::size_t count = 0;
    for (const auto& line : series) {
        for (const auto value : line.values) {
            greatest = std::max(greatest, value);
        }
        count = std::max(count, line.values.size());
    }
    constexpr double millisecondsPerSecond = 1000;
    const auto seconds
        = static_cast<double>(interval.milliseconds) * static_cast<double>(count) / millisecondsPerSecond;
    auto document = fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" font-family=\"sans-serif\" "
        "font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        "<text x=\"{2}\" y=\"20\" font-size=\"14\">{3}</text>\n"
        "<path d=\"M{2} {2} V{4} H{5}\" fill=\"none\" stroke=\"black\"/>\n"
        "<text x=\"{2}\" y=\"42\">{6:.0f} {7}</text>\n<text x=\"{5}\" y=\"{8}\" text-anchor=\"end\">{9:.0f} "
        "s</text>\n",
        width, height + legendHeight * static_cast<double>(series.size()), margin, title, height - margin,
        width - margin, greatest, unit, height - margin + legendHeight, seconds);
    for (std::size_t number = 0; number < series.size(); ++number) {
        document += polyline(series[number], greatest, number);
    }
    return document + "</svg>\n";
}

} // namespace wasabiroad::bench
