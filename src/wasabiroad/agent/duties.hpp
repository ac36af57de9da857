#pragma once

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

/** @brief Calls when duties begin and end; control thread only. */
struct DutyHandlers {
    const std::function<void(const std::string& duty, ports::Term)> begin;
    const std::function<void(const std::string& duty)> end;
};

/**
 * @brief Takes and keeps duties, each owned by one daemon at a time through a leased key in the store.
 *
 * The term of a duty is the revision at which its key was created, so terms rise over owners. A daemon whose
 * lease may have ended keeps its duties, but must not act on them until a renewal shows that it still has
 * them.
 */
class Duties : public std::enable_shared_from_this<Duties> {
public:
    /**
     * @param context Context of the control thread.
     * @param store Store.
     * @param entry Name of this daemon.
     * @param incarnation Number of this run of the daemon.
     * @param vm What the VM of this daemon offers; those with more take vacant duties first.
     * @param handlers Calls when duties begin and end.
     */
    Duties(boost::asio::io_context& context, std::shared_ptr<const store::Store> store, model::EntryId entry,
        std::uint64_t incarnation, settings::VmCapacity vm, DutyHandlers handlers);

    /** @brief Begins to compete for the duties that are wanted. */
    void start();

    /** @brief Sets the duties to compete for; duties that are no longer wanted are kept until they are lost.
     */
    void want(const std::set<std::string>& duties);

    /** @brief Ends all duties and the lease, then calls back. */
    void release(std::function<void()> done);

    /** @brief Ends all work at once and gives up nothing, as a crash would. */
    void abandon();

    /** @return Whether this daemon may act on its duties: its lease surely lives, or has only just run out.
     */
    bool withinLeaseGrace() const;

    /** @return Whether no other daemon can have its duties. */
    bool isLeaseValid() const;

private:
    void keepLease();
    void onLease(const kernel::Expected<store::Lease>& lease, kernel::Instant sent);
    void onRenewed(const kernel::Expected<bool>& alive, kernel::Instant sent);
    void readOwners();
    void watchOwners(store::Revision after);
    void onOwner(const std::string& duty, const std::string& owner, store::Revision created);
    void onVacant(const std::string& duty);
    /** Takes what is due among the vacant duties, and comes back for the rest. */
    void tryVacant();
    /** @return Time until the duty is looked at again. */
    kernel::Duration consider(const std::string& duty, kernel::Instant vacantSince);
    void tryTake(const std::string& duty);
    void loseAll(std::string_view reason);
    void lose(const std::string& duty, std::string_view reason);
    std::string self() const;

    boost::asio::io_context& context;
    const std::shared_ptr<const store::Store> store;
    const model::EntryId entry;
    const std::uint64_t incarnation;
    const settings::VmCapacity vm;
    const DutyHandlers handlers;
    std::optional<store::LeaseId> lease {};
    bool granting { false };
    bool renewing { false };
    bool informed { false };
    bool stopping { false };
    /** @brief Boot clock until which the lease surely lives. */
    kernel::Instant validUntil {};
    std::set<std::string> wanted {};
    std::map<std::string, std::string> owners {};
    std::map<std::string, ports::Term> held {};
    std::map<std::string, kernel::Instant> vacantSince {};
    std::set<std::string> taking {};
    kernel::Timer leaseTimer;
    kernel::Timer retryTimer;
};

} // namespace wasabiroad::agent
