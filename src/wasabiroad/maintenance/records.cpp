#include "wasabiroad/maintenance/records.hpp"

#include "wasabiroad/fleet/step.hpp"

namespace wasabiroad::maintenance {

using kernel::ResultCode;

platform::Result<StoredLedger> readLedger(platform::Store store, model::ZoneId zone)
{
    const auto entry = co_await platform::get(store, ledgerKey(zone));
    if (!entry) {
        if (entry.error().code == ResultCode::KeyNotFound) {
            const StoredLedger empty { fleet::emptyLedger(zone) };
            co_return empty;
        }
        co_return tl::unexpected(entry.error());
    }
    const auto ledger = parseLedger(entry->value);
    if (!ledger) {
        co_return tl::unexpected(ledger.error());
    }
    const StoredLedger stored { *ledger, entry->version };
    co_return stored;
}

platform::Result<StoredProgress> readProgress(platform::Store store, model::WaveId wave)
{
    const auto entry = co_await platform::get(store, waveKey(wave));
    if (!entry) {
        if (entry.error().code == ResultCode::KeyNotFound) {
            const StoredProgress empty { fleet::WaveProgress { .wave = wave } };
            co_return empty;
        }
        co_return tl::unexpected(entry.error());
    }
    const auto progress = parseWaveProgress(entry->value);
    if (!progress) {
        co_return tl::unexpected(progress.error());
    }
    const StoredProgress stored { *progress, entry->version };
    co_return stored;
}

platform::Result<std::uint64_t> writeBack(
    platform::Store store, std::string key, std::string text, std::uint64_t ifVersion)
{
    const auto written = co_await platform::put(store, key, text, ifVersion);
    if (written || written.error().code == ResultCode::VersionConflict) {
        co_return written;
    }
    const auto stored = co_await platform::get(store, key);
    if (stored && stored->value == text) {
        co_return stored->version;
    }
    co_return tl::unexpected(written.error());
}

} // namespace wasabiroad::maintenance
