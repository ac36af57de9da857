#pragma once

#include "wasabiroad/scheduling/event.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace wasabiroad::scheduling::internal {

enum class Phase : unsigned char {
    Waiting,
    /** @brief The start was ordered and has not been answered. */
    Starting,
    Running,
    /** @brief A stop was ordered, also after a start with an unknown outcome. */
    Stopping,
    Done,
};

/** @brief Scheduling state of a task. */
struct Task {
    Phase phase { Phase::Waiting };
    /** @brief A run completed; another run may still be stopping. */
    bool done { false };
    /** @brief A previous owner may have started it; it is not started until all upstreams are reconciled. */
    bool unresolved { false };
    UpstreamId upstream {};
    jobs::Run run {};
    /** @brief Incarnation of the upstream on whose clock the end of the lease in the start order was
     * computed. */
    kernel::Instant orderedTo {};
    /** @brief Incarnation that is known to have carried out the start. */
    std::optional<kernel::Instant> runsOn {};
    std::string checkpoint {};
    std::set<jobs::Run> failedRuns {};
    /** @brief Upstreams on which it failed. */
    std::set<UpstreamId> failedOn {};
    std::int64_t percent { 0 };
    std::int64_t measurement { 0 };
    std::int64_t pace { 100 };
    kernel::Instant paceChanged {};
    kernel::Instant notBefore {};
    kernel::Instant lastProgress {};
    kernel::Instant started {};
    /** @brief When the owner learned that the run was carried out; later lists contain it or its end. */
    kernel::Instant confirmed {};
    /** @brief The run began at a checkpoint or was adopted, so its duration is not that of the whole task. */
    bool resumed { false };
    kernel::Instant readySince {};
    /** @brief It is stopped only as its start was not answered and may have failed. See
     * PoolScheduler::awaitsList for when the stop is sent. */
    bool stopsUnansweredStart { false };
    /** @brief Fencing token of the start that was not answered, if it is known. */
    std::optional<std::uint64_t> unansweredFence {};
    kernel::Instant stopSent {};
    std::optional<kernel::Instant> stopAnswered {};
};

/** @return Whether the state of the task allows a start now. */
inline bool isStartable(const Task& task, Moment now)
{
    return task.phase == Phase::Waiting && !task.unresolved && task.notBefore <= now.steady;
}

} // namespace wasabiroad::scheduling::internal
