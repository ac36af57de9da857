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

/** @brief Order of waiting steps: the smallest goes first. */
struct Rank {
    /** @brief It ends by itself; long-running steps go first. */
    const bool endsByItself { true };
    /** @brief Its job cannot be in time any more. */
    const bool late { false };
    const std::uint32_t priority { 0 };
    const kernel::Instant due {};
    const StepId step {};

    friend auto operator<=>(const Rank&, const Rank&) = default;
};

/** @brief What decides whether a task finds an upstream; tasks with equal needs wait for the same room. */
struct Requirements {
    /** @brief Counted resources of one task. */
    const jobs::Resources resources {};
    /** @brief Tasks that start together: those of a gang, or one. */
    const std::uint32_t gangSize { 1 };
    const std::uint32_t maxPerUpstream { 0 };
    const bool sameRack { false };
    const std::string label {};
    /** @brief Rack on which it has to be; empty for any. */
    const std::string rack {};
    /** @brief The step, when its tasks that run limit where the others may run. */
    const std::optional<StepId> limitedStep {};

    friend auto operator<=>(const Requirements&, const Requirements&) = default;
};

/**
 * @brief Steps with tasks to start, in order of rank.
 *
 * Steps are kept by their needs. Needs that found no room are set aside with all their steps until room
 * appears in which they may fit, so a pass looks at none of the steps that cannot start.
 */
class WaitingIndex {
public:
    /** @brief Adds a step that is not held yet. */
    void insert(const Rank& rank, const Requirements& requirements);

    /** @brief Removes a step that was added with this rank and these needs. */
    void erase(const Rank& rank, const Requirements& requirements);

    /** @return The first step whose needs are not set aside, or null. */
    const StepId* first() const;

    /** @brief Sets needs aside: no upstream has room for them. */
    void block(const Requirements& requirements);

    /**
     * @brief Takes back the needs that may fit into room that has appeared.
     * @param room What one upstream has left.
     * @return Needs that were compared.
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
    /** @brief First step of each class that is not set aside. */
    std::set<Rank> heads {};
    /** @brief Needs that are set aside, least cpu first. */
    std::set<Requirements> blocked {};
};

} // namespace wasabiroad::scheduling
