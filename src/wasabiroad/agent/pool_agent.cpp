#include "wasabiroad/agent/pool_agent.hpp"

#include "wasabiroad/agent/down_upstreams.hpp"
#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace wasabiroad::agent {

using kernel::Duration;
using scheduling::UpstreamId;

namespace {

/** Interval of checking the scheduler's time-outs, the shortest of which is a few hundred ms. */
constexpr Duration tickInterval { 100 };

/** Time to collect records before a write when a job has ended: its caller may be waiting. */
constexpr Duration urgentFlushDelay { 8 };

/** Time to collect other records, so that they share a write: each write has a cost. */
constexpr Duration flushDelay { 60 };

/** Interval of reports while demand does not rise: counts that callers get may be up to 2 s old. */
constexpr Duration reportInterval { 400 };

/** Interval of reports while demand rises; short because a burst lasts a few seconds and a VM takes 2 s to
 * join. */
constexpr Duration risingReportInterval { 100 };

/** Interval of reports with unchanged content: calls are answered from a report only while it is current. */
constexpr Duration refreshInterval { 1000 };

/** Demand that exceeds the reported demand by more than 1/8 counts as rising. */
constexpr std::int64_t demandRiseDivisor = 8;

/** Maximum wait of a watch call: the view gets this old while there are no changes. */
constexpr Duration watchWait { 500 };

/**
 * Maximum age of the view of the pool for starting tasks: no task may start later than 3 s after its job was
 * confirmed as cancelled, and a start order may be in flight for 0.8 s.
 */
constexpr Duration viewAgeLimit { 2000 };
constexpr Duration retryInterval { 300 };

/** Time to read the open jobs of a pool; beyond it the owner counts as hindered. */
constexpr Duration loadTimeout { 10000 };

/** Age of the list of upstreams beyond which the owner counts as hindered; entries change each 1.5 s. */
constexpr Duration membersAgeLimit { 5000 };

/** Time without a tick beyond which the owner counts as hindered. */
constexpr Duration tickTimeout { 2000 };

/** Time for which an upstream is not called after another one has answered at its address. */
constexpr Duration replacedPause { 1000 };

/** Time in ms without an answer after which an upstream that holds up tasks is looked up in the list of VMs.
 */
constexpr Duration unheardLimit { 1000 };

/** Time in ms from the first answer of an upstream during which its absence from the list of VMs is ignored,
 * since the list may lag. */
constexpr Duration vmListDelay { 3000 };

/** Interval in ms between reads of the list of VMs. */
constexpr Duration vmListInterval { 500 };

/** The interval grows by `vmListInterval` per this many VMs, which bounds the reads of pages. */
constexpr std::size_t vmsPerListInterval = 200;

/** Interval of updating the members in the scheduler and the record of used upstreams. */
constexpr Duration membersUpdateInterval { 200 };

/** Upper limit of a task lease: tasks on a lost upstream start elsewhere only after their lease has expired.
 */
constexpr Duration maxTaskLease { 4000 };

/** Margin for the delivery of the call that renews a lease, and for the age of the clock reading. */
constexpr Duration leaseDeliveryMargin { 400 };

/** Time in ms from an order until it is given up; it can be carried out until then. */
constexpr Duration orderTime { 800 };

/** @return Length of a lease by our clock if the clock of the upstream is as slow as it may be. */
Duration onSlowestClock(Duration lease)
{
    constexpr std::int64_t percent = 100;
    return { lease.milliseconds * percent / (percent - maxClockSlowdownPercent) };
}

/**
 * @param taskLease Lease that is asked for.
 * @param longestLease Longest lease that an upstream grants.
 */
scheduling::Policy makePolicy(Duration taskLease, Duration longestLease)
{
    const auto maxLeaseDuration = onSlowestClock(taskLease) + leaseDeliveryMargin;
    // A lease whose end is on the clock of another incarnation begins when the order is carried out.
    const auto maxGrantedLease = onSlowestClock(longestLease) + leaseDeliveryMargin + orderTime;
    // The previous owner may stay active for its lease lifetime plus the grace period, see Duties. It renews
    // leases in that time and starts nothing.
    constexpr Duration previousOwnerActivity { 3000 };
    return { .maxLeaseDuration = maxLeaseDuration,
        .maxGrantedLease = maxGrantedLease,
        .takeoverTimeout = std::max(maxLeaseDuration + previousOwnerActivity, maxGrantedLease) };
}

/** @return Whether two reports differ at most in their revision. */
bool hasSameContent(const jobs::PoolReport& left, const jobs::PoolReport& right)
{
    const auto content = [](const jobs::PoolReport& report) {
        return std::tie(report.pending, report.wanted, report.taken, report.spread, report.releasable,
            report.arriving, report.room);
    };
    return content(left) == content(right);
}

/** @return Steps of a job for the log, as "COUNTxCPU@ESTIMATE" with thousandths of a core and ms. */
std::string describeSteps(const jobs::Job& job)
{
    std::string description;
    for (const auto& step : job.steps) {
        description += (description.empty() ? "" : "+") + std::to_string(step.count) + "x"
            + std::to_string(step.resources.cpu) + "@" + std::to_string(step.estimate.milliseconds);
    }
    return description;
}

} // namespace

PoolAgent::PoolAgent(PoolContext context, model::ServiceId pool, ports::Term ownTerm)
    : environment(std::move(context))
    , taskLease(std::min(environment.taskLease, maxTaskLease))
    , service(std::move(pool))
    , term(ownTerm)
    , startCounter(
          environment.metrics->counter("wasabiroad_task_starts_total", { { "pool", service.text() } }))
    , jobTimes(environment.metrics->histogram("wasabiroad_job_ms", { { "pool", service.text() } }))
    , tickTimer(environment.context)
    , flushTimer(environment.context)
{
}

