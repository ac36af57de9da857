#include "wasabiroad/maintenance/controller.hpp"

#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/routing/rendezvous.hpp"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wasabiroad::maintenance {

using fleet::WavePhase;
using kernel::ResultCode;
using lifecycle::VmEvent;
using model::VmState;

namespace {

const kernel::Clock steadyClock { kernel::SteadyClock {} };
const kernel::Clock wallClock { kernel::WallClock {} };

/** A watch is renewed after this time, so that a half-open connection is detected. */
constexpr kernel::Duration watchTimeout { 10000 };
/** Limits the rate of calls during an outage of the platform. */
constexpr kernel::Duration retryDelay { 1000 };
/** Pause when there was nothing to write. */
constexpr kernel::Duration idleInterval { 250 };
/** A daemon that was not chosen takes over when no ledger or wave has changed for this long. */
constexpr kernel::Duration takeOverTimeout { 10000 };
/** Interval for VMs that do not serve, and for all after a failed probe. */
constexpr kernel::Duration probeInterval { 500 };
/** Interval for VMs that serve; with 560 of them this makes about 37 probes per second. */
constexpr kernel::Duration servingProbeInterval { 15000 };
/** Interval for reading the platform's list while a VM of the zone is in maintenance or failed. */
constexpr kernel::Duration listInterval { 500 };
/** When a wave has not changed for this long, the own zone claims the slots that other zones leave unused. */
constexpr kernel::Duration otherZonesTimeout { 5000 };

void logFailure(std::string_view call, const kernel::Error& error)
{
    kernel::logEvent("platform-call-failed",
        { { "call", call }, { "code", number(error.code) }, { "detail", error.found } });
}

void logStep(const fleet::Step& step, const fleet::Ledger& ledger)
{
    std::visit(kernel::Overloaded {
                   [&](const fleet::Disrupt& disruption) {
                       kernel::logEvent("vm-step",
                           { { "vm", disruption.vm.text() }, { "event", "drain-requested" },
                               { "reason", fleet::name(disruption.reason) }, { "cause", disruption.cause },
                               { "step", ledger.lastStep } });
                   },
                   [&](const fleet::ApplyEvent& transition) {
                       const auto record = ledger.vms.find(transition.vm);
                       const auto state
                           = record == ledger.vms.end() ? "removed" : model::name(record->second.state);
                       kernel::logEvent("vm-step",
                           { { "vm", transition.vm.text() }, { "event", lifecycle::name(transition.event) },
                               { "state", state }, { "step", ledger.lastStep } });
                   },
                   [&](const auto&) {
                       kernel::logEvent(
                           "ledger-step", { { "zone", ledger.zone.text() }, { "step", ledger.lastStep } });
                   },
               },
        step);
}

/** The choice only avoids duplicate calls; compare-and-swap keeps concurrent writers safe. */
model::EntryId chooseEntry(
    const std::vector<model::EntryId>& entries, const model::ZoneId& zone, const model::EntryId& self)
{
    std::vector<std::string> names;
    names.reserve(entries.size());
    for (const auto& entry : entries) {
        names.push_back(entry.text());
    }
    return names.empty() ? self
                         : model::EntryId { routing::rendezvousRank(zone.text(), std::move(names)).front() };
}

} // namespace

Controller::Controller(boost::asio::io_context& ioContext, kernel::EventBus& eventBus,
    platform::Store platformStore, model::EntryId entryId, model::ZoneId zoneId)
    : context(ioContext)
    , bus(eventBus)
    , store(std::move(platformStore))
    , entry(std::move(entryId))
    , zone(std::move(zoneId))
    , chosenEntry(this->entry)
    , probes(ioContext)
{
    this->bus.subscribe<control::ConfigurationAdopted>(
        [this](const control::ConfigurationAdopted& event) { adoptConfiguration(event); });
    this->bus.subscribe<control::MembershipChanged>([this](const control::MembershipChanged& event) {
        this->chosenEntry = chooseEntry(event.zoneEntries, this->zone, this->entry);
    });
}

