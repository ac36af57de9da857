#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/manifest/read.hpp"
#include "wasabiroad/tool/apply.hpp"
#include "wasabiroad/tool/changes.hpp"
#include "wasabiroad/tool/in_force.hpp"
#include "wasabiroad/tool/invocation.hpp"
#include "wasabiroad/tool/wait.hpp"

#include <boost/json/array.hpp>

namespace wasabiroad::tool {

namespace {

using kernel::ResultCode;

cxxopts::Options applyOptions()
{
    auto options = makeOptions("apply", "Puts a manifest in force as the next generation.");
    options.add_options()(
        "manifest", "Manifest file; - reads the standard input", cxxopts::value<std::string>())(
        "platform", "IP address and port of the platform", cxxopts::value<std::string>())("planned-against",
        "Generation that the change was planned against", cxxopts::value<std::int64_t>())("wait",
        "Wait until the daemon with this operators' address runs the generation; repeatable",
        cxxopts::value<std::vector<std::string>>())(
        "timeout-ms", "Longest wait", cxxopts::value<std::int64_t>()->default_value("12000"));
    return options;
}

std::optional<model::Generation> plannedAgainst(const Invocation& invocation)
{
    if (!invocation.has("planned-against")) {
        return std::nullopt;
    }
    return model::Generation { static_cast<std::uint64_t>(invocation.number("planned-against")) };
}

/** A lost race shows what the operator's manifest would change in the one that came first. */
ResultCode reportFailure(const Invocation& invocation, const kernel::Error& error,
    const platform::Store& store, const model::Manifest& next)
{
    const auto code = printErrors(invocation.format(), { error });
    if (code != ResultCode::GenerationConflict) {
        return code;
    }
    const auto stored = wait(readStoredManifest(store));
    const auto changes = stored ? changesTo(*stored, next) : kernel::Checked<std::vector<Change>> {};
    if (stored && changes) {
        printChanges(invocation.format(), stored->head.generation, *changes);
    }
    return code;
}

boost::json::array toArray(const std::vector<std::string>& texts)
{
    return boost::json::array(texts.begin(), texts.end());
}

ResultCode waitForDaemons(const Invocation& invocation, model::Generation generation)
{
    if (!invocation.has("wait")) {
        return ResultCode::Ok;
    }
    const auto inForce
        = waitUntilInForce(invocation.texts("wait"), generation, { invocation.number("timeout-ms") });
    printObject(invocation.format(),
        { { "in-force", toArray(inForce.reached) }, { "not-in-force", toArray(inForce.missing) } });
    return inForce.missing.empty() ? ResultCode::Ok : ResultCode::NotInForceEverywhere;
}

ResultCode run(int argc, const char* const* argv)
{
    const Invocation invocation { applyOptions(), argc, argv };
    if (invocation.helped()) {
        return ResultCode::Ok;
    }
    const auto format = invocation.format();
    const auto text = invocation.file("manifest");
    if (!text) {
        return printErrors(format, { text.error() });
    }
    const auto next = manifest::read(*text);
    if (!next) {
        return printErrors(format, next.error());
    }
    const auto store = invocation.platform();
    if (!store) {
        return printErrors(format, { store.error() });
    }
    const auto head = wait(apply(*store, *text, plannedAgainst(invocation)));
    if (!head) {
        return reportFailure(invocation, head.error(), *store, *next);
    }
    printObject(format, { { "generation", head->generation.value }, { "digest", head->digest } });
    return waitForDaemons(invocation, head->generation);
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "apply",
    .summary = "Puts a manifest in force as the next generation; a lost race is refused with the difference.",
    .example = "apply --manifest examples/hallbach.json --platform 127.0.0.1:7000 --wait 127.0.0.1:8001",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