scheduling::Moment PoolAgent::now() const { return { kernel::bootNow(), kernel::now(kernel::WallClock {}) }; }

void PoolAgent::start()
{
    this->writer = std::make_shared<RecordWriter>(this->environment.context, this->environment.store,
        this->service, this->term,
        RecordCallbacks {
            unlessClosed([](PoolAgent& self, const jobs::JobId& job) { self.onJobEnded(job); }),
            unlessClosed([](PoolAgent& self, const jobs::JobId& job) {
                kernel::logEvent(
                    "job-cancelled", { { "job", job.text() }, { "reason", "cancelled in the store" } });
                self.apply(scheduling::JobCancelled { job });
                // If the job has ended here meanwhile, its own record need not be written any more.
                self.scheduler->recordWritten(job);
            }),
            unlessClosed([](PoolAgent& self) { self.onSuperseded(); }),
            unlessClosed([](PoolAgent& self, std::uint64_t batch) { self.onFlushed(batch); }),
        });
    this->termStartedAt = kernel::bootNow();
    load();
}

void PoolAgent::onJobEnded(const jobs::JobId& job)
{
    if (const auto accepted = this->scheduler->acceptedAt(job)) {
        this->jobTimes.observe(static_cast<double>((now().wall - *accepted).milliseconds));
    }
    this->scheduler->recordWritten(job);
}

void PoolAgent::retryLoad(const kernel::Error& error)
{
    kernel::logEvent("pool-not-read",
        { { "pool", this->service.text() }, { "code", number(error.code) }, { "reason", error.found } });
    kernel::callLater(
        this->environment.context, retryInterval, [self = shared_from_this()] { self->load(); });
}

void PoolAgent::load()
{
    if (this->closed) {
        return;
    }
    this->environment.store->list(keys::progressOf(this->service),
        [self = shared_from_this()](const kernel::Expected<store::Listing>& progress) {
            if (!progress) {
                self->retryLoad(progress.error());
            } else if (self->loaded) {
                self->readPool(*progress, {});
            } else {
                self->readRecordedUpstreams(*progress);
            }
        });
}

void PoolAgent::readRecordedUpstreams(const store::Listing& progress)
{
    this->environment.store->read(keys::usedUpstreams(this->service),
        [self = shared_from_this(), progress](const kernel::Expected<std::optional<store::Entry>>& entry) {
            if (!entry) {
                self->retryLoad(entry.error());
                return;
            }
            const auto used = *entry ? jobs::decodeUsedUpstreams((*entry)->value) : std::nullopt;
            if (*entry && !used) {
                kernel::logEvent("used-upstreams-unreadable",
                    { { "pool", self->service.text() }, { "revision", (*entry)->revision.value } });
            }
            self->readPool(progress,
                { used.value_or(jobs::UsedUpstreams {}), *entry ? (*entry)->revision : store::Revision {} });
        });
}

void PoolAgent::readPool(const store::Listing& progress, const RecordedUpstreams& previouslyRecorded)
{
    // The jobs are read after the progress: a job that ends between the two reads is then absent, instead of
    // being listed without its progress as if it had not begun.
    this->environment.store->list(keys::pool(this->service),
        [self = shared_from_this(), progress, previouslyRecorded](
            const kernel::Expected<store::Listing>& pool) {
            if (self->closed) {
                return;
            }
            if (!pool) {
                self->retryLoad(pool.error());
            } else if (self->loaded) {
                self->cancelMissing(*pool);
                self->addJobs(*pool, progress, false);
                self->watch(pool->asOf);
            } else {
                self->startScheduling(*pool, progress, previouslyRecorded);
            }
        });
}

void PoolAgent::startScheduling(
    const store::Listing& pool, const store::Listing& progress, const RecordedUpstreams& previouslyRecorded)
{
    const auto readAt = kernel::bootNow();
    this->loaded = true;
    const auto& used = previouslyRecorded.used;
    this->recordLimitsLeases = !used.leaseLeft.empty();
    if (!this->recordLimitsLeases) {
        this->recordedUpstreams.insert(used.ids.begin(), used.ids.end());
    }
    this->recordedUpstreamsRevision = previouslyRecorded.revision;
    std::vector<UpstreamId> ids;
    ids.reserve(used.ids.size());
    for (const auto& id : used.ids) {
        ids.emplace_back(id);
    }
    std::map<UpstreamId, Duration> leaseLeft;
    for (const auto& [id, left] : used.leaseLeft) {
        leaseLeft.emplace(UpstreamId { id }, left);
    }
    this->scheduler.emplace(
        makePolicy(this->taskLease, this->environment.taskLease), this->term.value, now(), ids, leaseLeft);
    this->unreconciled = ids.size();
    this->stallLog.emplace(this->service, this->environment.metrics, this->termStartedAt);
    addJobs(pool, progress, true);
    kernel::logEvent("pool-loaded",
        { { "pool", this->service.text() }, { "term", this->term.value },
            { "jobs", this->scheduler->jobCount() }, { "used", used.ids.size() },
            { "limited", used.leaseLeft.size() }, { "used_revision", previouslyRecorded.revision.value },
            { "revision", pool.asOf.value }, { "read_ms", (readAt - this->termStartedAt).milliseconds },
            { "load_ms", (kernel::bootNow() - this->termStartedAt).milliseconds } });
    this->watched = pool.asOf;
    applyMembers();
    watch(pool.asOf);
    tick();
}

