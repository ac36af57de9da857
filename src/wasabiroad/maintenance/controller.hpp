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
 * It reads all ledgers and waves by watch, decides by the functions of `fleet`, and writes by
 * compare-and-swap. Every step starts from the version that it was decided on.
 */
class Controller {
public:
    Controller(boost::asio::io_context& context, kernel::EventBus& bus, platform::Store store,
        model::EntryId entry, model::ZoneId zone);

    /** @brief Follows the documents under a prefix until the context stops. */
    boost::asio::awaitable<void> follow(std::string prefix);

    /** @brief Makes steps until the context stops. */
    boost::asio::awaitable<void> run();

    /** @brief Makes no further step. */
    void stopActing() { this->stopping = true; }

private:
    using LedgerPointer = std::shared_ptr<const StoredLedger>;
    using ProgressPointer = std::shared_ptr<const StoredProgress>;
    using Made = boost::asio::awaitable<bool>;

    void adopt(const control::ConfigurationAdopted& event);
    void receive(const platform::Entry& entry);
    void storeLedger(LedgerPointer ledger);
    void storeProgress(ProgressPointer progress);
    void publishAssignments();
    fleet::Ledgers ledgersByZone() const;

    bool isActing();
    /** Makes at most one write; the result tells whether the next one can follow at once. */
    Made act();
    Made followManifest();
    Made lend();
    Made advanceVms();
    Made advanceVm(model::VmId vm, fleet::VmRecord record);
    Made advanceWave(model::Wave wave, StoredProgress progress);
    Made settleActive(model::Wave wave, StoredProgress progress, model::VmId vm);
    Made claimPlace(model::Wave wave, StoredProgress progress);
    Made step(fleet::Step made);
    Made change(model::Wave wave, StoredProgress progress, fleet::WaveChange made);
    boost::asio::awaitable<void> readPlatformList();
    boost::asio::awaitable<void> reread(std::string key);
    void probeZone();
    fleet::ProgressRules rulesFor(const fleet::VmRecord& record) const;
    fleet::VmObservation observe(const model::VmId& vm, const fleet::VmRecord& record) const;
    bool wasAborted(const fleet::VmRecord& record) const;
    fleet::PendingVms pending() const;
    const fleet::Ledger& own() const;

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
    model::EntryId actor;
    Probes probes;
    /** The platform's list, or nothing when it was not read since the last stop. */
    std::optional<std::map<model::VmId, platform::ListedVm>> listed {};
    kernel::Instant listRead {};
    kernel::Instant lastChange {};
    bool wasActing { false };
    bool stopping { false };
};

} // namespace wasabiroad::maintenance
