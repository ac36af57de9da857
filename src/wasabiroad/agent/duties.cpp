#include "wasabiroad/agent/duties.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/agent/vacancy.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>

namespace wasabiroad::agent {

using kernel::Duration;
using kernel::Instant;

namespace {

/** Lifetime of the lease; limits the time without an owner after a crash. */
constexpr Duration leaseLifetime { 2000 };

/** Interval between renewals; three may fail before the lease expires. */
constexpr Duration renewInterval { 450 };

/**
 * Time after a possible lease expiry in which an owner still renews task leases and answers queries. A new
 * owner waits for its end, see scheduling::Policy.
 */
constexpr Duration leaseGrace { 1000 };

/** Long-poll timeout of the owner watch; with a margin, it limits the time to detect a dead connection. */
constexpr Duration watchWait { 1500 };

constexpr Duration retryInterval { 300 };

/** Interval between reads of the owners beside the watch; limits the time for which a missed change counts.
 */
constexpr Duration auditInterval { 2000 };

/** Time without an owner after a crash is at most the lease lifetime and the delay of the candidates. */
constexpr Duration expectedVacancy { 3500 };

/** Time for which a duty may be hindered; shorter hindrances are cheaper than a takeover. */
constexpr Duration hindranceLimit { 4000 };

/** Time for which a renounced duty is left to other daemons; longer than any of them waits for a vacancy. */
constexpr Duration renunciationDelay { 2000 };

} // namespace

Duties::Duties(boost::asio::io_context& ioContext, std::shared_ptr<const store::Store> dutyStore,
    model::EntryId ownEntry, std::uint64_t runNumber, settings::VmCapacity capacity,
    DutyHandlers dutyHandlers)
    : context(ioContext)
    , store(std::move(dutyStore))
    , entry(std::move(ownEntry))
    , incarnation(runNumber)
    , vm(capacity)
    , handlers(std::move(dutyHandlers))
    , leaseTimer(ioContext)
    , retryTimer(ioContext)
{
}

std::string Duties::ownerName() const { return this->entry.text() + "#" + std::to_string(this->incarnation); }

void Duties::start()
{
    readOwners();
    keepLease();
}

void Duties::setWanted(const std::set<std::string>& duties)
{
    this->wanted = duties;
    for (const auto& duty : duties) {
        if (!this->owners.contains(duty)) {
            this->vacantSince.try_emplace(duty, kernel::bootNow());
        }
    }
    takeVacantDuties();
}

bool Duties::withinLeaseGrace() const { return kernel::bootNow() < this->leaseValidUntil + leaseGrace; }

bool Duties::isLeaseValid() const { return kernel::bootNow() < this->leaseValidUntil; }

void Duties::keepLease()
{
    if (this->stopping) {
        return;
    }
    this->leaseTimer.start(renewInterval, [self = shared_from_this()] { self->keepLease(); });
    checkHealth();
    auditOwners();
    const auto sent = kernel::bootNow();
    if (isLeaseUnconfirmed() && !mayRenewUnconfirmed()) {
        return;
    }
    if (this->lease && !this->renewing) {
        this->renewing = true;
        this->lastRenewalSent = sent;
        this->store->renew(*this->lease,
            [self = shared_from_this(), sent, renewed = *this->lease](const kernel::Expected<bool>& alive) {
                self->renewing = false;
                // An answer about an earlier lease does not apply to the current one.
                if (self->lease == renewed) {
                    self->onRenewed(alive, sent);
                }
            });
    } else if (!this->lease && !this->granting) {
        this->granting = true;
        this->store->grant(
            leaseLifetime, [self = shared_from_this(), sent](const kernel::Expected<store::Lease>& granted) {
                self->granting = false;
                self->onLeaseGranted(granted, sent);
            });
    }
}

bool Duties::isLeaseUnconfirmed() const
{
    return this->lease && kernel::bootNow() >= this->leaseValidUntil + leaseGrace;
}

bool Duties::mayRenewUnconfirmed()
{
    // Renewals whose answers are lost would keep the duties of a daemon that may not act on them.
    if (this->lastAudit <= this->lastRenewalSent) {
        return false;
    }
    if (kernel::bootNow() - this->leaseValidUntil > leaseGrace + hindranceLimit) {
        this->lease.reset();
        loseAllDuties("lease not confirmed");
    }
    return true;
}

void Duties::onLeaseGranted(const kernel::Expected<store::Lease>& granted, Instant sent)
{
    if (!granted || this->stopping) {
        return;
    }
    this->lease = granted->id;
    this->leaseValidUntil = sent + granted->lifetime;
    takeVacantDuties();
}

void Duties::onRenewed(const kernel::Expected<bool>& alive, Instant sent)
{
    if (!alive) {
        kernel::logEvent("lease-not-renewed",
            { { "code", number(alive.error().code) }, { "reason", alive.error().found },
                { "valid_ms", (this->leaseValidUntil - kernel::bootNow()).milliseconds } });
        return;
    }
    if (!*alive) {
        this->lease.reset();
        loseAllDuties("lease ended");
        return;
    }
    this->leaseValidUntil = sent + leaseLifetime;
}

void Duties::readOwners()
{
    this->store->list(
        keys::owners, [self = shared_from_this()](const kernel::Expected<store::Listing>& listing) {
            if (self->stopping) {
                return;
            }
            if (!listing) {
                kernel::callLater(self->context, retryInterval, [self] { self->readOwners(); });
                return;
            }
            self->applyOwners(*listing);
            self->watchOwners(listing->asOf);
        });
}

void Duties::auditOwners()
{
    const bool isDue = kernel::bootNow() - this->lastAudit >= auditInterval || isLeaseUnconfirmed();
    if (!this->ownersLoaded || this->auditing || !isDue) {
        return;
    }
    this->auditing = true;
    this->store->list(
        keys::owners, [self = shared_from_this()](const kernel::Expected<store::Listing>& listing) {
            self->auditing = false;
            if (listing && !self->stopping) {
                self->applyOwners(*listing);
            }
        });
}

void Duties::applyOwners(const store::Listing& listing)
{
    this->ownersLoaded = true;
    this->lastAudit = kernel::bootNow();
    std::set<std::string> present;
    for (const auto& found : listing.entries) {
        const auto duty = found.key.substr(keys::owners.size());
        present.insert(duty);
        onOwner(duty, found.value, found.created, listing.asOf);
    }
    const auto known = this->owners;
    for (const auto& [duty, owner] : known) {
        if (!present.contains(duty)) {
            onVacant(duty, listing.asOf);
        }
    }
    setWanted(this->wanted);
    logVacancies();
}

void Duties::logVacancies() const
{
    for (const auto& [duty, since] : this->vacantSince) {
        const auto vacant = kernel::bootNow() - since;
        if (this->wanted.contains(duty) && vacant > expectedVacancy) {
            kernel::logEvent("duty-vacant",
                { { "duty", duty }, { "vacant_ms", vacant.milliseconds },
                    { "lease_valid", isLeaseValid() ? "yes" : "no" },
                    { "taking", this->taking.contains(duty) ? "yes" : "no" },
                    { "deferred", this->deferredUntil.contains(duty) ? "yes" : "no" } });
        }
    }
}

void Duties::watchOwners(store::Revision after)
{
    this->store->watch(keys::owners, after, watchWait,
        [self = shared_from_this(), after](const store::WatchOutcome& outcome) {
            if (self->stopping) {
                return;
            }
            std::visit(
                kernel::Overloaded {
                    [&](const store::KeyEvents& changes) {
                        for (const auto& event : changes.events) {
                            std::visit(kernel::Overloaded {
                                           [&](const store::Entry& found) {
                                               self->onOwner(found.key.substr(keys::owners.size()),
                                                   found.value, found.created, found.created);
                                           },
                                           [&](const store::Removed& removed) {
                                               self->onVacant(
                                                   removed.key.substr(keys::owners.size()), removed.revision);
                                           },
                                       },
                                event);
                        }
                        self->takeVacantDuties();
                        self->watchOwners(std::max(changes.asOf, after));
                    },
                    [&](const store::HistoryGone&) { self->readOwners(); },
                    [&](const kernel::Error&) {
                        kernel::callLater(self->context, retryInterval, [self] { self->readOwners(); });
                    },
                },
                outcome);
        });
}

bool Duties::isNews(const std::string& duty, store::Revision asOf)
{
    auto& known = this->knownAsOf[duty];
    // Lists, watches and answers to own changes arrive on different connections, in any order.
    if (asOf <= known) {
        return false;
    }
    known = asOf;
    return true;
}

void Duties::onOwner(
    const std::string& duty, const std::string& owner, store::Revision created, store::Revision asOf)
{
    const ports::Term term { created.value };
    if (!isNews(duty, asOf)) {
        return;
    }
    const auto mine = this->held.find(duty);
    if (mine != this->held.end() && mine->second == term) {
        return;
    }
    const auto lost = this->lostTerms.find(duty);
    if (owner == ownerName() && lost != this->lostTerms.end() && term <= lost->second) {
        // A key of a lost term that still exists keeps other daemons out.
        this->renounced.insert_or_assign(duty, term);
        return;
    }
    const auto since = this->vacantSince.find(duty);
    const auto vacant = since != this->vacantSince.end() ? kernel::bootNow() - since->second : Duration {};
    this->owners[duty] = owner;
    this->vacantSince.erase(duty);
    this->renounced.erase(duty);
    if (this->held.contains(duty)) {
        loseDuty(duty, owner == ownerName() ? "newer term" : "another owner");
    }
    if (owner == ownerName() && this->lease) {
        this->held.emplace(duty, term);
        kernel::logEvent("duty-taken",
            { { "duty", duty }, { "term", term.value }, { "vacant_ms", vacant.milliseconds },
                { "held", this->held.size() }, { "cpu", this->vm.cpu }, { "link_mbps", this->vm.linkMbps } });
        this->handlers.begin(duty, term);
    }
}

void Duties::onVacant(const std::string& duty, store::Revision asOf)
{
    if (!isNews(duty, asOf)) {
        return;
    }
    this->owners.erase(duty);
    this->renounced.erase(duty);
    this->vacantSince.try_emplace(duty, kernel::bootNow());
    if (this->held.contains(duty)) {
        loseDuty(duty, "key removed");
    }
}

void Duties::checkHealth()
{
    const auto now = kernel::bootNow();
    if (!isLeaseValid()) {
        // The store is not reached, so nobody can be asked to take over.
        this->hinderedSince.clear();
        return;
    }
    const auto duties = this->held;
    for (const auto& [duty, term] : duties) {
        if (const auto failure = failureOf(duty, now)) {
            renounce(duty, *failure);
        }
    }
    const auto terms = this->renounced;
    for (const auto& [duty, term] : terms) {
        removeOwnKey(duty, term);
    }
}

std::optional<std::string> Duties::failureOf(const std::string& duty, Instant now)
{
    return std::visit(kernel::Overloaded {
                          [&](const DutyWorking&) -> std::optional<std::string> {
                              this->hinderedSince.erase(duty);
                              return std::nullopt;
                          },
                          [&](const DutyHindered& hindered) -> std::optional<std::string> {
                              const auto since = this->hinderedSince.try_emplace(duty, now).first->second;
                              return now - since > hindranceLimit ? std::optional { hindered.reason }
                                                                  : std::nullopt;
                          },
                          [](const DutyEnded& ended) -> std::optional<std::string> { return ended.reason; },
                      },
        this->handlers.health(duty));
}

void Duties::renounce(const std::string& duty, std::string_view reason)
{
    const auto term = this->held.at(duty);
    kernel::logEvent("duty-renounced", { { "duty", duty }, { "term", term.value }, { "reason", reason } });
    this->renounced.insert_or_assign(duty, term);
    this->deferredUntil.insert_or_assign(duty, kernel::bootNow() + renunciationDelay);
    loseDuty(duty, reason);
}

void Duties::removeOwnKey(const std::string& duty, ports::Term term)
{
    if (!this->removing.insert(duty).second) {
        return;
    }
    const auto key = keys::owner(duty);
    this->store->change({ { { key, { term.value } } }, {}, { key } },
        [self = shared_from_this(), duty, term](const store::ChangeOutcome& outcome) {
            self->removing.erase(duty);
            if (!self->stopping) {
                self->onKeyRemoval(duty, term, outcome);
            }
        });
}

void Duties::onKeyRemoval(const std::string& duty, ports::Term term, const store::ChangeOutcome& outcome)
{
    std::visit(kernel::Overloaded {
                   [&](const store::Committed& committed) { onVacant(duty, committed.revision); },
                   [&](const store::Conflict& conflict) {
                       // The next audit shows who owns it.
                       if (const auto found = this->renounced.find(duty);
                           found != this->renounced.end() && found->second == term) {
                           this->renounced.erase(found);
                       }
                       for (const auto& found : conflict.current) {
                           onOwner(duty, found.value, found.created, found.created);
                       }
                   },
                   // Repeated at the next renewal.
                   [](const store::LeaseEnded&) {},
                   [](const store::NotDone&) {},
                   [](const store::OutcomeUnknown&) {},
               },
        outcome);
    takeVacantDuties();
}

void Duties::takeVacantDuties()
{
    if (this->stopping) {
        return;
    }
    std::vector<std::string> vacant;
    for (const auto& duty : this->wanted) {
        if (this->vacantSince.contains(duty) && !this->taking.contains(duty)) {
            vacant.push_back(duty);
        }
    }
    if (vacant.empty()) {
        return;
    }
    // Daemons with equal capacity try at the same time, so each starts with a different duty to avoid
    // conflicts.
    const auto first = std::hash<std::string> {}(this->entry.text()) % vacant.size();
    std::rotate(vacant.begin(), vacant.begin() + static_cast<std::ptrdiff_t>(first), vacant.end());
    auto next = retryInterval;
    for (const auto& duty : vacant) {
        next = std::min(next, takeIfDue(duty, this->vacantSince.at(duty)));
    }
    this->retryTimer.start(next, [self = shared_from_this()] { self->takeVacantDuties(); });
}

Duration Duties::takeIfDue(const std::string& duty, Instant since)
{
    const auto now = kernel::bootNow();
    if (!this->ownersLoaded || !this->lease || now >= this->leaseValidUntil) {
        return retryInterval;
    }
    const auto deferred = this->deferredUntil.find(duty);
    if (deferred != this->deferredUntil.end()) {
        if (now < deferred->second) {
            return deferred->second - now;
        }
        this->deferredUntil.erase(deferred);
    }
    const auto decision = decideVacancy({ this->vm, this->held.size() + this->taking.size() }, now - since);
    return std::visit(kernel::Overloaded {
                          [&](const TakeDuty&) {
                              tryTake(duty);
                              return retryInterval;
                          },
                          [](const DeferDuty& defer) { return defer.remaining; },
                      },
        decision);
}

void Duties::tryTake(const std::string& duty)
{
    this->taking.insert(duty);
    const auto key = keys::owner(duty);
    this->store->change({ { { key, {} } }, { { key, ownerName(), *this->lease } }, {} },
        [self = shared_from_this(), duty, lease = *this->lease](const store::ChangeOutcome& outcome) {
            self->taking.erase(duty);
            if (self->stopping) {
                return;
            }
            bool answered = true;
            std::visit(kernel::Overloaded {
                           [&](const store::Committed& committed) {
                               if (self->lease == lease) {
                                   self->onOwner(
                                       duty, self->ownerName(), committed.revision, committed.revision);
                               }
                           },
                           [&](const store::Conflict& conflict) {
                               for (const auto& found : conflict.current) {
                                   self->onOwner(duty, found.value, found.created, found.created);
                               }
                               // An owner that seems to be gone shows up in the next audit.
                               answered = !self->vacantSince.contains(duty);
                           },
                           [&](const store::LeaseEnded&) {
                               if (self->lease == lease) {
                                   self->lease.reset();
                                   self->loseAllDuties("lease ended");
                               }
                           },
                           // The watch will show whether the duty was taken.
                           [&](const store::NotDone&) { answered = false; },
                           [&](const store::OutcomeUnknown&) { answered = false; },
                       },
                outcome);
            if (answered) {
                self->takeVacantDuties();
            } else {
                self->retryTimer.start(retryInterval, [self] { self->takeVacantDuties(); });
            }
        });
}

void Duties::loseDuty(const std::string& duty, std::string_view reason)
{
    kernel::logEvent(
        "duty-lost", { { "duty", duty }, { "term", this->held.at(duty).value }, { "reason", reason } });
    this->lostTerms.insert_or_assign(duty, this->held.at(duty));
    this->held.erase(duty);
    this->hinderedSince.erase(duty);
    this->handlers.end(duty);
}

void Duties::loseAllDuties(std::string_view reason)
{
    const auto lost = this->held;
    // The keys were removed with the lease.
    this->renounced.clear();
    for (const auto& [duty, term] : lost) {
        loseDuty(duty, reason);
        this->owners.erase(duty);
        this->vacantSince.try_emplace(duty, kernel::bootNow());
    }
    takeVacantDuties();
}

void Duties::abandon()
{
    this->stopping = true;
    this->leaseTimer.cancel();
    this->retryTimer.cancel();
}

void Duties::release(std::function<void()> done)
{
    this->stopping = true;
    this->leaseTimer.cancel();
    this->retryTimer.cancel();
    const auto lost = this->held;
    for (const auto& [duty, term] : lost) {
        loseDuty(duty, "stopping");
    }
    if (!this->lease) {
        done();
        return;
    }
    this->store->end(*this->lease, [done = std::move(done)](const kernel::Expected<void>& ended) {
        if (!ended) {
            kernel::logEvent("lease-not-ended", { { "code", number(ended.error().code) } });
        }
        done();
    });
}

} // namespace wasabiroad::agent
