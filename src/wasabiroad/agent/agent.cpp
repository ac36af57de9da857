#include "wasabiroad/agent/agent.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/jobs/codec.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace wasabiroad::agent {

using kernel::Duration;
using kernel::Instant;

namespace {

/** Long-poll timeout of the operator watch: detects a dead connection within the time to apply a change. */
constexpr Duration operatorWatchWait { 1000 };

constexpr Duration retryInterval { 200 };

/** An entry VM whose last answer from the store is older reports that it is not ready. */
constexpr Duration maxAnswerAge { 2500 };

/** Maximum time to record the state of the owned pools before their duties are released. */
constexpr Duration handOverTimeout { 400 };

/** Interval in ms between reads of the reports of all pools. */
constexpr Duration reportedPoolsInterval { 60000 };

/** The same in ms while the owner of a pool has not reported, as after a restart of all daemons. */
constexpr Duration missingReportsInterval { 2000 };

/** Attempts to cancel a job whose record changes concurrently. */
constexpr int cancelAttempts = 6;

AgentContext withRevisionTracking(AgentContext agentContext, const std::shared_ptr<RevisionClock>& revisions)
{
    return { agentContext.context, agentContext.entry, agentContext.access,
        std::make_shared<const store::Store>(trackRevisions(agentContext.store, revisions)),
        agentContext.fleet, agentContext.upstreams, agentContext.metrics, agentContext.configurations,
        agentContext.incarnation, agentContext.vm };
}

} // namespace

Agent::Agent(AgentContext agentContext)
    : revisions(std::make_shared<RevisionClock>())
    , environment(withRevisionTracking(std::move(agentContext), revisions))
    , submissions(std::make_shared<Submissions>(environment.context, environment.store, environment.metrics))
    , reportedPoolsTimer(environment.context)
{
}

void Agent::start()
{
    const std::weak_ptr<Agent> weak = weak_from_this();
    this->queueCounter = std::make_shared<QueueCounter>(
        this->environment.store, this->revisions, [weak](const model::ServiceId& pool) {
            const auto self = weak.lock();
            return self ? self->ownPendingCounts(pool) : std::nullopt;
        });
    this->directory
        = std::make_shared<UpstreamDirectory>(this->environment.context, this->environment.fleet, [weak] {
              if (const auto self = weak.lock()) {
                  self->onUpstreams();
              }
          });
    this->duties = std::make_shared<Duties>(this->environment.context, this->environment.store,
        this->environment.entry, this->environment.incarnation, this->environment.vm,
        DutyHandlers {
            [weak](const std::string& duty, ports::Term term) {
                if (const auto self = weak.lock()) {
                    self->beginDuty(duty, term);
                }
            },
            [weak](const std::string& duty) {
                if (const auto self = weak.lock()) {
                    self->endDuty(duty);
                }
            },
            [weak](const std::string& duty) {
                const auto self = weak.lock();
                return self ? self->dutyHealth(duty) : DutyHealth { DutyWorking {} };
            },
        });
    this->duties->start();
    readReportedPools();
    readOperator();
}

void Agent::stop(std::function<void()> done)
{
    this->stopping = true;
    const auto release
        = [duties = this->duties, done = std::move(done), released = std::make_shared<bool>(false)] {
              if (!std::exchange(*released, true)) {
                  duties->release(done);
              }
          };
    if (this->poolAgents.empty()) {
        release();
        return;
    }
    kernel::callLater(this->environment.context, handOverTimeout, release);
    const auto remaining = std::make_shared<std::size_t>(this->poolAgents.size());
    // The release removes the agents.
    const auto owned = this->poolAgents;
    for (const auto& [service, agent] : owned) {
        agent->handOver([release, remaining] {
            if (--*remaining == 0) {
                release();
            }
        });
    }
}

