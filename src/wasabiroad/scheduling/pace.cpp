#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include <algorithm>

namespace wasabiroad::scheduling {

using internal::Phase;

namespace {

/** Share of the target at which fillers are slowed, so that the figure's delay does not let it be exceeded.
 */
constexpr double slowDownThreshold = 0.8;

/** Share of the target below which fillers speed up again. */
constexpr double speedUpThreshold = 0.6;

constexpr std::int64_t paceIncrement = 20;

/** Paces below this stop the filler: the remaining work is not worth its effect. */
constexpr std::int64_t minPace = 10;

} // namespace

void PoolScheduler::adjustPace(Upstream& upstream, Moment now)
{
    double worstRatio = 0;
    for (const auto& id : upstream.tasks) {
        const auto [run, task] = find(id);
        const auto target = stepOf(id).tailLatencyTarget.milliseconds;
        if (target > 0 && !stepOf(id).filler && task->phase == Phase::Running) {
            worstRatio
                = std::max(worstRatio, static_cast<double>(task->measurement) / static_cast<double>(target));
        }
    }
    for (const auto& id : upstream.tasks) {
        const auto [run, task] = find(id);
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
    bool serving = false;
    bool filling = false;
    for (const auto& id : found->second.tasks) {
        serving = serving || stepOf(id).tailLatencyTarget.milliseconds > 0;
        filling = filling || stepOf(id).filler;
    }
    return serving && filling;
}

} // namespace wasabiroad::scheduling
