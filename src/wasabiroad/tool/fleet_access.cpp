#include "wasabiroad/tool/fleet_access.hpp"

#include "wasabiroad/manifest/read.hpp"
#include "wasabiroad/tool/apply.hpp"
#include "wasabiroad/tool/wait.hpp"

#include <algorithm>

namespace wasabiroad::tool {

using kernel::ResultCode;

namespace {

/** Writers of one document at once are few: the zone's daemons and operators. */
constexpr int attempts = 8;

kernel::Instant now()
{
    static const kernel::Clock clock { kernel::WallClock {} };
    return kernel::now(clock);
}

kernel::Expected<model::ZoneId> zoneOf(const model::Manifest& manifest, const model::VmId& vm)
{
    const auto found = std::ranges::find(manifest.vms, vm, &model::Vm::id);
    if (found == manifest.vms.end()) {
        return kernel::fail(ResultCode::UnknownVm, vm.text(), "not in the manifest in force");
    }
    return found->zone;
}

kernel::Expected<void> checkPool(const model::Manifest& manifest, const fleet::Step& step)
{
    const auto* const disrupt = std::get_if<fleet::Disrupt>(&step);
    if (disrupt == nullptr || disrupt->target.text().empty()
        || std::ranges::find(manifest.pools, disrupt->target, &model::Pool::id) != manifest.pools.end()) {
        return {};
    }
    return kernel::fail(ResultCode::UnknownPool, disrupt->target.text(), "not in the manifest in force");
}

} // namespace

platform::Result<ManifestInForce> readManifest(platform::Store store)
{
    const auto head = co_await readHead(store);
    if (!head) {
        co_return tl::unexpected(head.error());
    }
    const auto body = co_await platform::get(store, control::bodyKey(head->head));
    if (!body) {
        co_return tl::unexpected(body.error());
    }
    const auto manifest = manifest::read(body->value);
    if (!manifest) {
        co_return tl::unexpected(manifest.error().front());
    }
    const ManifestInForce inForce { head->head.generation, *manifest };
    co_return inForce;
}

platform::Result<fleet::Ledgers> readLedgers(platform::Store store)
{
    const auto listing = co_await platform::list(store, std::string { maintenance::ledgerPrefix });
    if (!listing) {
        co_return tl::unexpected(listing.error());
    }
    fleet::Ledgers ledgers;
    for (const auto& entry : listing->entries) {
        const auto ledger = maintenance::parseLedger(entry.value);
        if (!ledger) {
            co_return tl::unexpected(ledger.error());
        }
        ledgers.emplace(ledger->zone, *ledger);
    }
    co_return ledgers;
}

platform::Result<fleet::VmRecord> changeVm(platform::Store store, VmChange change)
{
    const auto inForce = co_await readManifest(store);
    if (!inForce) {
        co_return tl::unexpected(inForce.error());
    }
    const auto zone = zoneOf(inForce->manifest, change.vm);
    if (!zone) {
        co_return tl::unexpected(zone.error());
    }
    if (const auto known = checkPool(inForce->manifest, change.step); !known) {
        co_return tl::unexpected(known.error());
    }
    const auto layout = fleet::layoutOf(inForce->manifest, inForce->generation, *zone);
    for (int attempt = 1;; ++attempt) {
        const auto stored = co_await maintenance::readLedger(store, *zone);
        if (!stored) {
            co_return tl::unexpected(stored.error());
        }
        const auto next = fleet::apply(stored->document, layout, change.step, now());
        if (!next) {
            co_return tl::unexpected(next.error());
        }
        const auto record = next->vms.at(change.vm);
        if (change.dryRun) {
            co_return record;
        }
        const auto written = co_await maintenance::writeBack(
            store, maintenance::ledgerKey(*zone), maintenance::toText(*next), stored->version);
        if (written) {
            co_return record;
        }
        if (written.error().code != ResultCode::VersionConflict || attempt == attempts) {
            co_return tl::unexpected(written.error());
        }
    }
}

platform::Result<fleet::WaveProgress> changeWave(
    platform::Store store, model::WaveId id, fleet::WaveCommand command, bool dryRun)
{
    const auto inForce = co_await readManifest(store);
    if (!inForce) {
        co_return tl::unexpected(inForce.error());
    }
    const auto wave = fleet::findWave(inForce->manifest, id);
    if (!wave) {
        co_return tl::unexpected(wave.error());
    }
    const auto change = std::visit([](const auto& one) { return fleet::WaveChange { one }; }, command);
    const auto selected = fleet::selectedVms(inForce->manifest, **wave);
    for (int attempt = 1;; ++attempt) {
        const auto stored = co_await maintenance::readProgress(store, id);
        if (!stored) {
            co_return tl::unexpected(stored.error());
        }
        const auto next = fleet::apply(stored->document, **wave, selected, change, now());
        if (!next || dryRun) {
            co_return next;
        }
        const auto written = co_await maintenance::writeBack(
            store, maintenance::waveKey(id), maintenance::toText(*next), stored->version);
        if (written) {
            co_return next;
        }
        if (written.error().code != ResultCode::VersionConflict || attempt == attempts) {
            co_return tl::unexpected(written.error());
        }
    }
}

cxxopts::Options makeVmOptions(const std::string& command, const std::string& summary)
{
    auto options = makeOptions(command, summary);
    options.add_options()("vm", "Name of the VM", cxxopts::value<std::string>())(
        "platform", "IP address and port of the platform", cxxopts::value<std::string>())(
        "note", "Note for the ledger", cxxopts::value<std::string>()->default_value(""))(
        "dry-run", "Check the change against the budgets without making it");
    return options;
}

kernel::ResultCode runVmChange(const Invocation& invocation, fleet::Step step)
{
    const auto format = invocation.format();
    const auto store = invocation.platform();
    if (!store) {
        return printErrors(format, { store.error() });
    }
    const VmChange change { model::VmId { invocation.text("vm") }, std::move(step),
        invocation.has("dry-run") };
    const auto record = wait(changeVm(*store, change));
    if (!record) {
        return printErrors(format, { record.error() });
    }
    printObject(format,
        { { "vm", change.vm.text() }, { "pool", record->pool.text() },
            { "state", model::name(record->state) }, { "reason", fleet::name(record->reason) },
            { "dry-run", change.dryRun } });
    return ResultCode::Ok;
}

} // namespace wasabiroad::tool