void Agent::abandon()
{
    this->abandoned = true;
    this->reportedPoolsTimer.cancel();
    this->duties->abandon();
    this->directory->stop();
    for (const auto& [service, agent] : this->poolAgents) {
        agent->close();
    }
    if (this->fleetAgent) {
        this->fleetAgent->close();
    }
}

bool Agent::isReady() const
{
    return this->environment.configurations->current() != nullptr
        && kernel::bootNow() - std::max(this->lastOperatorAnswer, this->directory->lastAnswerAt())
        < maxAnswerAge;
}

void Agent::submit(jobs::Job job, Duration deadline, store::Callback<SubmitOutcome> callback)
{
    if (this->sparePools.contains(job.service)) {
        // Its VMs are switched off.
        this->submissions->answerIneligible(
            std::move(job), kernel::ResultCode::NoUpstream, std::move(callback));
        return;
    }
    this->submissions->submit(std::move(job), deadline, std::move(callback));
}

void Agent::state(
    const model::ServiceId& service, const jobs::JobId& job, store::Callback<StateOutcome> callback)
{
    for (const auto& [pool, agent] : this->poolAgents) {
        if (const auto known = agent->stateOf(job); known && this->duties->withinLeaseGrace()) {
            callback(*known);
            return;
        }
    }
    readState(service, job, true, std::move(callback));
}

void Agent::cancel(const model::ServiceId& service, const jobs::JobId& job, int attempts,
    store::Callback<StateOutcome> callback)
{
    this->environment.store->read(keys::record(service, job),
        [self = shared_from_this(), service, job, attempts, callback = std::move(callback)](
            const kernel::Expected<std::optional<store::Entry>>& entry) {
            if (!entry) {
                self->retryCancel(service, job, attempts, callback);
            } else if (!*entry) {
                self->cancelUnrecorded(service, job, attempts, callback);
            } else {
                self->cancelRecord(service, job, attempts, **entry, callback);
            }
        });
}

std::optional<PendingView> Agent::ownPendingCounts(const model::ServiceId& pool) const
{
    const auto own = this->poolAgents.find(pool);
    if (own == this->poolAgents.end() || !this->duties->withinLeaseGrace()) {
        return std::nullopt;
    }
    const auto counts = own->second->pendingCounts();
    return counts ? std::optional { PendingView { *counts, own->second->watchedRevision() } } : std::nullopt;
}

void Agent::readOperator()
{
    this->environment.fleet->readOperator(
        [self = shared_from_this()](const ports::OperatorOutcome& outcome) { self->onOperator(outcome); });
}

void Agent::readReportedPools()
{
    if (this->abandoned || this->stopping) {
        return;
    }
    this->environment.store->list(
        keys::reports, [self = shared_from_this()](const kernel::Expected<store::Listing>& reports) {
            if (self->abandoned || self->stopping) {
                return;
            }
            const bool complete = reports && self->onReports(*reports);
            const auto interval = complete ? reportedPoolsInterval
                : reports                  ? missingReportsInterval
                                           : retryInterval;
            self->reportedPoolsTimer.start(interval, [weak = self->weak_from_this()] {
                if (const auto locked = weak.lock()) {
                    locked->readReportedPools();
                }
            });
        });
}

bool Agent::onReports(const store::Listing& reports)
{
    for (const auto& entry : reports.entries) {
        this->wantedDuties.insert(keys::poolDuty + entry.key.substr(keys::reports.size()));
    }
    this->duties->setWanted(this->wantedDuties);
    const auto& configuration = this->environment.configurations->current();
    const auto reported = this->queueCounter->setReports(
        reports, configuration ? configuration->queues : std::vector<jobs::Queue> {});
    return configuration && std::ranges::all_of(this->wantedDuties, [&](const std::string& duty) {
        return duty == keys::fleetDuty
            || reported.contains(model::ServiceId { duty.substr(keys::poolDuty.size()) });
    });
}