void PoolAgent::addJobs(const store::Listing& pool, const store::Listing& progress, bool mayHaveStarted)
{
    std::map<std::string, const store::Entry*> progressOf;
    for (const auto& entry : progress.entries) {
        progressOf[entry.key.substr(keys::progressOf(this->service).size())] = &entry;
    }
    const auto prefix = keys::jobsOf(this->service);
    for (const auto& entry : pool.entries) {
        if (entry.key.starts_with(keys::drainsOf(this->service))) {
            onDrain(entry.key, entry);
        }
        if (!entry.key.starts_with(prefix)) {
            continue;
        }
        // Jobs from the watch have been added already, and may have ended since the listing was read.
        if (entry.revision <= this->watched) {
            continue;
        }
        const auto found = progressOf.find(entry.key.substr(prefix.size()));
        const bool begun = found != progressOf.end();
        const auto job = jobs::decodeJob(entry.value);
        const auto record = begun ? jobs::decodeRecord(found->second->value) : jobs::Record {};
        if (!job || !record) {
            kernel::logEvent(
                "job-unreadable", { { "key", entry.key }, { "revision", entry.revision.value } });
            continue;
        }
        // Without progress the record still has the revision at which it was created together with the job.
        this->writer->setRevision(job->id, begun ? found->second->revision : entry.revision);
        // Inactive while adding, so that the next event schedules all added jobs in one pass.
        this->scheduler->setActive(false);
        // The previous owner cannot have started tasks of a job that was created after the term began.
        this->scheduler->apply(
            scheduling::JobAdded { *job, *record, mayHaveStarted && entry.created.value < this->term.value },
            now());
    }
}

void PoolAgent::cancelMissing(const store::Listing& pool)
{
    std::set<std::string> present;
    for (const auto& entry : pool.entries) {
        present.insert(entry.key);
    }
    for (const auto& job : this->scheduler->openJobs()) {
        if (!present.contains(keys::job(this->service, job))) {
            kernel::logEvent("job-cancelled", { { "job", job.text() }, { "revision", pool.asOf.value } });
            apply(scheduling::JobCancelled { job });
        }
    }
    const auto known = this->drains;
    for (const auto& [vm, drain] : known) {
        const auto key = keys::drain(this->service, model::VmId { vm });
        if (!present.contains(key)) {
            onDrain(key, std::nullopt);
        }
    }
}

void PoolAgent::watch(store::Revision after)
{
    this->watched = after;
    this->environment.store->watch(keys::pool(this->service), after, watchWait,
        [self = shared_from_this(), after](const store::WatchOutcome& outcome) {
            if (self->closed) {
                return;
            }
            std::visit(kernel::Overloaded {
                           [&](const store::KeyEvents& changes) {
                               self->onKeyEvents(changes.events);
                               self->watch(std::max(changes.asOf, after));
                           },
                           [&](const store::HistoryGone&) { self->load(); },
                           [&](const kernel::Error& error) {
                               kernel::logEvent("pool-not-watched",
                                   { { "pool", self->service.text() }, { "code", number(error.code) },
                                       { "reason", error.found }, { "revision", after.value } });
                               kernel::callLater(self->environment.context, retryInterval,
                                   [self, after] { self->closed ? void() : self->watch(after); });
                           },
                       },
                outcome);
        });
}

void PoolAgent::onKeyEvents(const std::vector<store::KeyEvent>& events)
{
    // Only the last event of each key is applied, so that a job that is cancelled already is not started.
    std::map<std::string, const store::KeyEvent*> last;
    const auto keyOf = [](const store::KeyEvent& event) {
        return std::visit([](const auto& specific) { return specific.key; }, event);
    };
    for (const auto& event : events) {
        last[keyOf(event)] = &event;
    }
    for (const auto& event : events) {
        if (last.at(keyOf(event)) == &event) {
            onKeyEvent(event);
        }
    }
}

void PoolAgent::onKeyEvent(const store::KeyEvent& event)
{
    const auto prefix = keys::jobsOf(this->service);
    std::visit(kernel::Overloaded {
                   [&](const store::Entry& entry) {
                       if (entry.key.starts_with(keys::drainsOf(this->service))) {
                           onDrain(entry.key, entry);
                       }
                       if (!entry.key.starts_with(prefix)) {
                           return;
                       }
                       const auto job = jobs::decodeJob(entry.value);
                       if (!job) {
                           kernel::logEvent("job-unreadable",
                               { { "key", entry.key }, { "revision", entry.revision.value } });
                           return;
                       }
                       kernel::logEvent("job-seen",
                           { { "job", job->id.text() }, { "pool", this->service.text() },
                               { "revision", entry.revision.value }, { "steps", describeSteps(*job) } });
                       if (this->writer->revisionOf(job->id).value == 0) {
                           this->writer->setRevision(job->id, entry.revision);
                       }
                       apply(scheduling::JobAdded { *job });
                   },
                   [&](const store::Removed& removed) {
                       if (removed.key.starts_with(keys::drainsOf(this->service))) {
                           onDrain(removed.key, std::nullopt);
                       }
                       if (!removed.key.starts_with(prefix)) {
                           return;
                       }
                       const jobs::JobId job { removed.key.substr(prefix.size()) };
                       // A write of the final state by this owner is in flight: either it caused the removal,
                       // or it fails with a conflict, which is handled then.
                       if (this->writer->isEnding(job)) {
                           return;
                       }
                       const auto state = this->scheduler->stateOf(job);
                       if (state && !jobs::isFinal(*state)) {
                           kernel::logEvent("job-cancelled",
                               { { "job", job.text() }, { "revision", removed.revision.value } });
                           apply(scheduling::JobCancelled { job });
                       }
                   },
               },
        event);
}

bool PoolAgent::mayStartTasks()
{
    const auto age = this->environment.maxViewAge(this->watched);
    const auto permission = decideStarts(this->environment.mayStartTasks(), age, viewAgeLimit);
    const bool allowed = std::holds_alternative<StartsAllowed>(permission);
    if (this->startPermission != permission) {
        this->startPermission.emplace(permission);
        kernel::logEvent(allowed ? "starts-resumed" : "starts-held",
            { { "pool", this->service.text() }, { "term", this->term.value },
                { "reason", reasonOf(permission) }, { "revision", this->watched.value },
                { "age_ms", ageText(age) } });
    }
    return allowed;
}

