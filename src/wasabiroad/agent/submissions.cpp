#include "wasabiroad/agent/submissions.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/jobs/codec.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>
#include <set>

namespace wasabiroad::agent {

using kernel::Duration;
using kernel::ResultCode;

namespace {

/** Time to gather jobs for one change; short against the objective of a job. */
constexpr Duration gatherTime { 4 };

/** Entries of a change that one job takes: the condition and the key of its id, its record and itself. */
constexpr std::size_t entriesPerJob = 4;
constexpr std::size_t jobsPerChange = store::changeLimit / entriesPerJob;

constexpr Duration retryInterval { 120 };

/** Longest time for which a caller waits for the store. */
constexpr Duration patience { 1200 };

/** Suggested pause of a caller when the store does not answer; outages last seconds. */
constexpr Duration retryAfter { 2000 };

/** Failed changes in a row after which the store counts as away. */
constexpr unsigned awayAfter = 3;

/** While the store is away, one attempt is made in this interval. */
constexpr Duration probeInterval { 400 };

/** Jobs that may wait for the store; more are rejected. */
constexpr std::size_t queueLimit = 256;

std::string_view outcomeName(const SubmitOutcome& outcome)
{
    return std::visit(kernel::Overloaded {
                          [](const Accepted&) { return "accepted"; },
                          [](const Rejected&) { return "rejected"; },
                          [](const Undecided&) { return "undecided"; },
                      },
        outcome);
}

} // namespace

Submissions::Submissions(boost::asio::io_context& ioContext, std::shared_ptr<const store::Store> jobStore,
    std::shared_ptr<metrics::Metrics> processMetrics)
    : context(ioContext)
    , store(std::move(jobStore))
    , metrics(std::move(processMetrics))
    , timer(ioContext)
{
}

void Submissions::submit(jobs::Job job, Duration deadline, store::Callback<SubmitOutcome> callback)
{
    const auto wait = std::min(patience, Duration { deadline.milliseconds / 2 });
    auto waiting = std::make_shared<Waiting>(
        Waiting { std::move(job), std::move(callback), kernel::bootNow() + wait });
    const bool away = this->failures >= awayAfter && kernel::bootNow() - this->lastFailure < probeInterval;
    if (away || this->queue.size() >= queueLimit) {
        answer(*waiting,
            Rejected { away ? ResultCode::PlatformUnreachable : ResultCode::QueueFull, retryAfter });
        return;
    }
    this->queue.push_back(std::move(waiting));
    plan(gatherTime);
}

void Submissions::plan(Duration delay)
{
    if (!this->planned) {
        this->planned = true;
        this->timer.start(delay, [self = shared_from_this()] { self->send(); });
    }
}

void Submissions::send()
{
    this->planned = false;
    while (!this->queue.empty()) {
        std::vector<std::shared_ptr<Waiting>> batch;
        std::set<jobs::JobId> ids;
        std::vector<store::Condition> conditions;
        std::vector<store::Put> puts;
        // An id that is in the queue twice follows in a change of its own.
        while (!this->queue.empty() && batch.size() < jobsPerChange
            && ids.insert(this->queue.front()->job.id).second) {
            auto waiting = std::move(this->queue.front());
            this->queue.pop_front();
            const auto& job = waiting->job;
            conditions.push_back({ keys::acceptance(job.id), {} });
            puts.push_back({ keys::acceptance(job.id), job.service.text() });
            puts.push_back({ keys::record(job.service, job.id), jobs::encode(jobs::Record {}) });
            puts.push_back({ keys::job(job.service, job.id), jobs::encode(job) });
            batch.push_back(std::move(waiting));
        }
        this->store->change({ std::move(conditions), std::move(puts), {} },
            [self = shared_from_this(), batch](
                const store::ChangeOutcome& outcome) { self->onOutcome(batch, outcome); });
    }
}

void Submissions::onOutcome(
    const std::vector<std::shared_ptr<Waiting>>& batch, const store::ChangeOutcome& outcome)
{
    std::visit(kernel::Overloaded {
                   [&](const store::Committed&) {
                       this->failures = 0;
                       for (const auto& waiting : batch) {
                           answer(*waiting, Accepted {});
                       }
                   },
                   [&](const store::Conflict& conflict) {
                       this->failures = 0;
                       settle(batch, conflict);
                   },
                   [&](const store::LeaseEnded&) { again(batch, false); },
                   [&](const store::NotDone&) { again(batch, false); },
                   [&](const store::OutcomeUnknown&) { again(batch, true); },
               },
        outcome);
}

void Submissions::settle(const std::vector<std::shared_ptr<Waiting>>& batch, const store::Conflict& conflict)
{
    for (const auto& waiting : batch) {
        const auto key = keys::acceptance(waiting->job.id);
        if (std::ranges::any_of(conflict.current, [&](const auto& entry) { return entry.key == key; })) {
            answer(*waiting, Accepted {});
        } else {
            this->queue.push_back(waiting);
        }
    }
    if (!this->queue.empty()) {
        plan({});
    }
}

void Submissions::again(const std::vector<std::shared_ptr<Waiting>>& batch, bool undecided)
{
    ++this->failures;
    this->lastFailure = kernel::bootNow();
    for (const auto& waiting : batch) {
        waiting->undecided = waiting->undecided || undecided;
        if (kernel::bootNow() + retryInterval < waiting->giveUp) {
            this->queue.push_back(waiting);
        } else if (waiting->undecided) {
            answer(*waiting, Undecided {});
        } else {
            answer(*waiting, Rejected { ResultCode::PlatformUnreachable, retryAfter });
        }
    }
    if (!this->queue.empty()) {
        plan(retryInterval);
    }
}

void Submissions::answer(const Waiting& waiting, const SubmitOutcome& outcome) const
{
    kernel::logEvent("job-submitted",
        { { "job", waiting.job.id.text() }, { "queue", waiting.job.queue.text() },
            { "pool", waiting.job.service.text() }, { "outcome", outcomeName(outcome) },
            { "store_failures", this->failures } });
    this->metrics->count("wasabiroad_submissions_total",
        { { "queue", waiting.job.queue.text() }, { "outcome", std::string { outcomeName(outcome) } } });
    waiting.callback(outcome);
}

} // namespace wasabiroad::agent
