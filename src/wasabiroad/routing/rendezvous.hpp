#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiroad::routing {

/**
 * @brief Score of a member for a key in rendezvous hashing (highest random weight).
 * Every process computes the same score, so no coordination is needed.
 */
std::uint64_t rendezvousScore(std::string_view key, std::string_view member);

/**
 * @brief Ranks members for a key. Adding or removing a member keeps the order of the others.
 * @return Members in descending order of score.
 */
std::vector<std::string> rendezvousRank(std::string_view key, std::vector<std::string> members);

} // namespace wasabiroad::routing