void PoolAgent::apply(const scheduling::Event& event)
{
    this->scheduler->setActive(mayStartTasks());
    for (const auto& order : this->scheduler->apply(event, now())) {
        execute(order);
    }
    scheduleFlush();
}

void PoolAgent::execute(const scheduling::Order& order)
{
    std::visit(
        [&](const auto& specific) {
            const auto agent = this->upstreamAgents.find(specific.upstream);
            if (agent != this->upstreamAgents.end()) {
                execute(specific, *agent->second);
            }
        },
        order);
}

void PoolAgent::execute(const scheduling::StartTask& order, UpstreamAgent& upstream)
{
    const auto& reading = upstream.clockReading();
    kernel::logEvent("task-start",
        { { "task", jobs::toText(order.task) }, { "run", order.run.value },
            { "upstream", order.upstream.text() }, { "resumes", order.checkpoint.empty() ? "no" : "yes" },
            { "born", reading ? reading->incarnation.milliseconds : 0 },
            { "clock_age_ms", reading ? (kernel::bootNow() - reading->received).milliseconds : 0 } });
    this->startCounter.increment();
    this->stallLog->recordStart(kernel::bootNow());
    ++this->startsInFlight;
    const auto permission = [self = shared_from_this()] { return !self->closed && self->mayStartTasks(); };
    upstream.startTask(order, permission,
        [self = shared_from_this(), id = order.upstream, task = order.task, run = order.run,
            agent = upstream.weak_from_this()](const StartReport& report) {
            --self->startsInFlight;
            if (self->closed) {
                return;
            }
            std::visit(
                kernel::Overloaded {
                    [&](const ports::StartAnswer& answer) {
                        const auto result = answer.result;
                        if (result != scheduling::StartResult::Started) {
                            kernel::logEvent("task-not-started",
                                { { "task", jobs::toText(task) }, { "run", run.value },
                                    { "upstream", id.text() }, { "result", scheduling::name(result) } });
                        }
                        self->apply(scheduling::StartAnswered {
                            id, task, run, result, report.restarted, report.fence.value });
                    },
                    [&](const ports::Superseded&) { self->onSuperseded(); },
                    [&](const ports::OtherUpstream&) { self->onAddressReused(id, agent); },
                },
                report.outcome);
        });
}

void PoolAgent::execute(const scheduling::StopTask& order, UpstreamAgent& upstream)
{
    kernel::logEvent("task-stop",
        { { "task", jobs::toText(order.task) }, { "run", order.run.value },
            { "upstream", order.upstream.text() }, { "reason", order.reason } });
    upstream.stopTask(order,
        [self = shared_from_this(), order, sent = kernel::bootNow(), agent = upstream.weak_from_this()](
            const ports::OrderOutcome& outcome) {
            if (self->closed) {
                return;
            }
            std::visit(kernel::Overloaded {
                           [&](bool answered) {
                               self->apply(scheduling::StopAnswered {
                                   order.upstream, order.task, order.run, answered, sent });
                           },
                           [&](const ports::Superseded&) { self->onSuperseded(); },
                           [&](const ports::OtherUpstream&) { self->onAddressReused(order.upstream, agent); },
                       },
                outcome);
        });
}

void PoolAgent::execute(const scheduling::PaceTask& order, UpstreamAgent& upstream)
{
    kernel::logEvent("task-pace",
        { { "task", jobs::toText(order.task) }, { "run", order.run.value },
            { "upstream", order.upstream.text() }, { "percent", order.percent } });
    upstream.paceTask(order, [self = shared_from_this(), order](const ports::OrderOutcome& outcome) {
        if (!self->closed && std::holds_alternative<ports::Superseded>(outcome)) {
            self->onSuperseded();
        }
    });
}

UpstreamCallbacks PoolAgent::upstreamCallbacks()
{
    return {
        .onTasks = unlessClosed(
            [](PoolAgent& self, const UpstreamId& id, const ports::Tasks& tasks, kernel::Instant sent,
                ports::Term fence) { self.onTasks(id, tasks, sent, fence); }),
        .onUnresponsive
        = unlessClosed([](PoolAgent& self, const UpstreamId& id, kernel::Instant lastRenewal) {
              self.apply(scheduling::UpstreamUnresponsive { id, lastRenewal });
          }),
        .onReplaced
        = unlessClosed([](PoolAgent& self, const UpstreamId& id) { self.onUpstreamReplaced(id); }),
        .onSuperseded = unlessClosed([](PoolAgent& self) { self.onSuperseded(); }),
        .mayRenewLeases =
            [weak = weak_from_this()] {
                const auto self = weak.lock();
                return self && !self->recordLimitsLeases && self->environment.mayRenewLeases();
            },
        .needsFrequentPolling =
            [weak = weak_from_this()](const UpstreamId& id) {
                const auto self = weak.lock();
                return self && self->scheduler->needsFrequentPolling(id);
            },
        .latestFence =
            [weak = weak_from_this(), ownTerm = this->term] {
                const auto self = weak.lock();
                return self ? self->writer->latestFence() : ownTerm;
            },
    };
}

