#include "wasabiroad/bench/experiment.hpp"
#include "wasabiroad/bench/invocation.hpp"
#include "wasabiroad/bench/spread.hpp"
#include "wasabiroad/kernel/command.hpp"

#include <array>
#include <fstream>
#include <iostream>

#include <boost/filesystem/operations.hpp>
#include <spdlog/fmt/fmt.h>

namespace wasabiroad::bench {

namespace {

struct Measure {
    const std::string_view name;
    double (*const of)(const Summary&);
};

constexpr std::array measures {
    Measure { "short wait p50, ms", [](const Summary& summary) { return summary.shortWaitP50; } },
    Measure { "short wait p99, ms", [](const Summary& summary) { return summary.shortWaitP99; } },
    Measure { "long wait p99, ms", [](const Summary& summary) { return summary.longWaitP99; } },
    Measure { "long mean, ms", [](const Summary& summary) { return summary.longMean; } },
    Measure { "answered a second", [](const Summary& summary) { return summary.throughput; } },
    Measure { "refused (not-run)",
        [](const Summary& summary) { return static_cast<double>(summary.refusedTotal()); } },
    Measure { "unknown", [](const Summary& summary) { return static_cast<double>(summary.unknown); } },
    Measure {
        "broken connections", [](const Summary& summary) { return static_cast<double>(summary.broken); } },
    Measure { "lost", [](const Summary& summary) { return static_cast<double>(summary.lost); } },
    Measure { "doubled", [](const Summary& summary) { return static_cast<double>(summary.doubled); } },
    Measure { "mixed up", [](const Summary& summary) { return static_cast<double>(summary.mixedUp); } },
    Measure {
        "false not-run", [](const Summary& summary) { return static_cast<double>(summary.falseNotRun); } },
};

using Results = std::map<std::string, VariantResult>;

std::string table(const Experiment& experiment, const Results& results)
{
    std::string text = "| measure |";
    std::string rule = "|---|";
    for (const auto& variant : experiment.variants) {
        text += " " + variant.name + " |";
        rule += "---|";
    }
    text += "\n" + rule + "\n";
    for (const auto& measure : measures) {
        text += fmt::format("| {} |", measure.name);
        for (const auto& variant : experiment.variants) {
            std::vector<double> values;
            for (const auto& summary : results.at(variant.name).summaries) {
                values.push_back(measure.of(summary));
            }
            text += " " + toText(spreadOf(values)) + " |";
        }
        text += "\n";
    }
    return text;
}

struct Plot {
    const std::string_view file;
    const std::string_view title;
    const std::string_view unit;
    const std::vector<double>& (*const of)(const Timeline&);
};

using Values = const std::vector<double>&;

constexpr std::array plots {
    Plot { "waits", "p99 wait of short work", "ms",
        [](const Timeline& line) -> Values { return line.shortWaits; } },
    Plot {
        "queues", "requests queued", "requests", [](const Timeline& line) -> Values { return line.queued; } },
    Plot { "slots-short", "slots held by short work", "slots",
        [](const Timeline& line) -> Values { return line.shortSlots; } },
    Plot { "slots-long", "slots held by long work", "slots",
        [](const Timeline& line) -> Values { return line.longSlots; } },
};

/** @return Median over the repetitions for each interval. */
std::vector<double> medians(const VariantResult& result, const Plot& plot)
{
    std::vector<double> values;
    for (std::size_t index = 0; index < plot.of(result.timelines.front()).size(); ++index) {
        std::vector<double> repeated;
        for (const auto& timeline : result.timelines) {
            repeated.push_back(plot.of(timeline)[index]);
        }
        values.push_back(spreadOf(repeated).median);
    }
    return values;
}

std::string writePlots(const Experiment& experiment, const Results& results, const std::string& folder)
{
    std::string links;
    for (const auto& row : plots) {
        std::vector<Series> series;
        for (const auto& variant : experiment.variants) {
            series.emplace_back(Series { variant.name, medians(results.at(variant.name), row) });
        }
        const auto file = fmt::format("{}-{}.svg", experiment.name, row.file);
        std::ofstream { fmt::format("{}/{}", folder, file) }
            << plot(fmt::format("{}, median of the repetitions", row.title), std::string { row.unit },
                   results.begin()->second.timelines.front().interval, series);
        links += fmt::format("![{}]({})\n\n", row.title, file);
    }
    return links;
}

void writeReport(const Experiment& experiment, const Results& results, const std::string& source,
    const std::string& folder)
{
    boost::filesystem::create_directories(folder);
    std::ofstream { folder + "/" + experiment.name + ".md" }
        << "# " << experiment.name << "\n\nMade by `build/release/bin/wasabiroad-bench experiment " << source
        << "`.\n\n"
        << fmt::format("{} repetitions, variants in turn; {:.0f} requests a second for {} ms, seeds from {}; "
                       "{} daemons; "
                       "median (least to greatest).\n\n",
               experiment.repetitions, experiment.load.rate, experiment.load.length.milliseconds,
               experiment.load.seed, experiment.daemons.size())
        << table(experiment, results) << "\n"
        << writePlots(experiment, results, folder);
}

kernel::ResultCode run(int argc, const char* const* argv)
{
    cxxopts::Options options { "wasabiroad-bench experiment",
        "Runs a named experiment and writes its report." };
    options.add_options()("file", "Experiment", cxxopts::value<std::string>())(
        "reports", "Folder of the report", cxxopts::value<std::string>()->default_value("docs/reports"));
    options.parse_positional({ "file" });
    const auto arguments = options.parse(argc, argv);
    const auto source = arguments["file"].as<std::string>();
    const auto text = readFile(source);
    if (!text) {
        return reportError(text.error());
    }
    const auto experiment = readExperiment(*text);
    if (!experiment) {
        return reportError(experiment.error());
    }
    const auto results = runExperiment(*experiment);
    if (!results) {
        return reportError(results.error());
    }
    writeReport(*experiment, *results, source, arguments["reports"].as<std::string>());
    std::cout << table(*experiment, *results);
    bool correct = true;
    for (const auto& [name, result] : *results) {
        for (const auto& summary : result.summaries) {
            correct = correct && summary.correct();
        }
    }
    return correct ? kernel::ResultCode::Ok : kernel::ResultCode::OutcomeUnknown;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "experiment",
    .summary = "Runs a named experiment with its baselines in turn and writes a report with plots.",
    .example = "experiment experiments/hallbach-policies.json",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::bench
