#include "wasabiroad/bench/report.hpp"

#include <iostream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <spdlog/fmt/fmt.h>

namespace wasabiroad::bench {

boost::json::value toJson(const Summary& summary)
{
    boost::json::object refused;
    for (const auto& [code, count] : summary.refused) {
        refused[std::to_string(code)] = count;
    }
    return {
        { "sent", summary.sent },
        { "answered", summary.answered },
        { "failed", summary.failed },
        { "refused-not-run", summary.refusedTotal() },
        { "refused-by-code", std::move(refused) },
        { "unknown", summary.unknown },
        { "broken-connections", summary.broken },
        { "lost", summary.lost },
        { "doubled", summary.doubled },
        { "mixed-up", summary.mixedUp },
        { "false-not-run", summary.falseNotRun },
        { "short-wait-p50-ms", summary.shortWaitP50 },
        { "short-wait-p99-ms", summary.shortWaitP99 },
        { "long-wait-p50-ms", summary.longWaitP50 },
        { "long-wait-p99-ms", summary.longWaitP99 },
        { "long-mean-ms", summary.longMean },
        { "throughput-per-s", summary.throughput },
        { "correct", summary.correct() },
    };
}

std::string toMarkdown(const Summary& summary)
{
    std::string table = "| measure | value |\n|---|---|\n";
    const auto document = toJson(summary);
    for (const auto& member : document.as_object()) {
        const auto& value = member.value();
        const auto text = value.is_double() ? rounded(value.as_double()) : boost::json::serialize(value);
        table += fmt::format("| {} | {} |\n", std::string { member.key() }, text);
    }
    return table;
}

std::string rounded(double value) { return fmt::format("{:.2f}", value); }

void printProgress(const Progress& progress)
{
    constexpr double millisecondsPerSecond = 1000;
    std::cerr << fmt::format("{:6.1f} s: {} requests sent, {} ended, {} in flight\n",
        static_cast<double>(progress.elapsed.milliseconds) / millisecondsPerSecond, progress.sent,
        progress.ended, progress.sent - progress.ended);
}

} // namespace wasabiroad::bench
