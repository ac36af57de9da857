#pragma once

#include "wasabiroad/jobs/job.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace wasabiroad::scheduling {

/** @brief A step of one occurrence of a job. */
struct StepId {
    const jobs::JobId job {};
    const std::uint32_t occurrence { 0 };
    const std::uint32_t step { 0 };

    friend auto operator<=>(const StepId&, const StepId&) = default;
};

/** @brief Order in which waiting steps are started, smallest first. */
struct Rank {
    /** @brief False for long-running steps, which go first. */
    const bool endsByItself { true };
    /** @brief The job can no longer finish by its due time; such jobs go after those that can. */
    const bool late { false };
    /** @brief Smaller values go first. */
    const std::uint32_t priority { 0 };
    const kernel::Instant due {};
    const StepId step {};

    friend auto operator<=>(const Rank&, const Rank&) = default;
};

/** @brief Placement requirements of a task; tasks with equal requirements fit on the same upstreams. */
struct Requirements {
    /** @brief Resources that a start of one task requires. */
    const jobs::Resources resources {};
    /** @brief Number of tasks that start together; 1 unless the step is a gang. */
    const std::uint32_t gangSize { 1 };
    const std::uint32_t maxPerUpstream { 0 };
    const bool sameRack { false };
    const std::string label {};
    /** @brief Required rack; empty for any. */
    const std::string rack {};
    /** @brief Set if a limit of tasks per upstream makes the placement depend on running tasks of the step;
     * such a step forms a group of its own. */
    const std::optional<StepId> limitedStep {};

    friend auto operator<=>(const Requirements&, const Requirements&) = default;
};

/**
 * @brief Steps with tasks to start, in order of rank.
 *
 * Steps are grouped by requirements. Requirements that no upstream meets are blocked, with all their steps,
 * until an upstream has enough free resources, so a scheduling pass skips steps that cannot start.
 */
class WaitingIndex {
public:
    /** @brief Adds a step that is not in the index. */
    void insert(const Rank& rank, const Requirements& requirements);

    /** @brief Removes a step that was added with this rank and these requirements. */
    void erase(const Rank& rank, const Requirements& requirements);

    /** @return The first step whose requirements are not blocked, or null. */
    const StepId* first() const;

    /** @return Whether these requirements are blocked. */
    bool isBlocked(const Requirements& requirements) const { return this->blocked.contains(requirements); }

    /** @brief Blocks requirements that no upstream meets. */
    void block(const Requirements& requirements);

    /**
     * @brief Unblocks the requirements that may fit into free resources of an upstream.
     * @param room Free resources of the upstream.
     * @return Number of requirements that were compared.
     */
    std::size_t unblock(const jobs::Resources& room);

private:
    struct Group {
        std::set<Rank> steps {};
        bool blocked { false };
    };

    using Groups = std::map<Requirements, Group>;

    void removeHead(const Group& group);
    void insertHead(const Group& group);

    Groups groups {};
    /** @brief First step of each group that is not blocked. */
    std::set<Rank> heads {};
    /** @brief Blocked requirements, least cpu first. */
    std::set<Requirements> blocked {};
};

} // namespace wasabiroad::scheduling