void PoolAgent::onTasks(
    const UpstreamId& id, const ports::Tasks& tasks, kernel::Instant sent, ports::Term fence)
{
    auto& seen = this->seenEnds[id];
    if (seen.incarnation != tasks.born) {
        seen = { tasks.born, 0 };
    }
    for (const auto& end : tasks.ended) {
        if (end.number > seen.last) {
            this->environment.metrics->count("wasabiroad_task_ends_total",
                { { "pool", this->service.text() }, { "kind", std::string { scheduling::name(end.kind) } } });
            kernel::logEvent("task-ended",
                { { "task", jobs::toText(end.task) }, { "run", end.run.value }, { "upstream", id.text() },
                    { "kind", scheduling::name(end.kind) }, { "number", end.number } });
        }
    }
    apply(scheduling::TasksListed {
        id, tasks.born, sent, tasks.running, tasks.ended, tasks.moreEnds, fence.value });
    if (!this->recordedUpstreams.contains(id.text()) && !this->writingRecordedUpstreams) {
        applyMembers();
    }
    const auto last = this->scheduler->lastEndNumber(id);
    if (last != this->seenEnds[id].last || !tasks.ended.empty()) {
        this->seenEnds[id] = { tasks.born, last };
        this->endsToAcknowledge[id] = { tasks.born, last };
        scheduleFlush();
    }
}

void PoolAgent::scheduleFlush()
{
    if (!this->scheduler->hasChange() && this->endsToAcknowledge.empty()) {
        return;
    }
    if (this->flushScheduled && !this->scheduler->hasUrgentChange()) {
        return;
    }
    this->flushScheduled = true;
    this->flushTimer.start(this->scheduler->hasUrgentChange() ? urgentFlushDelay : flushDelay,
        [self = shared_from_this()] { self->flush(); });
}

void PoolAgent::flush()
{
    this->flushScheduled = false;
    if (this->closed) {
        return;
    }
    auto ends = std::exchange(this->endsToAcknowledge, {});
    const auto batch = this->writer->write(this->scheduler->takeChanges());
    if (this->writer->isBusy()) {
        this->endsByBatch[batch] = std::move(ends);
        return;
    }
    acknowledge(ends);
}

void PoolAgent::acknowledge(const TaskEnds& ends)
{
    for (const auto& [id, listed] : ends) {
        if (const auto agent = this->upstreamAgents.find(id); agent != this->upstreamAgents.end()) {
            agent->second->acknowledge(listed.incarnation, listed.last);
        }
    }
    reportDrained();
}

void PoolAgent::onFlushed(std::uint64_t batch)
{
    const auto later = this->endsByBatch.upper_bound(batch);
    for (auto ends = this->endsByBatch.begin(); ends != later; ++ends) {
        acknowledge(ends->second);
    }
    this->endsByBatch.erase(this->endsByBatch.begin(), later);
}

void PoolAgent::tick()
{
    if (this->closed) {
        return;
    }
    this->tickTimer.start(tickInterval, [self = shared_from_this()] { self->tick(); });
    this->lastTickAt = kernel::bootNow();
    apply(scheduling::Tick {});
    logExpiries();
    logReconciled();
    checkUnheard();
    if (kernel::bootNow() - this->membersAppliedAt >= membersUpdateInterval) {
        applyMembers();
    }
    closeUnusedAgents();
    reportDrained();
    publishReport();
    if (const auto at = now(); this->stallLog->tick(at.steady)) {
        this->stallLog->report(ownerState(at), this->scheduler->waitingReasons(at), at.steady);
    }
}

void PoolAgent::checkUnheard()
{
    const auto at = kernel::bootNow();
    std::map<UpstreamId, kernel::Instant> current;
    for (const auto& id : this->scheduler->unheardUpstreams()) {
        const auto known = this->unheardSince.find(id);
        current.emplace(id, known != this->unheardSince.end() ? known->second : at);
    }
    this->unheardSince.swap(current);
    const auto interval
        = vmListInterval * (1 + static_cast<std::int64_t>(this->vmCount / vmsPerListInterval));
    if (this->listingVms || at - this->lastVmList < interval
        || std::ranges::none_of(
            this->unheardSince, [&](const auto& entry) { return at - entry.second >= unheardLimit; })) {
        return;
    }
    this->listingVms = true;
    this->lastVmList = at;
    this->environment.fleet->listVms(
        [self = shared_from_this(), at](const kernel::Expected<ports::VmListing>& listing) {
            self->listingVms = false;
            if (listing && !self->closed) {
                self->onVms(*listing, at);
            }
        });
}

void PoolAgent::onVms(const ports::VmListing& listing, kernel::Instant requested)
{
    this->vmCount = listing.vms.size();
    std::set<UpstreamId> unheard;
    kernel::Instant longest = requested;
    const auto isYoung = [&](const UpstreamId& id) {
        const auto agent = this->upstreamAgents.find(id);
        const auto reached = agent != this->upstreamAgents.end() ? agent->second->reachedAt() : std::nullopt;
        return reached && requested - *reached < vmListDelay;
    };
    for (const auto& id : this->scheduler->unheardUpstreams()) {
        const auto since = this->unheardSince.find(id);
        if (since != this->unheardSince.end() && requested - since->second >= unheardLimit && !isYoung(id)) {
            unheard.insert(id);
            longest = std::min(longest, since->second);
        }
    }
    // Pages of a list are no snapshot, so a second list has to agree.
    const auto missingBefore
        = std::exchange(this->missingUpstreams, findDownUpstreams(this->service, unheard, listing));
    std::set<UpstreamId> down;
    std::ranges::set_intersection(missingBefore, this->missingUpstreams, std::inserter(down, down.end()));
    if (!unheard.empty()) {
        kernel::logEvent("upstreams-unheard",
            { { "pool", this->service.text() }, { "term", this->term.value }, { "upstreams", unheard.size() },
                { "first", unheard.begin()->text() }, { "longest_ms", (requested - longest).milliseconds },
                { "down", down.size() }, { "vms", listing.vms.size() },
                { "complete", listing.complete ? "yes" : "no" } });
    }
    for (const auto& id : down) {
        kernel::logEvent("upstream-down", { { "upstream", id.text() }, { "pool", this->service.text() } });
        apply(scheduling::UpstreamDown { id });
    }
}

