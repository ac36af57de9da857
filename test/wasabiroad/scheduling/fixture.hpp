#pragma once

#include "wasabiroad/scheduling/pool_scheduler.hpp"

#include <string>
#include <vector>

namespace wasabiroad::scheduling::test {

inline const model::ServiceId service { "checks" };

/** @return The time this many milliseconds after the start of a test. */
inline Moment at(std::int64_t milliseconds)
{
    constexpr std::int64_t wallClockOfStart = 1'800'000'000'000;
    return { { milliseconds }, { wallClockOfStart + milliseconds } };
}

inline UpstreamFacts makeUpstream(
    const std::string& id, std::int64_t cpu = 4000, const std::string& rack = "r1", std::int64_t born = 1)
{
    return { .id = UpstreamId { id },
        .service = service,
        .address = "127.0.0.1:1",
        .zone = model::ZoneId { "a" },
        .rack = model::RackId { rack },
        .labels = { "kind", rack },
        .capacity = { cpu, 8000, 0 },
        .born = { born } };
}

inline jobs::Step makeStep(std::uint32_t count, std::int64_t cpu = 1000)
{
    return { .count = count, .resources = { cpu, 100, 0 }, .estimate = { 500 } };
}

inline jobs::Job makeJob(const std::string& id, std::vector<jobs::Step> steps, std::uint32_t maxAttempts = 3)
{
    return { .id = jobs::JobId { id },
        .queue = jobs::QueueId { "queue" },
        .service = service,
        .payload = "payload-" + id,
        .steps = std::move(steps),
        .accepted = at(0).wall,
        .maxAttempts = maxAttempts,
        .stretch = 2,
        .allowance = { 1000 } };
}

/** @return A job that runs several times. */
inline jobs::Job makePeriodicJob(const std::string& id, std::vector<jobs::Step> steps,
    std::uint32_t occurrences, kernel::Instant firstDue, kernel::Duration interval)
{
    return { .id = jobs::JobId { id },
        .queue = jobs::QueueId { "queue" },
        .service = service,
        .payload = "payload-" + id,
        .steps = std::move(steps),
        .occurrences = occurrences,
        .firstDue = firstDue,
        .interval = interval,
        .accepted = at(0).wall,
        .maxAttempts = 4,
        .stretch = 2,
        .allowance = { 1000 } };
}

/** @brief A scheduler whose upstreams have listed their tasks, and the orders that it returned. */
class SchedulerFixture {
public:
    explicit SchedulerFixture(
        const std::vector<UpstreamFacts>& members, std::uint64_t term = 5, const Policy& policy = {})
        : scheduler(policy, term, at(0))
    {
        apply(MembersListed { members }, 0);
        for (const auto& member : members) {
            apply(TasksListed { .upstream = member.id, .born = member.born }, 0);
        }
    }

    void apply(const Event& event, std::int64_t time)
    {
        for (const auto& order : this->scheduler.apply(event, at(time))) {
            if (const auto* const start = std::get_if<StartTask>(&order)) {
                this->starts.push_back(*start);
            } else if (const auto* const stop = std::get_if<StopTask>(&order)) {
                this->stops.push_back(*stop);
            } else {
                this->paces.push_back(std::get<PaceTask>(order));
            }
        }
    }

    /** @brief Applies a task list of an upstream with these running and ended tasks. */
    void applyTaskList(const std::string& upstream, std::vector<RunningTask> running,
        std::vector<EndedTask> ended, std::int64_t time)
    {
        apply(TasksListed { UpstreamId { upstream }, { 1 }, { time }, std::move(running), std::move(ended) },
            time);
    }

    /** @brief Lists an incarnation of an upstream as the only member. */
    void applyIncarnation(const std::string& upstream, std::int64_t born, std::int64_t time)
    {
        apply(MembersListed { { makeUpstream(upstream, 4000, "r1", born) } }, time);
    }

    PoolScheduler scheduler;
    std::vector<StartTask> starts {};
    std::vector<StopTask> stops {};
    std::vector<PaceTask> paces {};
};

} // namespace wasabiroad::scheduling::test