void Agent::watchOperator(store::Revision after)
{
    this->environment.fleet->watchOperator(
        after, operatorWatchWait, [self = shared_from_this(), after](const ports::OperatorOutcome& outcome) {
            if (std::holds_alternative<kernel::Error>(outcome)) {
                kernel::callLater(
                    self->environment.context, retryInterval, [self, after] { self->watchOperator(after); });
                return;
            }
            self->onOperator(outcome);
        });
}

void Agent::onOperator(const ports::OperatorOutcome& outcome)
{
    if (this->abandoned) {
        return;
    }
    std::visit(kernel::Overloaded {
                   [&](const ports::OperatorState& state) {
                       this->lastOperatorAnswer = kernel::bootNow();
                       watchOperator(state.asOf);
                       for (const auto& wave : state.waves) {
                           this->waves.try_emplace(wave.number, wave);
                       }
                       if (state.configuration) {
                           adopt(*state.configuration);
                       }
                       updateFleetAgent();
                   },
                   [&](const store::HistoryGone&) { readOperator(); },
                   [&](const kernel::Error&) {
                       kernel::callLater(this->environment.context, retryInterval,
                           [self = shared_from_this()] { self->readOperator(); });
                   },
               },
        outcome);
}

void Agent::adopt(const jobs::Configuration& configuration)
{
    const auto& current = this->environment.configurations->current();
    if (current && current->generation >= configuration.generation) {
        return;
    }
    kernel::logEvent("configuration-adopted",
        { { "generation", configuration.generation.value }, { "queues", configuration.queues.size() } });
    this->environment.configurations->publish(std::make_shared<const jobs::Configuration>(configuration));
    // Jobs that were accepted earlier may wait in any pool whose upstreams are on, whether a queue names it
    // or not.
    for (const auto& pool : configuration.pools) {
        if (!pool.spare) {
            this->wantedDuties.insert(keys::poolDuty + pool.service.text());
        }
    }
    for (const auto& queue : configuration.queues) {
        this->wantedDuties.insert(keys::poolDuty + queue.service.text());
        this->poolsWithJobs.insert(queue.service);
    }
    this->queueCounter->setQueues(configuration.queues);
    this->sparePools.clear();
    for (const auto& pool : configuration.pools) {
        if (!pool.spare) {
            continue;
        }
        this->sparePools.insert(pool.service);
        const auto queues = std::ranges::count(configuration.queues, pool.service, &jobs::Queue::service);
        kernel::logEvent("spare-pool",
            { { "pool", pool.service.text() }, { "generation", configuration.generation.value },
                { "queues", queues } });
    }
    this->wantedDuties.insert(keys::fleetDuty);
    this->duties->setWanted(this->wantedDuties);
}

void Agent::updateFleetAgent()
{
    if (this->fleetAgent) {
        this->fleetAgent->setPools(this->poolsWithJobs, this->sparePools);
        this->fleetAgent->addWaves(this->waves);
    }
}

std::function<bool()> Agent::dutiesPredicate(bool (Duties::*predicate)() const) const
{
    return [weak = std::weak_ptr<const Duties> { this->duties }, predicate] {
        const auto locked = weak.lock();
        return locked && (*locked.*predicate)();
    };
}

std::function<std::optional<Duration>(store::Revision)> Agent::maxViewAge() const
{
    return [clock = this->revisions](store::Revision asOf) { return clock->ageOf(asOf, kernel::bootNow()); };
}

void Agent::beginFleetDuty(ports::Term term)
{
    this->fleetAgent = std::make_shared<FleetAgent>(
        FleetContext { this->environment.context, this->environment.store, this->environment.fleet,
            this->environment.access.orderGap, dutiesPredicate(&Duties::isLeaseValid), maxViewAge() },
        term);
    updateFleetAgent();
    this->fleetAgent->start();
}

