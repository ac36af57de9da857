#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiroad::routing {

/**
 * @brief Score of a member for a key in rendezvous hashing (highest random weight).
 * Every process computes the same score, so members need no coordination.
 */
std::uint64_t rendezvousScore(std::string_view key, std::string_view member);

/**
 * @brief Ranks members for a key; a member that comes or goes moves no other pair.
 * @return Members by falling score.
 */
std::vector<std::string> rendezvousRank(std::string_view key, std::vector<std::string> members);

} // namespace wasabiroad::routing
