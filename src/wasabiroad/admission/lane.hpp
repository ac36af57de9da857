#pragma once

#include "wasabiroad/admission/request_list.hpp"
#include "wasabiroad/admission/team_shares.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace wasabiroad::admission {

/** @brief The request of a lane that is served next. */
struct LaneHead {
    const RecordIndex record;
    /** @brief Position in the order of arrival. */
    const std::uint64_t order { 0 };
    /** @brief Whether its team holds its fair share of slots or more. */
    const bool atShare { false };

    friend auto operator<=>(const LaneHead&, const LaneHead&) = default;
};

/**
 * @brief Queued requests of one service, class and requirement, grouped by team.
 *
 * Requests of a team are served in order of arrival. Teams below their fair share go before the others;
 * among equals, the team with the oldest first request goes first. A change costs O(1), or O(log teams)
 * when it changes the first request of a team.
 */
class Lane {
public:
    enum class End : std::uint8_t {
        Head,
        Tail,
    };

    void push(RequestTable& table, RecordIndex index, End end, const TeamShares& shares);
    void erase(RequestTable& table, RecordIndex index);

    /** @brief Sets whether a team holds its share, which puts its requests behind those of other teams. */
    void setAtShare(std::uint32_t team, bool atShare);

    /** @brief Updates which teams hold their share after shares have changed. */
    void updateShares(const TeamShares& shares);

    std::optional<LaneHead> head() const;
    bool empty() const { return this->teams.empty(); }

private:
    using Keys = std::set<std::pair<std::uint64_t, std::uint32_t>>;
    struct TeamQueue {
        RequestList requests {};
        /** @brief Handle of the first request, by which teams are ordered. */
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
