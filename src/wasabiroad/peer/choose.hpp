#pragma once

#include "wasabiroad/model/identifier.hpp"

#include <string_view>
#include <vector>

namespace wasabiroad::peer {

/**
 * @brief Chooses entries for a key by rendezvous hashing.
 * @param key What is assigned, such as `watch` or the name of another entry.
 * @return At most `count` entries, the highest score first.
 */
std::vector<model::EntryId> choose(
    std::string_view key, const std::vector<model::EntryId>& candidates, std::size_t count);

} // namespace wasabiroad::peer
