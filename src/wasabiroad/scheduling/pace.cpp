#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include <algorithm>

namespace wasabiroad::scheduling {

using internal::Phase;

namespace {

/** Share of the target at which fillers are slowed, so that the figure's delay does not let it be exceeded.
 */
constexpr double slowAt = 0.8;

/** Share of the target below which fillers speed up again. */
constexpr double raiseBelow = 0.6;

constexpr std::int64_t paceRaise = 20;

/** Paces below this stop the filler: the remaining work is not worth its effect. */
constexpr std::int64_t leastPace = 10;

} // namespace

void PoolScheduler::controlPace(Upstream& upstream, Moment now)
{
    double worst = 0;
    for (const auto& id : upstream.tasks) {
        const auto [run, task] = find(id);
        const auto target = stepOf(id).tailLatencyTarget.milliseconds;
        if (target > 0 && !stepOf(id).filler && task->phase == Phase::Running) {
            worst = std::max(worst, static_cast<double>(task->figure) / static_cast<double>(target));
        }
    }
    for (const auto& id : upstream.tasks) {
        const auto [run, task] = find(id);
        if (!stepOf(id).filler || task->phase != Phase::Running) {
            continue;
        }
        auto pace = task->pace;
        if (worst > 1) {
            pace = 0;
        } else if (worst > slowAt) {
            pace = pace / 2 < leastPace ? 0 : pace / 2;
        } else if (worst < raiseBelow && now.steady - task->paceChanged > this->policy.paceRaiseInterval) {
            pace = std::min<std::int64_t>(100, pace + paceRaise);
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
