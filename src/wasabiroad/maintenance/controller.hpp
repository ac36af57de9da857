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
    /** Resolves to true when a document was written; the next write then starts without a pause. */
    using AwaitableWritten = boost::asio::awaitable<bool>;

    void adoptConfiguration(const control::ConfigurationAdopted& event);
    void receive(const platform::Entry& entry);
    void storeLedger(LedgerPointer ledger);
    void storeProgress(ProgressPointer progress);
    void publishAssignments();
    fleet::Ledgers ledgersByZone() const;

    /** True when this daemon was chosen to write for the zone, or takes over after `takeOverTimeout` without
     * a change. */
    bool isResponsible();
    /** Makes at most one write. */
    AwaitableWritten advance();
    AwaitableWritten adoptManifest();
    /** Writes the next step of lending availability budget between the zones. */
    AwaitableWritten advanceLending();
    AwaitableWritten advanceVms();
    /** Writes the next state of a VM, or asks the platform to start its maintenance. */
    AwaitableWritten advanceVm(model::VmId vm, fleet::VmRecord record);
    AwaitableWritten advanceWave(model::Wave wave, StoredProgress progress);
    /** Drains a VM that holds a slot of a wave, or records its result and frees the slot. */
    AwaitableWritten advanceActiveVm(model::Wave wave, StoredProgress progress, model::VmId vm);
    AwaitableWritten claimSlot(model::Wave wave, StoredProgress progress);
    AwaitableWritten applyStep(fleet::Step step);
    AwaitableWritten applyChange(model::Wave wave, StoredProgress progress, fleet::WaveChange change);
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
    /** Prefixes whose documents have been listed. */
    std::set<std::string> loadedPrefixes {};
    /** Entry VM chosen to write for the zone. */
    model::EntryId chosenEntry;
    Probes probes;
    /** VMs in the platform's list; no value after a failed read or until it is read after `startMaintenance`.
     */
    std::optional<std::map<model::VmId, platform::ListedVm>> platformVms {};
    kernel::Instant platformVmsReadAt {};
    kernel::Instant lastChange {};
    bool wasResponsible { false };
    bool stopping { false };
};

} // namespace wasabiroad::maintenance