void Agent::beginDuty(const std::string& duty, ports::Term term)
{
    if (duty == keys::fleetDuty) {
        beginFleetDuty(term);
        return;
    }
    const model::ServiceId service { duty.substr(keys::poolDuty.size()) };
    auto agent = std::make_shared<PoolAgent>(
        PoolContext { this->environment.context, this->environment.store, this->environment.fleet,
            this->environment.upstreams, this->environment.metrics, this->environment.access.taskLease,
            dutiesPredicate(&Duties::withinLeaseGrace), dutiesPredicate(&Duties::isLeaseValid),
            [known = this->directory] { return known->lastAnswerAt(); }, maxViewAge() },
        service, term);
    this->poolAgents.insert_or_assign(service, agent);
    agent->start();
    if (this->directory->isLoaded()) {
        agent->setUpstreams(this->directory->upstreams());
    }
    this->directory->start();
}

void Agent::endDuty(const std::string& duty)
{
    if (duty == keys::fleetDuty) {
        this->fleetAgent->close();
        this->fleetAgent.reset();
        return;
    }
    const auto found = this->poolAgents.find(model::ServiceId { duty.substr(keys::poolDuty.size()) });
    if (found != this->poolAgents.end()) {
        found->second->close();
        this->poolAgents.erase(found);
    }
    if (this->poolAgents.empty()) {
        this->directory->stop();
    }
}

DutyHealth Agent::dutyHealth(const std::string& duty) const
{
    if (this->stopping) {
        return DutyWorking {};
    }
    if (duty == keys::fleetDuty) {
        return this->fleetAgent ? this->fleetAgent->health() : DutyEnded { "no agent" };
    }
    const auto found = this->poolAgents.find(model::ServiceId { duty.substr(keys::poolDuty.size()) });
    return found != this->poolAgents.end() ? found->second->health() : DutyEnded { "no agent" };
}

void Agent::onUpstreams()
{
    const auto upstreams = this->directory->upstreams();
    const auto owned = this->poolAgents;
    for (const auto& [service, agent] : owned) {
        agent->setUpstreams(upstreams);
    }
}

void Agent::readState(const model::ServiceId& service, const jobs::JobId& job, bool readsAcceptance,
    store::Callback<StateOutcome> callback)
{
    this->environment.store->read(keys::record(service, job),
        [self = shared_from_this(), job, readsAcceptance, callback = std::move(callback)](
            const kernel::Expected<std::optional<store::Entry>>& entry) {
            if (!entry) {
                callback(Unavailable {});
                return;
            }
            if (*entry) {
                const auto record = jobs::decodeRecord((*entry)->value);
                callback(record ? StateOutcome { record->state } : StateOutcome { Unavailable {} });
                return;
            }
            if (!readsAcceptance) {
                callback(NoSuchJob {});
                return;
            }
            self->readAcceptance(job, [self, job, callback](const Acceptance& acceptance) {
                std::visit(kernel::Overloaded {
                               // The job may have been accepted since its record was read.
                               [&](const AcceptedBy& accepted) {
                                   self->readState(accepted.service, job, false, callback);
                               },
                               [&](const NotAccepted&) { callback(NoSuchJob {}); },
                               [&](const CancelledEarly&) { callback(NoSuchJob {}); },
                               [&](const Unavailable&) { callback(Unavailable {}); },
                           },
                    acceptance);
            });
        });
}

void Agent::readAcceptance(const jobs::JobId& job, store::Callback<Acceptance> callback)
{
    this->environment.store->read(keys::acceptance(job),
        [callback = std::move(callback)](const kernel::Expected<std::optional<store::Entry>>& entry) {
            if (!entry) {
                callback(Unavailable {});
            } else if (!*entry) {
                callback(NotAccepted {});
            } else if ((*entry)->value.empty()) {
                callback(CancelledEarly {});
            } else {
                callback(AcceptedBy { model::ServiceId { (*entry)->value } });
            }
        });
}

