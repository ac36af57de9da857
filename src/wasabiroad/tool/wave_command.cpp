#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/tool/fleet_access.hpp"
#include "wasabiroad/tool/wait.hpp"

#include <algorithm>
#include <map>

namespace wasabiroad::tool {

namespace {

using kernel::ResultCode;

constexpr const char* summary = "Starts, pauses, resumes, aborts or shows a maintenance wave.";

const std::map<std::string, fleet::WaveCommand> commands {
    { "start", fleet::StartWave {} },
    { "pause", fleet::PauseWave {} },
    { "resume", fleet::ResumeWave {} },
    { "abort", fleet::AbortWave {} },
};

/** @brief Progress of a wave with the decision for each pending VM. */
struct WaveView {
    const fleet::WaveProgress progress {};
    const std::vector<fleet::WaveChoice> choices {};
};

/** Plans with the progress that a command makes, so that a dry run shows its first VMs. */
platform::Result<WaveView> view(
    platform::Store store, model::WaveId id, std::optional<fleet::WaveProgress> changed)
{
    const auto inForce = co_await readManifest(store);
    if (!inForce) {
        co_return tl::unexpected(inForce.error());
    }
    const auto wave = fleet::findWave(inForce->manifest, id);
    if (!wave) {
        co_return tl::unexpected(wave.error());
    }
    const auto stored = co_await maintenance::readProgress(store, id);
    if (!stored) {
        co_return tl::unexpected(stored.error());
    }
    const auto ledgers = co_await readLedgers(store);
    if (!ledgers) {
        co_return tl::unexpected(ledgers.error());
    }
    const auto& progress = changed ? *changed : stored->document;
    const fleet::VersionedManifest plan { inForce->manifest, inForce->generation };
    const auto now = kernel::now(kernel::Clock { kernel::WallClock {} });
    const WaveView result { progress, fleet::planWave(plan, **wave, progress, *ledgers, {}, now) };
    co_return result;
}

boost::json::array toJson(const std::vector<fleet::WaveChoice>& choices)
{
    boost::json::array list;
    for (const auto& choice : choices) {
        list.push_back(std::visit(
            kernel::Overloaded {
                [&](const fleet::StartNow&) {
                    return boost::json::object { { "vm", choice.vm.text() }, { "decision", "start" } };
                },
                [&](const fleet::Wait& wait) {
                    return boost::json::object { { "vm", choice.vm.text() }, { "decision", "wait" },
                        { "reason", fleet::name(wait.reason) }, { "detail", wait.detail } };
                },
            },
            choice.decision));
    }
    return list;
}

ResultCode print(OutputFormat format, const WaveView& view, bool dryRun)
{
    const auto& progress = view.progress;
    printObject(format,
        { { "wave", progress.wave.text() }, { "run", progress.run }, { "phase", fleet::name(progress.phase) },
            { "active", progress.active.size() }, { "done", progress.done.size() },
            { "failed", progress.failed.size() }, { "dry-run", dryRun },
            { "pending", toJson(view.choices) } });
    return ResultCode::Ok;
}

/** A start is refused when the budgets allow none of the wave's VMs to be stopped. */
std::optional<kernel::Error> forbidden(const std::string& action, const WaveView& view)
{
    const auto isForbidden = [](const auto& choice) {
        const auto* const wait = std::get_if<fleet::Wait>(&choice.decision);
        return wait != nullptr
            && (wait->reason == fleet::WaitReason::Budget || wait->reason == fleet::WaitReason::NotServing);
    };
    if (action != "start" || view.choices.empty() || !std::ranges::all_of(view.choices, isForbidden)) {
        return std::nullopt;
    }
    const auto& wait = std::get<fleet::Wait>(view.choices.front().decision);
    return kernel::Error { ResultCode::BudgetExhausted, view.choices.front().vm.text(), wait.detail,
        "a VM of the wave that may be stopped" };
}

ResultCode execute(const Invocation& invocation, const platform::Store& store, const std::string& action)
{
    const auto format = invocation.format();
    const model::WaveId wave { invocation.text("name") };
    const auto command = commands.find(action);
    if (action == "show") {
        const auto shown = wait(view(store, wave, std::nullopt));
        return shown ? print(format, *shown, false) : printErrors(format, { shown.error() });
    }
    if (command == commands.end()) {
        return printErrors(format,
            { { ResultCode::InvalidArguments, "action", action, "start, pause, resume, abort or show" } });
    }
    const auto planned = wait(changeWave(store, wave, command->second, true));
    if (!planned) {
        return printErrors(format, { planned.error() });
    }
    const auto preview = wait(view(store, wave, *planned));
    if (!preview) {
        return printErrors(format, { preview.error() });
    }
    if (const auto error = forbidden(action, *preview)) {
        return printErrors(format, { *error });
    }
    if (invocation.has("dry-run")) {
        return print(format, *preview, true);
    }
    const auto changed = wait(changeWave(store, wave, command->second, false));
    return changed ? print(format, { *changed }, false) : printErrors(format, { changed.error() });
}

ResultCode run(int argc, const char* const* argv)
{
    auto options = makeOptions("wave", summary);
    options.add_options()("action", "start, pause, resume, abort or show", cxxopts::value<std::string>())(
        "name", "Name of the wave", cxxopts::value<std::string>())("platform",
        "IP address and port of the platform",
        cxxopts::value<std::string>())("dry-run", "Show what the command would do without making the change");
    options.parse_positional({ "action" });
    const Invocation invocation { std::move(options), argc, argv };
    if (invocation.helped()) {
        return ResultCode::Ok;
    }
    const auto store = invocation.platform();
    if (!store) {
        return printErrors(invocation.format(), { store.error() });
    }
    return execute(invocation, *store, invocation.text("action"));
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "wave",
    .summary = summary,
    .example = "wave start --name year-end-kernel --platform 127.0.0.1:7000",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
