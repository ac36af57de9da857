#pragma once

#include "wasabiroad/maintenance/documents.hpp"
#include "wasabiroad/platform/store.hpp"

namespace wasabiroad::maintenance {

/** @brief A document with the version of its key; version 0 when the key does not exist. */
template <typename Document> struct Stored {
    const Document document;
    const std::uint64_t version { 0 };

    friend auto operator<=>(const Stored&, const Stored&) = default;
};

using StoredLedger = Stored<fleet::Ledger>;
using StoredProgress = Stored<fleet::WaveProgress>;

/** @brief Reads the ledger of a zone. Errors: those of the platform and of `parseLedger`. */
platform::Result<StoredLedger> readLedger(platform::Store store, model::ZoneId zone);

/** @brief Reads the progress of a wave. Errors: those of the platform and of `parseWaveProgress`. */
platform::Result<StoredProgress> readProgress(platform::Store store, model::WaveId wave);

/**
 * @brief Writes a document by compare-and-swap. When the response is lost, the key is read back;
 * identical text shows that the write took effect.
 * @param ifVersion Expected current version; 0 when the key must not exist.
 * @return The new version. Errors: VersionConflict, and those of the platform.
 */
platform::Result<std::uint64_t> writeBack(
    platform::Store store, std::string key, std::string text, std::uint64_t ifVersion);

} // namespace wasabiroad::maintenance
