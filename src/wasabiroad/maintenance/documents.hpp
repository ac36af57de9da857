#pragma once

#include "wasabiroad/fleet/ledger.hpp"
#include "wasabiroad/fleet/wave.hpp"

#include <string>

namespace wasabiroad::maintenance {

inline constexpr std::string_view ledgerPrefix { "ledger/" };
inline constexpr std::string_view wavePrefix { "wave/" };

/** @return Key of the ledger of a zone. */
std::string ledgerKey(const model::ZoneId& zone);

/** @return Key of the progress of a wave. */
std::string waveKey(const model::WaveId& wave);

/** @return The ledger as it is stored; members of a VM that have their default value are left out. */
std::string toText(const fleet::Ledger& ledger);

/** @return The progress of a wave as it is stored. */
std::string toText(const fleet::WaveProgress& progress);

/** @brief Reads a stored ledger. Errors: InvalidJson. */
kernel::Expected<fleet::Ledger> parseLedger(const std::string& text);

/** @brief Reads the stored progress of a wave. Errors: InvalidJson. */
kernel::Expected<fleet::WaveProgress> parseWaveProgress(const std::string& text);

} // namespace wasabiroad::maintenance
