#pragma once

#include "wasabiroad/admission/request_list.hpp"
#include "wasabiroad/admission/team_shares.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace wasabiroad::admission {

/** @brief The request of a lane that is next. */
struct LaneHead {
    const RecordIndex record;
    /** @brief Position in the order of arrival. */
    const std::uint64_t order { 0 };
    /** @brief Whether its team holds its fair share already. */
    const bool atShare { false };

    friend auto operator<=>(const LaneHead&, const LaneHead&) = default;
};

/**
 * @brief Queued requests of one service and class, by team.
 *
 * Requests of one team are in order of arrival. Among teams, those below their share come first, then
 * the one whose first request is the oldest. Changes cost O(1) within a team and O(log teams) when the
 * first request of a team changes.
 */
class Lane {
public:
    enum class End : std::uint8_t {
        Head,
        Tail,
    };

    void push(RequestTable& table, RecordIndex index, End end, const TeamShares& shares);
    void erase(RequestTable& table, RecordIndex index);

    /** @brief Moves the requests of a team before or behind those of teams below their share. */
    void setAtShare(std::uint32_t team, bool atShare);

    /** @brief Applies shares that have changed. */
    void updateShares(const TeamShares& shares);

    std::optional<LaneHead> head() const;
    bool empty() const { return this->teams.empty(); }

private:
    using Keys = std::set<std::pair<std::uint64_t, std::uint32_t>>;
    struct TeamQueue {
        RequestList requests {};
        /** @brief Handle of the first request; key of the team in its set. */
        std::uint64_t order { 0 };
        bool atShare { false };
    };

    Keys& keysOf(const TeamQueue& queue)
    {
        return queue.atShare ? this->teamsAtShare : this->teamsBelowShare;
    }

    std::unordered_map<std::uint32_t, TeamQueue> teams {};
    Keys teamsBelowShare {};
    Keys teamsAtShare {};
};

} // namespace wasabiroad::admission
