#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include <algorithm>

namespace wasabiroad::scheduling {

using internal::Phase;

namespace {

/** Fraction of the tail latency target above which fillers, best-effort tasks that use cpu left over by
 * others, are slowed down. It is below 1 because measurements arrive with a delay, during which the tail
 * latency may rise further. */
constexpr double slowDownThreshold = 0.8;

/** Fraction of the tail latency target below which fillers speed up again. */
constexpr double speedUpThreshold = 0.6;

/** Percentage points. */
constexpr std::int64_t paceIncrement = 20;

/** Percentage below which the filler is paused: so little work is not worth its effect on serving tasks. */
constexpr std::int64_t minPace = 10;

} // namespace

void PoolScheduler::adjustPace(Upstream& upstream, Moment now)
{
    double worstRatio = 0;
    for (const auto& id : upstream.tasks) {
        const auto [entry, task] = find(id);
        const auto target = stepOf(id).tailLatencyTarget.milliseconds;
        if (target > 0 && !stepOf(id).filler && task->phase == Phase::Running) {
            worstRatio
                = std::max(worstRatio, static_cast<double>(task->measurement) / static_cast<double>(target));
        }
    }
    for (const auto& id : upstream.tasks) {
        const auto [entry, task] = find(id);
        if (!stepOf(id).filler || task->phase != Phase::Running) {
            continue;
        }
        auto pace = task->pace;
        if (worstRatio > 1) {
            pace = 0;
        } else if (worstRatio > slowDownThreshold) {
            pace = pace / 2 < minPace ? 0 : pace / 2;
        } else if (worstRatio < speedUpThreshold
            && now.steady - task->paceChanged > this->policy.paceRaiseInterval) {
            pace = std::min<std::int64_t>(100, pace + paceIncrement);
        }
        if (pace != task->pace) {
            task->pace = pace;
            task->paceChanged = now.steady;
            task->lastProgress = now.steady;
            this->orders.push_back(PaceTask { task->upstream, id, task->run, pace });
        }
    }
}

bool PoolScheduler::needsFrequentPolling(const UpstreamId& upstreamId) const
{
    const auto found = this->upstreams.find(upstreamId);
    if (found == this->upstreams.end()) {
        return false;
    }
    if (found->second.tasks.empty()
        && (this->drains.contains(upstreamId) || this->reopening.contains(upstreamId))) {
        return true;
    }
    bool hasServingTask = false;
    bool hasFiller = false;
    bool limitsDrains = false;
    bool hasStopToSend = false;
    for (const auto& id : found->second.tasks) {
        hasServingTask = hasServingTask || stepOf(id).tailLatencyTarget.milliseconds > 0;
        hasFiller = hasFiller || stepOf(id).filler;
        limitsDrains = limitsDrains || stepOf(id).maxUnavailable > 0;
        hasStopToSend = hasStopToSend || awaitsList(id, taskAt(id));
    }
    return (hasServingTask && hasFiller) || (limitsDrains && !this->drains.empty()) || hasStopToSend;
}

} // namespace wasabiroad::scheduling