void Agent::cancelUnrecorded(const model::ServiceId& service, const jobs::JobId& job, int attempts,
    const store::Callback<StateOutcome>& callback)
{
    readAcceptance(
        job, [self = shared_from_this(), service, job, attempts, callback](const Acceptance& acceptance) {
            std::visit(
                kernel::Overloaded {
                    // The job may have been accepted since its record was read.
                    [&](const AcceptedBy& accepted) {
                        attempts > 1 ? self->cancel(accepted.service, job, attempts - 1, callback)
                                     : callback(Unavailable {});
                    },
                    [&](const NotAccepted&) { self->preventAcceptance(service, job, attempts, callback); },
                    [&](const CancelledEarly&) { callback(NoSuchJob {}); },
                    [&](const Unavailable&) { self->retryCancel(service, job, attempts, callback); },
                },
                acceptance);
        });
}

void Agent::preventAcceptance(const model::ServiceId& service, const jobs::JobId& job, int attempts,
    const store::Callback<StateOutcome>& callback)
{
    const auto key = keys::acceptance(job);
    this->environment.store->change({ { { key, {} } }, { { key, {} } }, {} },
        [self = shared_from_this(), service, job, attempts, callback](const store::ChangeOutcome& outcome) {
            if (const auto* const committed = std::get_if<store::Committed>(&outcome)) {
                kernel::logEvent("job-cancelled-early",
                    { { "job", job.text() }, { "revision", committed->revision.value } });
                callback(NoSuchJob {});
            } else if (std::holds_alternative<store::Conflict>(outcome) && attempts > 1) {
                self->cancel(service, job, attempts - 1, callback);
            } else {
                self->retryCancel(service, job, attempts, callback);
            }
        });
}

void Agent::retryCancel(const model::ServiceId& service, const jobs::JobId& job, int attempts,
    const store::Callback<StateOutcome>& callback)
{
    if (attempts <= 1) {
        callback(Unavailable {});
        return;
    }
    kernel::callLater(this->environment.context, retryInterval,
        [self = shared_from_this(), service, job, attempts, callback] {
            self->cancel(service, job, attempts - 1, callback);
        });
}

void Agent::cancelRecord(const model::ServiceId& service, const jobs::JobId& job, int attempts,
    const store::Entry& entry, const store::Callback<StateOutcome>& callback)
{
    const auto record = jobs::decodeRecord(entry.value);
    if (record && jobs::isFinal(record->state)) {
        callback(record->state);
        return;
    }
    const jobs::Record cancelled { jobs::JobState::Cancelled, {}, kernel::now(kernel::WallClock {}) };
    this->environment.store->change(
        { { { entry.key, entry.revision } }, { { entry.key, jobs::encode(cancelled) } },
            { keys::job(service, job), keys::progress(service, job) } },
        [self = shared_from_this(), service, job, attempts, callback](const store::ChangeOutcome& outcome) {
            if (std::holds_alternative<store::Committed>(outcome)) {
                kernel::logEvent("job-cancel-stored", { { "job", job.text() } });
                callback(jobs::JobState::Cancelled);
            } else if (std::holds_alternative<store::Conflict>(outcome) && attempts > 1) {
                self->cancel(service, job, attempts - 1, callback);
            } else {
                self->retryCancel(service, job, attempts, callback);
            }
        });
}

JobApi Agent::makeJobApi()
{
    const auto self = shared_from_this();
    return {
        .submit = [self](jobs::Job job, Duration deadline,
                      auto callback) { self->submit(std::move(job), deadline, std::move(callback)); },
        .state = [self](const model::ServiceId& service, const jobs::JobId& job,
                     auto callback) { self->state(service, job, std::move(callback)); },
        .cancel = [self](const model::ServiceId& service, const jobs::JobId& job,
                      auto callback) { self->cancel(service, job, cancelAttempts, std::move(callback)); },
        .pending = [self](const model::ServiceId& service, const jobs::QueueId& queue,
                       auto callback) { self->queueCounter->count(service, queue, std::move(callback)); },
        .ready = [self] { return self->isReady(); },
    };
}

} // namespace wasabiroad::agent
