#pragma once

#include "wasabiroad/control/events.hpp"
#include "wasabiroad/fleet/wave_planner.hpp"
#include "wasabiroad/kernel/event_bus.hpp"
#include "wasabiroad/maintenance/probes.hpp"
#include "wasabiroad/maintenance/records.hpp"

namespace wasabiroad::maintenance {

/**
 * @brief Carries out maintenance in the zone of this daemon. Control thread only.
 *
 * It watches all ledgers and waves, leaves the decisions to the functions of `fleet`, and writes by
 * compare-and-swap. Each write names the version of the document that its decision is based on.
 */
class Controller {
public:
    Controller(boost::asio::io_context& context, kernel::EventBus& bus, platform::Store store,
        model::EntryId entry, model::ZoneId zone);

    /** @brief Watches the documents under a prefix until the context stops. */
    boost::asio::awaitable<void> follow(std::string prefix);

    /** @brief Advances the maintenance of the zone until `stop` is called or the context stops. */
    boost::asio::awaitable<void> run();

    /** @brief Ends `run` after the write in progress. */
    void stop() { this->stopping = true; }

private:
    using LedgerPointer = std::shared_ptr<const StoredLedger>;
    using ProgressPointer = std::shared_ptr<const StoredProgress>;
    /** True when a document was written, so that the next write can follow without a pause. */
    using Written = boost::asio::awaitable<bool>;

    void adopt(const control::ConfigurationAdopted& event);
    void receive(const platform::Entry& entry);
    void storeLedger(LedgerPointer ledger);
    void storeProgress(ProgressPointer progress);
    void publishAssignments();
    fleet::Ledgers ledgersByZone() const;

    /** True when this daemon was chosen to write for the zone, or nothing has changed for a while. */
    bool isResponsible();
    /** Makes at most one write. */
    Written advance();
    Written followManifest();
    Written advanceLending();
    Written advanceVms();
    Written advanceVm(model::VmId vm, fleet::VmRecord record);
    Written advanceWave(model::Wave wave, StoredProgress progress);
    Written advanceActiveVm(model::Wave wave, StoredProgress progress, model::VmId vm);
    Written claimSlot(model::Wave wave, StoredProgress progress);
    Written applyStep(fleet::Step step);
    Written applyChange(model::Wave wave, StoredProgress progress, fleet::WaveChange change);
    boost::asio::awaitable<void> readPlatformList();
    boost::asio::awaitable<void> reread(std::string key);
    void probeZone();
    fleet::ProgressRules rulesFor(const fleet::VmRecord& record) const;
    fleet::VmObservation observe(const model::VmId& vm, const fleet::VmRecord& record) const;
    bool wasAborted(const fleet::VmRecord& record) const;
    fleet::PendingVms pendingVms() const;
    const fleet::Ledger& ownLedger() const;

    boost::asio::io_context& context;
    kernel::EventBus& bus;
    const platform::Store store;
    const model::EntryId entry;
    const model::ZoneId zone;
    control::ConfigurationPointer configuration {};
    std::shared_ptr<const fleet::Layout> layout {};
    std::map<model::ZoneId, LedgerPointer> ledgers {};
    std::map<model::WaveId, ProgressPointer> waves {};
    std::set<std::string> loaded {};
    /** Entry VM chosen to write for the zone. */
    model::EntryId chosenEntry;
    Probes probes;
    /** VMs in the platform's list; no value after a failed read or until it is read after `startMaintenance`.
     */
    std::optional<std::map<model::VmId, platform::ListedVm>> platformVms {};
    kernel::Instant platformVmsRead {};
    kernel::Instant lastChange {};
    bool wasResponsible { false };
    bool stopping { false };
};

} // namespace wasabiroad::maintenance
