#include "wasabiroad/maintenance/actor.hpp"

#include <xxhash.h>

namespace wasabiroad::maintenance {

model::EntryId chooseActor(const std::set<model::EntryId>& entries, const model::ZoneId& zone)
{
    const auto seed = XXH3_64bits(zone.text().data(), zone.text().size());
    const model::EntryId* chosen = nullptr;
    std::uint64_t highest = 0;
    for (const auto& entry : entries) {
        const auto hash = XXH3_64bits_withSeed(entry.text().data(), entry.text().size(), seed);
        if (chosen == nullptr || hash > highest) {
            chosen = &entry;
            highest = hash;
        }
    }
    return chosen == nullptr ? model::EntryId {} : *chosen;
}

} // namespace wasabiroad::maintenance