OwnerState PoolAgent::ownerState(scheduling::Moment at) const
{
    std::size_t recorded = 0;
    std::size_t answering = 0;
    for (const auto& facts : this->members) {
        const auto agent = this->upstreamAgents.find(facts.id);
        recorded += this->recordedUpstreams.contains(facts.id.text()) ? 1 : 0;
        answering += agent != this->upstreamAgents.end() && agent->second->isAnswering() ? 1 : 0;
    }
    const auto age = this->environment.maxViewAge(this->watched);
    return { this->term.value, decideStarts(this->environment.mayStartTasks(), age, viewAgeLimit), age,
        at.steady - this->environment.upstreamsUpdatedAt(), this->members.size(), recorded, answering,
        this->writingRecordedUpstreams, this->writer->unwrittenCount() };
}

void PoolAgent::logExpiries()
{
    for (const auto& expiry : this->scheduler->takeExpiries()) {
        const auto agent = this->upstreamAgents.find(expiry.upstream);
        const auto renewed
            = agent != this->upstreamAgents.end() ? agent->second->lastRenewalSent() : kernel::Instant {};
        this->environment.metrics->count("wasabiroad_leases_expired_total",
            { { "pool", this->service.text() } }, static_cast<double>(expiry.tasks));
        kernel::logEvent("leases-expired",
            { { "upstream", expiry.upstream.text() }, { "pool", this->service.text() },
                { "term", this->term.value }, { "born", expiry.born.milliseconds }, { "tasks", expiry.tasks },
                { "left", expiry.left }, { "granted_ms", expiry.sinceGrant.milliseconds },
                { "list_age_ms", expiry.sinceList.milliseconds },
                { "renewed_ms", (kernel::bootNow() - renewed).milliseconds } });
    }
}

void PoolAgent::logReconciled()
{
    const auto count = this->scheduler->unreconciledCount();
    if (this->unreconciled > 0 && count == 0) {
        kernel::logEvent("former-starts-settled",
            { { "pool", this->service.text() }, { "term", this->term.value },
                { "after_ms", (kernel::bootNow() - this->termStartedAt).milliseconds },
                { "last_unheard", this->unreconciled } });
    }
    this->unreconciled = count;
}

void PoolAgent::publishReport()
{
    const auto at = now();
    const auto age = at.steady - this->lastPublishedAt;
    if (this->publishing || age < risingReportInterval) {
        return;
    }
    const auto demand = this->scheduler->demand(at);
    const auto demandedCpu = std::max(demand.wanted.cpu, demand.arriving);
    if (age < reportInterval
        && demandedCpu <= this->reportedDemand + this->reportedDemand / demandRiseDivisor) {
        return;
    }
    const auto footprint = this->scheduler->footprint();
    const auto effort = this->scheduler->effort();
    const auto spent = effort - this->countedEffort.value_or(scheduling::Effort {});
    this->countedEffort.emplace(effort);
    countEffort(spent);
    kernel::logEvent("pool-state",
        { { "pool", this->service.text() }, { "members", this->members.size() },
            { "releasable", demand.releasable.size() }, { "jobs", this->scheduler->jobCount() },
            { "cpu_wanted", demand.wanted.cpu }, { "cpu_taken", demand.taken.cpu },
            { "cpu_room", demand.room.cpu }, { "memory_wanted", demand.wanted.memory },
            { "memory_taken", demand.taken.memory }, { "memory_room", demand.room.memory },
            { "cpu_arriving", demand.arriving }, { "spread", demand.spread },
            { "drains", this->drains.size() }, { "emptied", this->reportedDrained.size() },
            { "starting", this->startsInFlight }, { "held_steps", footprint.steps },
            { "held_tasks", footprint.tasks }, { "job_looks", spent.jobs }, { "step_looks", spent.steps },
            { "upstream_looks", spent.upstreams },
            { "watch_age_ms", ageText(this->environment.maxViewAge(this->watched)) },
            { "members_age_ms", (at.steady - this->environment.upstreamsUpdatedAt()).milliseconds } });
    std::vector<std::string> releasable;
    releasable.reserve(demand.releasable.size());
    for (const auto& id : demand.releasable) {
        releasable.push_back(id.text());
    }
    const jobs::PoolReport report { this->scheduler->pendingCounts(), demand.wanted, demand.taken,
        demand.spread, std::move(releasable), demand.arriving, this->watched.value, demand.room };
    if (age < refreshInterval && this->publishedReport && hasSameContent(report, *this->publishedReport)) {
        return;
    }
    this->publishing = true;
    this->lastPublishedAt = at.steady;
    this->reportedDemand = demandedCpu;
    this->writer->put({ keys::report(this->service), jobs::encode(report) },
        [self = shared_from_this(), report](const store::ChangeOutcome& outcome) {
            self->publishing = false;
            if (std::holds_alternative<store::Committed>(outcome)) {
                self->publishedReport.emplace(report);
            }
        });
}

void PoolAgent::countEffort(const scheduling::Effort& spent)
{
    const auto count = [&](const char* what, std::uint64_t amount) {
        this->environment.metrics->count("wasabiroad_scheduler_looks_total",
            { { "pool", this->service.text() }, { "at", what } }, static_cast<double>(amount));
    };
    count("jobs", spent.jobs);
    count("steps", spent.steps);
    count("upstreams", spent.upstreams);
}

void PoolAgent::setUpstreams(const std::vector<scheduling::UpstreamFacts>& all)
{
    std::vector<scheduling::UpstreamFacts> own;
    std::ranges::copy_if(
        all, std::back_inserter(own), [&](const auto& facts) { return facts.service == this->service; });
    this->members.swap(own);
    if (this->loaded && !this->closed) {
        applyMembers();
    }
}

