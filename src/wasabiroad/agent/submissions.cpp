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

/** Time in which jobs are collected for one change; short compared with the latency objective of a job. */
constexpr Duration batchDelay { 4 };

/** Entries of a change per job: the condition on its id, and the writes of its id, its record and the job. */
constexpr std::size_t entriesPerJob = 4;
constexpr std::size_t jobsPerChange = store::changeLimit / entriesPerJob;

constexpr Duration retryInterval { 120 };

/** Maximum time for which attempts to store a job are retried while its caller waits. */
constexpr Duration maxRetryTime { 1200 };

/** Pause suggested to rejected callers; outages of the store last seconds. */
constexpr Duration retryAfter { 2000 };

/** Consecutive failed changes after which the store counts as unavailable. */
constexpr unsigned storeFailureThreshold = 3;

/** While the store is unavailable, callers are rejected without an attempt for this time after a failure. */
constexpr Duration probeInterval { 400 };

/** Maximum number of jobs that wait for the store; more are rejected. */
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

std::uint16_t codeOf(const SubmitOutcome& outcome)
{
    return std::visit(kernel::Overloaded {
                          [](const Accepted&) { return number(ResultCode::Ok); },
                          [](const Rejected& rejected) { return number(rejected.code); },
                          [](const Undecided&) { return number(ResultCode::OutcomeUnknown); },
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
    const auto wait = std::min(maxRetryTime, Duration { deadline.milliseconds / 2 });
    auto submission = std::make_shared<PendingSubmission>(PendingSubmission {
        std::move(job), std::move(callback), kernel::bootNow() + wait, kernel::bootNow() + deadline });
    const bool unavailable
        = this->failures >= storeFailureThreshold && kernel::bootNow() - this->lastFailure < probeInterval;
    if (unavailable || this->queue.size() >= queueLimit) {
        answer(*submission,
            Rejected { unavailable ? ResultCode::PlatformUnreachable : ResultCode::QueueFull, retryAfter });
        return;
    }
    this->queue.push_back(std::move(submission));
    scheduleSend(batchDelay);
}

void Submissions::answerIneligible(jobs::Job job, ResultCode code, store::Callback<SubmitOutcome> callback)
{
    const auto key = keys::acceptance(job.id);
    this->store->read(key,
        [self = shared_from_this(), code,
            submission = PendingSubmission { std::move(job), std::move(callback), {}, {} }](
            const kernel::Expected<std::optional<store::Entry>>& entry) {
            if (!entry) {
                self->answer(submission, Undecided {});
            } else if (!*entry) {
                self->answer(submission, Rejected { code });
            } else if ((*entry)->value.empty()) {
                self->answer(submission, Rejected { ResultCode::Cancelled });
            } else {
                self->answer(submission, Accepted {});
            }
        });
}

void Submissions::scheduleSend(Duration delay)
{
    if (!this->sendScheduled) {
        this->sendScheduled = true;
        this->timer.start(delay, [self = shared_from_this()] { self->send(); });
    }
}

void Submissions::send()
{
    this->sendScheduled = false;
    while (!this->queue.empty()) {
        std::vector<std::shared_ptr<PendingSubmission>> batch;
        std::set<jobs::JobId> ids;
        std::vector<store::Condition> conditions;
        std::vector<store::Put> puts;
        // A second submission of an id in the queue goes into a change of its own.
        while (!this->queue.empty() && batch.size() < jobsPerChange
            && ids.insert(this->queue.front()->job.id).second) {
            auto submission = std::move(this->queue.front());
            this->queue.pop_front();
            // The process may have stood still since it read the request.
            if (!submission->outcomeUnknown && kernel::bootNow() > submission->deadline) {
                answer(*submission, Rejected { ResultCode::DeadlineExceeded, retryAfter });
                continue;
            }
            const auto& job = submission->job;
            conditions.push_back({ keys::acceptance(job.id), {} });
            puts.push_back({ keys::acceptance(job.id), job.service.text() });
            puts.push_back({ keys::record(job.service, job.id), jobs::encode(jobs::Record {}) });
            puts.push_back({ keys::job(job.service, job.id), jobs::encode(job) });
            batch.push_back(std::move(submission));
        }
        if (batch.empty()) {
            continue;
        }
        this->store->change({ std::move(conditions), std::move(puts), {} },
            [self = shared_from_this(), batch](
                const store::ChangeOutcome& outcome) { self->onOutcome(batch, outcome); });
    }
}

void Submissions::onOutcome(
    const std::vector<std::shared_ptr<PendingSubmission>>& batch, const store::ChangeOutcome& outcome)
{
    std::visit(kernel::Overloaded {
                   [&](const store::Committed&) {
                       this->failures = 0;
                       for (const auto& submission : batch) {
                           answer(*submission, Accepted {});
                       }
                   },
                   [&](const store::Conflict& conflict) {
                       this->failures = 0;
                       onConflict(batch, conflict);
                   },
                   [&](const store::LeaseEnded&) { retry(batch, false); },
                   [&](const store::NotDone&) { retry(batch, false); },
                   [&](const store::OutcomeUnknown&) { retry(batch, true); },
               },
        outcome);
}

void Submissions::onConflict(
    const std::vector<std::shared_ptr<PendingSubmission>>& batch, const store::Conflict& conflict)
{
    for (const auto& submission : batch) {
        const auto key = keys::acceptance(submission->job.id);
        const auto acceptance = std::ranges::find(conflict.current, key, &store::Entry::key);
        if (acceptance == conflict.current.end()) {
            this->queue.push_back(submission);
        } else if (acceptance->value.empty()) {
            // No attempt of this submission was carried out, as the key would name its service.
            answer(*submission, Rejected { ResultCode::Cancelled });
        } else {
            answer(*submission, Accepted {});
        }
    }
    if (!this->queue.empty()) {
        scheduleSend({});
    }
}

void Submissions::retry(const std::vector<std::shared_ptr<PendingSubmission>>& batch, bool outcomeUnknown)
{
    ++this->failures;
    this->lastFailure = kernel::bootNow();
    for (const auto& submission : batch) {
        submission->outcomeUnknown = submission->outcomeUnknown || outcomeUnknown;
        if (kernel::bootNow() + retryInterval < submission->retryUntil) {
            this->queue.push_back(submission);
        } else if (submission->outcomeUnknown) {
            answer(*submission, Undecided {});
        } else {
            answer(*submission, Rejected { ResultCode::PlatformUnreachable, retryAfter });
        }
    }
    if (!this->queue.empty()) {
        scheduleSend(retryInterval);
    }
}

void Submissions::answer(const PendingSubmission& submission, const SubmitOutcome& outcome) const
{
    kernel::logEvent("job-submitted",
        { { "job", submission.job.id.text() }, { "queue", submission.job.queue.text() },
            { "pool", submission.job.service.text() }, { "outcome", outcomeName(outcome) },
            { "code", codeOf(outcome) }, { "store_failures", this->failures } });
    this->metrics->count("wasabiroad_submissions_total",
        { { "queue", submission.job.queue.text() }, { "outcome", std::string { outcomeName(outcome) } } });
    submission.callback(outcome);
}

} // namespace wasabiroad::agent