void Controller::adoptConfiguration(const control::ConfigurationAdopted& event)
{
    this->configuration = event.configuration;
    this->layout = std::make_shared<const fleet::Layout>(
        fleet::layoutOf(event.configuration->manifest, event.configuration->generation, this->zone));
}

void Controller::receive(const platform::Entry& received)
{
    if (received.key.starts_with(ledgerPrefix)) {
        if (const auto ledger = parseLedger(received.value)) {
            storeLedger(std::make_shared<const StoredLedger>(StoredLedger { *ledger, received.version }));
        } else {
            logFailure(received.key, ledger.error());
        }
    } else if (const auto progress = parseWaveProgress(received.value)) {
        storeProgress(std::make_shared<const StoredProgress>(StoredProgress { *progress, received.version }));
    } else {
        logFailure(received.key, progress.error());
    }
}

/** Ignores older versions: a watch may deliver one after this daemon has written a newer one. */
void Controller::storeLedger(LedgerPointer ledger)
{
    auto& current = this->ledgers[ledger->document.zone];
    if (current && current->version >= ledger->version) {
        return;
    }
    current = std::move(ledger);
    this->lastChange = kernel::now(steadyClock);
    if (current->document.zone == this->zone) {
        for (const auto& [vm, record] : current->document.vms) {
            this->probes.recordStep(vm, record.step);
        }
    }
    publishAssignments();
}

void Controller::storeProgress(ProgressPointer progress)
{
    auto& current = this->waves[progress->document.wave];
    if (!current || current->version < progress->version) {
        current = std::move(progress);
        this->lastChange = kernel::now(steadyClock);
    }
}

void Controller::publishAssignments()
{
    std::map<model::VmId, control::Assignment> assignments;
    for (const auto& [id, ledger] : this->ledgers) {
        for (const auto& [vm, record] : ledger->document.vms) {
            assignments.emplace(vm, control::Assignment { record.pool, record.state });
        }
    }
    this->bus.publish(control::AssignmentsChanged { std::move(assignments) });
}

fleet::Ledgers Controller::ledgersByZone() const
{
    fleet::Ledgers documents;
    for (const auto& [id, ledger] : this->ledgers) {
        documents.emplace(id, ledger->document);
    }
    return documents;
}

const fleet::Ledger& Controller::ownLedger() const { return this->ledgers.at(this->zone)->document; }

boost::asio::awaitable<void> Controller::follow(std::string prefix)
{
    boost::asio::steady_timer timer { this->context };
    std::uint64_t revision = 0;
    while (true) {
        // List first: a watch of an empty prefix would block until its time-out.
        auto call = this->loadedPrefixes.contains(prefix)
            ? platform::watch(this->store, prefix, revision, watchTimeout)
            : platform::list(this->store, prefix);
        const auto listing = co_await std::move(call);
        if (!listing) {
            logFailure("watch", listing.error());
            timer.expires_after(retryDelay.chrono());
            co_await timer.async_wait(boost::asio::use_awaitable);
            continue;
        }
        revision = listing->revision;
        this->loadedPrefixes.insert(prefix);
        for (const auto& received : listing->entries) {
            receive(received);
        }
    }
}

