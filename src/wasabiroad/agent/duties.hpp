#pragma once

#include "wasabiroad/agent/duty_health.hpp"
#include "wasabiroad/kernel/timer.hpp"
#include "wasabiroad/model/identifier.hpp"
#include "wasabiroad/ports/upstreams.hpp"
#include "wasabiroad/settings/settings.hpp"
#include "wasabiroad/store/store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace wasabiroad::agent {

/** @brief Callbacks for the begin and end of duties; they run on the control thread. */
struct DutyHandlers {
    const std::function<void(const std::string& duty, ports::Term)> begin;
    const std::function<void(const std::string& duty)> end;
    /** @brief Reports whether a held duty makes progress; asked at each renewal of the lease. */
    const std::function<DutyHealth(const std::string& duty)> health;
};

/**
 * @brief Acquires and holds duties, each owned by one daemon at a time through a leased key in the store.
 *
 * The term of a duty is the revision at which its key was created, so terms increase from owner to owner. A
 * daemon whose lease may have expired keeps its duties, but must not act on them until a renewal confirms the
 * lease.
 *
 * The lease alone does not show that a duty is carried out. A duty that makes no progress while the lease is
 * renewed is renounced: its key is removed, and its next term may begin in any daemon.
 */
class Duties : public std::enable_shared_from_this<Duties> {
public:
    /**
     * @param context Context of the control thread.
     * @param store Store.
     * @param entry Name of this daemon.
     * @param incarnation Number of this run of the daemon.
     * @param vm Capacity of this daemon's VM; daemons with more capacity take vacant duties first.
     * @param handlers Callbacks for the begin and end of duties.
     */
    Duties(boost::asio::io_context& context, std::shared_ptr<const store::Store> store, model::EntryId entry,
        std::uint64_t incarnation, settings::VmCapacity vm, DutyHandlers handlers);

    /** @brief Starts to compete for the wanted duties. */
    void start();

    /** @brief Sets the duties to compete for. Duties that are held and not in the set are kept until lost. */
    void setWanted(const std::set<std::string>& duties);

    /** @brief Ends all duties and the lease, then calls back. */
    void release(std::function<void()> done);

    /** @brief Stops all work at once without ending the lease, as a crash would. */
    void abandon();

    /**
     * @return Whether this daemon may still act on its duties: its lease is valid, or may have expired less
     * than the grace period ago.
     */
    bool withinLeaseGrace() const;

    /** @return Whether the lease cannot have expired yet, so that no other daemon can hold its duties. */
    bool isLeaseValid() const;

private:
    void keepLease();
    void onLeaseGranted(const kernel::Expected<store::Lease>& lease, kernel::Instant sent);
    void onRenewed(const kernel::Expected<bool>& alive, kernel::Instant sent);
    void readOwners();
    /** @return Whether no renewal has been answered for longer than the lease and its grace period last. */
    bool isLeaseUnconfirmed() const;
    /** Decides whether to renew a lease that is unconfirmed. */
    bool mayRenewUnconfirmed();
    /** Reads the owners once, beside the watch, which may miss a change. */
    void auditOwners();
    void applyOwners(const store::Listing& listing);
    /** Logs duties that have had no owner for longer than a takeover takes. */
    void logVacancies() const;
    void watchOwners(store::Revision after);
    /**
     * Applies that a key names an owner.
     * @param created Revision at which the key was created.
     * @param asOf Revision of the store that showed the key.
     */
    void onOwner(
        const std::string& duty, const std::string& owner, store::Revision created, store::Revision asOf);
    void onVacant(const std::string& duty, store::Revision asOf);
    /** @return Whether the state of a duty at a revision is newer than the known one, which it replaces. */
    bool isNews(const std::string& duty, store::Revision asOf);
    /** Renounces the held duties that make no progress. */
    void checkHealth();
    std::optional<std::string> failureOf(const std::string& duty, kernel::Instant now);
    void renounce(const std::string& duty, std::string_view reason);
    /** Removes the key of a renounced duty; repeated until the store has answered. */
    void removeOwnKey(const std::string& duty, ports::Term term);
    void onKeyRemoval(const std::string& duty, ports::Term term, const store::ChangeOutcome& outcome);
    /** Takes the vacant duties that are due, and sets the timer for the next check. */
    void takeVacantDuties();
    /** Takes a vacant duty if this daemon's delay for it is over. @return Time until the next check. */
    kernel::Duration takeIfDue(const std::string& duty, kernel::Instant vacantSince);
    void tryTake(const std::string& duty);
    void loseAllDuties(std::string_view reason);
    void loseDuty(const std::string& duty, std::string_view reason);
    std::string ownerName() const;

    boost::asio::io_context& context;
    const std::shared_ptr<const store::Store> store;
    const model::EntryId entry;
    const std::uint64_t incarnation;
    const settings::VmCapacity vm;
    const DutyHandlers handlers;
    std::optional<store::LeaseId> lease {};
    bool granting { false };
    bool renewing { false };
    bool ownersLoaded { false };
    bool stopping { false };
    /** @brief Boot clock before which the lease cannot have expired. */
    kernel::Instant leaseValidUntil {};
    std::set<std::string> wanted {};
    std::map<std::string, std::string> owners {};
    std::map<std::string, ports::Term> held {};
    std::map<std::string, kernel::Instant> vacantSince {};
    /** @brief Revisions of the store of which the states of the duties are known. */
    std::map<std::string, store::Revision> knownAsOf {};
    /** @brief Terms that this daemon has lost; their keys count as renounced where they still exist. */
    std::map<std::string, ports::Term> lostTerms {};
    /** @brief Boot clock times since which held duties have been hindered. */
    std::map<std::string, kernel::Instant> hinderedSince {};
    /** @brief Terms of renounced duties whose keys may still exist. */
    std::map<std::string, ports::Term> renounced {};
    /** @brief Renounced duties with a removal of their key in flight. */
    std::set<std::string> removing {};
    /** @brief Boot clock times until which renounced duties are left to other daemons. */
    std::map<std::string, kernel::Instant> deferredUntil {};
    bool auditing { false };
    kernel::Instant lastAudit {};
    kernel::Instant lastRenewalSent {};
    /** @brief Duties with a request for ownership in flight. */
    std::set<std::string> taking {};
    kernel::Timer leaseTimer;
    kernel::Timer retryTimer;
};

} // namespace wasabiroad::agent