void PoolAgent::applyMembers()
{
    this->membersAppliedAt = kernel::bootNow();
    std::erase_if(this->replacedAt, [&](const auto& entry) { return !isReplaced(entry.first); });
    startUpstreamAgents();
    std::vector<scheduling::UpstreamFacts> usable;
    std::ranges::copy_if(this->members, std::back_inserter(usable), [&](const auto& facts) {
        return this->recordedUpstreams.contains(facts.id.text()) && !isReplaced(facts.id);
    });
    apply(scheduling::MembersListed { std::move(usable) });
    if (const auto wanted = upstreamsInUse();
        (this->recordLimitsLeases || wanted != this->recordedUpstreams) && !this->writingRecordedUpstreams) {
        writeRecordedUpstreams(wanted);
    }
}

std::set<std::string> PoolAgent::upstreamsInUse() const
{
    std::set<std::string> ids;
    for (const auto& [id, agent] : this->upstreamAgents) {
        // A drained upstream answers until its VM leaves; if it stayed recorded, the next owner would wait
        // for it.
        const bool mayGetTasks = agent->isAnswering() && !isDrained(id);
        // An upstream with unrecorded ends stays recorded, or the next owner would start these tasks again
        // before it hears of their ends.
        if (mayGetTasks || this->scheduler->hasTasks(id) || agent->hasUnrecordedEnds()) {
            ids.insert(id.text());
        }
    }
    // Tasks of the previous owner may run there until their leases have expired.
    for (const auto& id : this->scheduler->unreconciledUpstreams()) {
        ids.insert(id.text());
    }
    for (const auto& id : this->recordedUpstreams) {
        if (this->scheduler->hasTasks(UpstreamId { id })) {
            ids.insert(id);
        }
    }
    return ids;
}

bool PoolAgent::hasUnrecordedEnds(const UpstreamId& id) const
{
    const auto agent = this->upstreamAgents.find(id);
    return agent != this->upstreamAgents.end() && agent->second->hasUnrecordedEnds();
}

bool PoolAgent::isDrained(const UpstreamId& id) const
{
    return this->scheduler->isDrained(id) && !hasUnrecordedEnds(id);
}

void PoolAgent::writeRecordedUpstreams(const std::set<std::string>& ids)
{
    this->writingRecordedUpstreams = true;
    // No task is started on an upstream while its removal from the record is in flight.
    std::erase_if(this->recordedUpstreams, [&](const auto& id) { return !ids.contains(id); });
    this->writer->replace({ keys::usedUpstreams(this->service),
                              jobs::encode(std::vector<std::string> { ids.begin(), ids.end() }) },
        this->recordedUpstreamsRevision,
        [self = shared_from_this(), ids](const store::ChangeOutcome& outcome) {
            self->writingRecordedUpstreams = false;
            if (!self->closed) {
                self->onUpstreamsRecorded(ids, outcome);
            }
        });
}

void PoolAgent::onUpstreamsRecorded(const std::set<std::string>& ids, const store::ChangeOutcome& outcome)
{
    if (const auto* const committed = std::get_if<store::Committed>(&outcome)) {
        this->recordedUpstreamsRevision = committed->revision;
        this->recordedUpstreams = ids;
        this->recordLimitsLeases = false;
        applyMembers();
    } else if (const auto* const conflict = std::get_if<store::Conflict>(&outcome)) {
        // An earlier write without an answer was applied; the next write replaces it.
        const auto key = keys::usedUpstreams(this->service);
        const auto found = std::ranges::find(conflict->current, key, &store::Entry::key);
        this->recordedUpstreamsRevision
            = found != conflict->current.end() ? found->revision : store::Revision {};
    }
}

void PoolAgent::onDrain(const std::string& key, const std::optional<store::Entry>& entry)
{
    const auto vm = key.substr(keys::drainsOf(this->service).size());
    const auto drain = entry ? jobs::decodeDrain(entry->value) : std::nullopt;
    this->drains.erase(vm);
    if (drain) {
        this->drains.emplace(vm, RequestedDrain { *drain, entry->revision });
    } else if (entry) {
        kernel::logEvent("drain-unreadable", { { "vm", vm }, { "pool", this->service.text() } });
    }
    this->reportedDrained.erase(vm);
    std::vector<scheduling::Drain> all;
    all.reserve(this->drains.size());
    for (const auto& [name, known] : this->drains) {
        all.push_back({ UpstreamId { known.drain.upstream }, known.drain.stopsTasks });
    }
    kernel::logEvent("drain-changed",
        { { "vm", vm }, { "upstream", drain ? drain->upstream : "" },
            { "stops_tasks", drain && drain->stopsTasks ? "yes" : "no" } });
    apply(scheduling::DrainsChanged { std::move(all) });
    reportDrained();
}

void PoolAgent::reportDrained()
{
    for (const auto& [vm, request] : this->drains) {
        const auto& upstream = request.drain.upstream;
        if (this->reportedDrained.contains(vm) || !isDrained(UpstreamId { upstream })) {
            continue;
        }
        this->reportedDrained.insert(vm);
        // A report that is written late must not count for a later drain of the same upstream.
        const store::Condition sameDrain { keys::drain(this->service, model::VmId { vm }), request.revision };
        this->writer->putIf({ keys::drainedVms + vm, upstream }, sameDrain,
            [self = shared_from_this(), vm = vm, upstream = upstream](const store::ChangeOutcome& outcome) {
                if (std::holds_alternative<store::Committed>(outcome)) {
                    kernel::logEvent("vm-emptied", { { "vm", vm }, { "upstream", upstream } });
                } else if (!std::holds_alternative<store::Conflict>(outcome)) {
                    self->reportedDrained.erase(vm);
                }
            });
    }
}