boost::asio::awaitable<void> Controller::run()
{
    boost::asio::steady_timer timer { this->context };
    while (!this->stopping) {
        const bool responsible = isResponsible();
        if (this->wasResponsible && !responsible) {
            this->probes.clear();
        }
        this->wasResponsible = responsible;
        bool written = false;
        if (responsible) {
            written = co_await advance();
        }
        if (!written) {
            timer.expires_after(idleInterval.chrono());
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }
}

bool Controller::isResponsible()
{
    if (!this->layout || !this->loadedPrefixes.contains(std::string { ledgerPrefix })
        || !this->loadedPrefixes.contains(std::string { wavePrefix })) {
        return false;
    }
    return this->chosenEntry == this->entry || kernel::now(steadyClock) - this->lastChange >= takeOverTimeout;
}

Controller::AwaitableWritten Controller::advance()
{
    if (!this->ledgers.contains(this->zone)) {
        const StoredLedger empty { fleet::emptyLedger(this->zone) };
        this->ledgers.emplace(this->zone, std::make_shared<const StoredLedger>(empty));
    }
    if (co_await adoptManifest()) {
        co_return true;
    }
    if (ownLedger().generation != this->layout->generation) {
        co_return false;
    }
    probeZone();
    co_await readPlatformList();
    if (co_await advanceLending()) {
        co_return true;
    }
    if (co_await advanceVms()) {
        co_return true;
    }
    const auto current = this->waves;
    for (const auto& [id, progress] : current) {
        const auto wave = fleet::findWave(this->configuration->manifest, id);
        if (!wave) {
            continue;
        }
        const model::Wave declared = **wave;
        const StoredProgress stored = *progress;
        if (co_await advanceWave(declared, stored)) {
            co_return true;
        }
    }
    co_return false;
}

/** Adopts a newer manifest, raises the shares once all zones have adopted it, then drains removed VMs. */
Controller::AwaitableWritten Controller::adoptManifest()
{
    const auto& ledger = ownLedger();
    if (ledger.generation > this->layout->generation) {
        co_return false;
    }
    const auto isMissing = [&](const auto& declared) { return !ledger.vms.contains(declared.first); };
    const auto isRemovable = [&](const auto& entry) {
        const auto state = entry.second.state;
        return !this->layout->vms.contains(entry.first)
            && (state == VmState::Drained || state == VmState::Failed);
    };
    if (ledger.generation < this->layout->generation || std::ranges::any_of(this->layout->vms, isMissing)
        || std::ranges::any_of(ledger.vms, isRemovable)) {
        const fleet::Step adoption { fleet::AdoptManifest {} };
        co_return co_await applyStep(adoption);
    }
    const bool sharesRaised = std::ranges::all_of(this->layout->services, [&](const auto& service) {
        const auto share = ledger.shares.find(service.first);
        return share != ledger.shares.end() && share->second == service.second.share;
    });
    if (!sharesRaised) {
        std::map<model::ZoneId, model::Generation> generations;
        for (const auto& [id, stored] : this->ledgers) {
            generations.emplace(id, stored->document.generation);
        }
        const bool allFollow = std::ranges::all_of(this->layout->zones, [&](const auto& id) {
            const auto generation = generations.find(id);
            return generation != generations.end() && generation->second >= this->layout->generation;
        });
        const fleet::Step raise { fleet::RaiseShares { std::move(generations) } };
        co_return allFollow&& co_await applyStep(raise);
    }
    for (const auto& [vm, record] : ledger.vms) {
        if (!this->layout->vms.contains(vm) && record.state == VmState::Serving) {
            const fleet::Step removal { fleet::Disrupt { vm, fleet::Reason::Operator, "removed", {} } };
            if (fleet::apply(ledger, *this->layout, removal, {})) {
                co_return co_await applyStep(removal);
            }
        }
    }
    co_return false;
}

fleet::PendingVms Controller::pendingVms() const
{
    fleet::PendingVms total;
    for (const auto& [id, progress] : this->waves) {
        const auto wave = fleet::findWave(this->configuration->manifest, id);
        if (!wave) {
            continue;
        }
        for (const auto& [zoneId, pools] :
            fleet::pendingVms(this->configuration->manifest, **wave, progress->document)) {
            for (const auto& [pool, count] : pools) {
                total[zoneId][pool] += count;
            }
        }
    }
    return total;
}

Controller::AwaitableWritten Controller::advanceLending()
{
    const auto next = fleet::nextLendingStep(*this->layout, ledgersByZone(), pendingVms());
    if (!next) {
        co_return false;
    }
    co_return co_await applyStep(*next);
}

void Controller::probeZone()
{
    for (const auto& [vm, record] : ownLedger().vms) {
        const auto declared = this->layout->vms.find(vm);
        if (declared != this->layout->vms.end()) {
            this->probes.probe(vm, declared->second.address,
                record.state == VmState::Serving ? servingProbeInterval : probeInterval, probeInterval);
        }
    }
}

boost::asio::awaitable<void> Controller::readPlatformList()
{
    const bool listNeeded = std::ranges::any_of(ownLedger().vms, [](const auto& record) {
        return record.second.state == VmState::InMaintenance || record.second.state == VmState::Failed;
    });
    const auto now = kernel::now(steadyClock);
    if (!listNeeded || now - this->platformVmsReadAt < listInterval) {
        co_return;
    }
    const auto vms = co_await platform::listVms(this->store);
    this->platformVmsReadAt = kernel::now(steadyClock);
    this->platformVms.reset();
    if (!vms) {
        logFailure("vms", vms.error());
        co_return;
    }
    this->platformVms.emplace();
    for (const auto& vm : *vms) {
        this->platformVms->emplace(model::VmId { vm.id }, vm);
    }
}

bool Controller::wasAborted(const fleet::VmRecord& record) const
{
    return std::ranges::any_of(this->waves, [&](const auto& wave) {
        const auto& progress = wave.second->document;
        return progress.phase == WavePhase::Aborted && record.cause == fleet::runName(progress);
    });
}

fleet::ProgressRules Controller::rulesFor(const fleet::VmRecord& record) const
{
    for (const auto& [id, progress] : this->waves) {
        const auto wave = fleet::findWave(this->configuration->manifest, id);
        if (wave && record.cause == fleet::runName(progress->document)) {
            return { .healthWait = (*wave)->healthWait };
        }
    }
    return {};
}

fleet::VmObservation Controller::observe(const model::VmId& vm, const fleet::VmRecord& record) const
{
    const auto probed = this->probes.observe(vm, rulesFor(record));
    // A VM missing from the platform's list has not been stopped for maintenance yet.
    const platform::ListedVm unlisted { vm.text() };
    const auto found
        = this->platformVms ? this->platformVms->find(vm) : decltype(this->platformVms->end()) {};
    const auto& listing = this->platformVms && found != this->platformVms->end() ? found->second : unlisted;
    return {
        .timeInState = probed.timeInState,
        .healthyFor = probed.healthyFor,
        .failedProbes = probed.failedProbes,
        .running = probed.running,
        .platformStep = this->platformVms ? std::optional { listing.step } : std::nullopt,
        .rebooting = listing.rebooting,
        .aborted = wasAborted(record),
    };
}

Controller::AwaitableWritten Controller::advanceVms()
{
    const auto records = ownLedger().vms;
    for (const auto& [vm, record] : records) {
        if (co_await advanceVm(vm, record)) {
            co_return true;
        }
    }
    co_return false;
}

Controller::AwaitableWritten Controller::advanceVm(model::VmId vm, fleet::VmRecord record)
{
    const auto observation = observe(vm, record);
    const auto action = fleet::nextAction(record, observation, rulesFor(record));
    if (const auto* const stop = std::get_if<fleet::StopVm>(&action)) {
        const auto started = co_await platform::startMaintenance(this->store, vm.text(), stop->step);
        if (!started) {
            logFailure("maintenance", started.error());
        }
        // The last list predates the request, so it must be read again.
        this->platformVms.reset();
        this->platformVmsReadAt = {};
        co_return false;
    }
    const auto* const event = std::get_if<fleet::WriteEvent>(&action);
    if (event == nullptr) {
        co_return false;
    }
    const fleet::Step transition { fleet::ApplyEvent {
        vm, event->event, observation.platformStep.value_or(0) } };
    if (!fleet::apply(ownLedger(), *this->layout, transition, {})) {
        co_return false;
    }
    co_return co_await applyStep(transition);
}

Controller::AwaitableWritten Controller::advanceActiveVm(
    model::Wave wave, StoredProgress progress, model::VmId vm)
{
    const auto record = ownLedger().vms.find(vm);
    if (record == ownLedger().vms.end()) {
        const fleet::WaveChange released { fleet::ReleaseSlot { vm, false } };
        co_return co_await applyChange(wave, progress, released);
    }
    const auto run = fleet::runName(progress.document);
    if (record->second.state == VmState::Failed) {
        const fleet::WaveChange failed { fleet::RecordFailure { vm } };
        co_return co_await applyChange(wave, progress, failed);
    }
    if (record->second.state != VmState::Serving) {
        co_return false;
    }
    const bool maintained = record->second.maintained == run;
    const fleet::Step drain { fleet::Disrupt { vm, fleet::Reason::Wave, run, {} } };
    const bool wanted = progress.document.phase == WavePhase::Running;
    if (!maintained && wanted && fleet::apply(ownLedger(), *this->layout, drain, {})) {
        co_return co_await applyStep(drain);
    }
    const fleet::WaveChange released { fleet::ReleaseSlot { vm, maintained } };
    co_return co_await applyChange(wave, progress, released);
}

Controller::AwaitableWritten Controller::advanceWave(model::Wave wave, StoredProgress progress)
{
    const auto& document = progress.document;
    for (const auto& vm : document.active) {
        if (this->layout->vms.contains(vm) && co_await advanceActiveVm(wave, progress, vm)) {
            co_return true;
        }
    }
    if (document.phase != WavePhase::Running) {
        co_return false;
    }
    const auto selected = fleet::selectedVms(this->configuration->manifest, wave);
    const auto& records = ownLedger().vms;
    for (const auto& [vm, record] : records) {
        if (record.state == VmState::Failed && record.since >= document.started && selected.contains(vm)
            && !document.failed.contains(vm)) {
            const fleet::WaveChange failed { fleet::RecordFailure { vm } };
            co_return co_await applyChange(wave, progress, failed);
        }
    }
    co_return document.active.size() < wave.parallel&& co_await claimSlot(wave, progress);
}

Controller::AwaitableWritten Controller::claimSlot(model::Wave wave, StoredProgress progress)
{
    const auto now = kernel::now(wallClock);
    const bool otherZonesIdle = now - progress.document.changed >= otherZonesTimeout;
    const auto zones = otherZonesIdle ? std::set<model::ZoneId> { this->zone } : std::set<model::ZoneId> {};
    const fleet::VersionedManifest plan { this->configuration->manifest, this->configuration->generation };
    const auto choices = fleet::planWave(plan, wave, progress.document, ledgersByZone(), zones, now);
    for (const auto& choice : choices) {
        if (choice.zone == this->zone && std::holds_alternative<fleet::StartNow>(choice.decision)) {
            const fleet::WaveChange claimed { fleet::ClaimSlot { choice.vm } };
            co_return co_await applyChange(wave, progress, claimed);
        }
    }
    co_return false;
}

Controller::AwaitableWritten Controller::applyStep(fleet::Step step)
{
    const LedgerPointer current = this->ledgers.at(this->zone);
    const auto next = fleet::apply(current->document, *this->layout, step, kernel::now(wallClock));
    if (!next) {
        kernel::logEvent("step-rejected",
            { { "code", number(next.error().code) }, { "where", next.error().where },
                { "found", next.error().found }, { "allowed", next.error().allowed } });
        co_return false;
    }
    const auto key = ledgerKey(this->zone);
    const auto version = co_await writeBack(this->store, key, toText(*next), current->version);
    if (!version) {
        logFailure(key, version.error());
        co_await reread(key);
        co_return false;
    }
    logStep(step, *next);
    storeLedger(std::make_shared<const StoredLedger>(StoredLedger { *next, *version }));
    co_return true;
}

Controller::AwaitableWritten Controller::applyChange(
    model::Wave wave, StoredProgress progress, fleet::WaveChange change)
{
    const auto selected = fleet::selectedVms(this->configuration->manifest, wave);
    const auto next = fleet::apply(progress.document, wave, selected, change, kernel::now(wallClock));
    if (!next) {
        co_return false;
    }
    const auto key = waveKey(wave.id);
    const auto version = co_await writeBack(this->store, key, toText(*next), progress.version);
    if (!version) {
        logFailure(key, version.error());
        co_await reread(key);
        co_return false;
    }
    kernel::logEvent("wave-changed",
        { { "wave", fleet::runName(*next) }, { "phase", fleet::name(next->phase) },
            { "active", next->active.size() }, { "done", next->done.size() },
            { "failed", next->failed.size() } });
    storeProgress(std::make_shared<const StoredProgress>(StoredProgress { *next, *version }));
    co_return true;
}

boost::asio::awaitable<void> Controller::reread(std::string key)
{
    const auto current = co_await platform::get(this->store, key);
    if (current) {
        receive(*current);
    }
}

} // namespace wasabiroad::maintenance
