#include "wasabiroad/kernel/command.hpp"
#include "wasabiroad/manifest/read.hpp"
#include "wasabiroad/tool/difference.hpp"
#include "wasabiroad/tool/invocation.hpp"
#include "wasabiroad/tool/stored_manifest.hpp"
#include "wasabiroad/tool/wait.hpp"

#include <iostream>

#include <boost/json/serialize.hpp>

namespace wasabiroad::tool {

namespace {

kernel::Checked<model::Manifest> parseStored(const StoredManifest& stored)
{
    if (stored.text.empty()) {
        return model::Manifest {};
    }
    return manifest::read(stored.text);
}

void print(OutputFormat format, model::Generation generation, const std::vector<Change>& changes)
{
    boost::json::array list;
    for (const auto& change : changes) {
        list.push_back({ { "kind", name(change.kind) }, { "subject", change.subject }, { "id", change.id },
            { "effect", change.effect } });
        if (format == OutputFormat::Text) {
            std::cout << name(change.kind) << " " << change.subject << " " << change.id
                      << (change.effect.empty() ? "" : ": ") << change.effect << "\n";
        }
    }
    if (format == OutputFormat::Json) {
        std::cout << boost::json::serialize(
            boost::json::value { { "planned-against", generation.value }, { "changes", std::move(list) } })
                  << "\n";
        return;
    }
    std::cout << "changes=" << changes.size() << "\nplanned-against=" << generation.value << "\n";
}

kernel::ResultCode run(int argc, const char* const* argv)
{
    auto options = makeOptions("plan", "Shows what a manifest would change.");
    options.add_options()(
        "manifest", "Manifest file; - reads the standard input", cxxopts::value<std::string>())(
        "platform", "IP address and port of the platform", cxxopts::value<std::string>());
    const Invocation invocation { std::move(options), argc, argv };
    if (invocation.helped()) {
        return kernel::ResultCode::Ok;
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
    const auto stored = wait(readStoredManifest(*store));
    if (!stored) {
        return printErrors(format, { stored.error() });
    }
    const auto current = parseStored(*stored);
    if (!current) {
        return printErrors(format, current.error());
    }
    print(format, stored->head.generation, difference(*current, *next));
    return kernel::ResultCode::Ok;
}

const kernel::CommandRegistration registration { kernel::Command {
    .name = "plan",
    .summary = "Shows what a manifest would change, and what that does to VMs and budgets.",
    .example = "plan --manifest examples/hallbach.json --platform 127.0.0.1:7000",
    .run = run,
} };

} // namespace

} // namespace wasabiroad::tool
