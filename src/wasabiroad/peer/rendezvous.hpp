#pragma once

#include "wasabiroad/model/identifier.hpp"

#include <string_view>
#include <vector>

namespace wasabiroad::peer {

/**
 * @brief Score of an entry for a key; the same in every process.
 * @param key What is assigned, such as `watch` or the name of another entry.
 */
std::uint64_t rendezvousScore(std::string_view key, const model::EntryId& entry);

/**
 * @brief Chooses the entries with the highest scores for a key (rendezvous hashing), so that a change
 * of the candidates moves only the choices that it concerns.
 * @return At most `count` entries, the highest score first.
 */
std::vector<model::EntryId> choose(
    std::string_view key, std::vector<model::EntryId> candidates, std::size_t count);

} // namespace wasabiroad::peer