void PoolAgent::startUpstreamAgents()
{
    for (const auto& facts : this->members) {
        if (isReplaced(facts.id)) {
            continue;
        }
        const auto existing = this->upstreamAgents.find(facts.id);
        if (existing != this->upstreamAgents.end() && existing->second->facts().address == facts.address) {
            continue;
        }
        if (existing != this->upstreamAgents.end()) {
            existing->second->close();
            this->upstreamAgents.erase(existing);
        }
        const auto link = this->environment.upstreams->open(facts);
        if (!link) {
            kernel::logEvent("upstream-unusable",
                { { "upstream", facts.id.text() }, { "address", facts.address },
                    { "code", number(link.error().code) } });
            continue;
        }
        auto agent = std::make_shared<UpstreamAgent>(
            this->environment.context, *link, facts, this->taskLease, upstreamCallbacks());
        this->upstreamAgents.emplace(facts.id, agent);
        agent->start();
    }
}

void PoolAgent::closeUnusedAgents()
{
    std::set<UpstreamId> memberIds;
    std::ranges::transform(
        this->members, std::inserter(memberIds, memberIds.end()), [](const auto& facts) { return facts.id; });
    for (auto agent = this->upstreamAgents.begin(); agent != this->upstreamAgents.end();) {
        if (memberIds.contains(agent->first) || this->scheduler->hasTasks(agent->first)
            || this->scheduler->isUnreconciled(agent->first) || agent->second->hasUnrecordedEnds()) {
            ++agent;
            continue;
        }
        const auto id = agent->first;
        agent->second->close();
        this->seenEnds.erase(id);
        agent = this->upstreamAgents.erase(agent);
        apply(scheduling::UpstreamUnresponsive { id });
    }
}

void PoolAgent::onUpstreamReplaced(const UpstreamId& id)
{
    const auto agent = this->upstreamAgents.find(id);
    if (agent == this->upstreamAgents.end()) {
        return;
    }
    kernel::logEvent("upstream-replaced", { { "upstream", id.text() } });
    agent->second->close();
    this->upstreamAgents.erase(agent);
    this->seenEnds.erase(id);
    // The directory may still list it and be right: a late answer can come from an earlier address.
    this->replacedAt.insert_or_assign(id, kernel::bootNow());
    apply(scheduling::UpstreamReplaced { id });
}

void PoolAgent::onAddressReused(const UpstreamId& id, const std::weak_ptr<UpstreamAgent>& caller)
{
    const auto agent = this->upstreamAgents.find(id);
    if (agent != this->upstreamAgents.end() && agent->second == caller.lock()) {
        onUpstreamReplaced(id);
    }
}

bool PoolAgent::isReplaced(const UpstreamId& id) const
{
    const auto found = this->replacedAt.find(id);
    return found != this->replacedAt.end() && kernel::bootNow() - found->second < replacedPause;
}

void PoolAgent::onSuperseded()
{
    if (!this->closed) {
        kernel::logEvent(
            "pool-superseded", { { "pool", this->service.text() }, { "term", this->term.value } });
        close();
    }
}

std::optional<jobs::JobState> PoolAgent::stateOf(const jobs::JobId& job) const
{
    return this->loaded && !this->closed ? this->scheduler->stateOf(job) : std::nullopt;
}

std::optional<jobs::PendingCounts> PoolAgent::pendingCounts() const
{
    return this->loaded && !this->closed ? std::optional { this->scheduler->pendingCounts() } : std::nullopt;
}

void PoolAgent::handOver(std::function<void()> done)
{
    if (!this->loaded || this->closed || this->writingRecordedUpstreams) {
        close();
        done();
        return;
    }
    const auto ids = upstreamsInUse();
    // From here on no lease is renewed, so their ends are known.
    close();
    const auto at = now();
    std::map<std::string, Duration> leaseLeft;
    for (const auto& id : ids) {
        const auto agent = this->upstreamAgents.find(UpstreamId { id });
        const auto lastRenewal
            = agent != this->upstreamAgents.end() ? agent->second->lastRenewalSent() : kernel::Instant {};
        leaseLeft.emplace(id, this->scheduler->leaseLeft(UpstreamId { id }, lastRenewal, at));
    }
    this->writer->replace({ keys::usedUpstreams(this->service),
                              jobs::encode(jobs::UsedUpstreams { { ids.begin(), ids.end() }, leaseLeft }) },
        this->recordedUpstreamsRevision,
        [self = shared_from_this(), done = std::move(done)](const store::ChangeOutcome& outcome) {
            kernel::logEvent("pool-handed-over",
                { { "pool", self->service.text() }, { "term", self->term.value },
                    { "recorded", std::holds_alternative<store::Committed>(outcome) ? "yes" : "no" } });
            done();
        });
}

DutyHealth PoolAgent::health() const
{
    const auto at = kernel::bootNow();
    if (this->closed) {
        return DutyEnded { "superseded" };
    }
    if (!this->loaded) {
        return at - this->termStartedAt > loadTimeout ? DutyHealth { DutyHindered { "pool not read" } }
                                                      : DutyWorking {};
    }
    if (at - this->lastTickAt > tickTimeout) {
        return DutyHindered { "no tick" };
    }
    if (const auto age = this->environment.maxViewAge(this->watched); !age || *age > viewAgeLimit) {
        return DutyHindered { "view of the pool is outdated" };
    }
    if (at - this->environment.upstreamsUpdatedAt() > membersAgeLimit) {
        return DutyHindered { "list of upstreams is outdated" };
    }
    return DutyWorking {};
}

void PoolAgent::close()
{
    this->closed = true;
    this->tickTimer.cancel();
    this->flushTimer.cancel();
    for (const auto& [id, agent] : this->upstreamAgents) {
        agent->close();
    }
    if (this->writer) {
        this->writer->close();
    }
    if (this->stallLog) {
        this->stallLog->close();
    }
}

} // namespace wasabiroad::agent
