#include "wasabiroad/tool/changes.hpp"

#include "wasabiroad/manifest/read.hpp"

#include <iostream>

#include <boost/json/serialize.hpp>

namespace wasabiroad::tool {

kernel::Checked<std::vector<Change>> changesTo(const StoredManifest& stored, const model::Manifest& next)
{
    if (stored.text.empty()) {
        return difference(model::Manifest {}, next);
    }
    const auto current = manifest::read(stored.text);
    if (!current) {
        return tl::unexpected(current.error());
    }
    return difference(*current, next);
}

void printChanges(OutputFormat format, model::Generation generation, const std::vector<Change>& changes)
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

} // namespace wasabiroad::tool
