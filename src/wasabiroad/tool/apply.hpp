#pragma once

#include "wasabiroad/control/configuration_keys.hpp"
#include "wasabiroad/platform/store.hpp"

#include <optional>

namespace wasabiroad::tool {

/** @brief Head of the configuration with the version of its key; version 0 when there is none yet. */
struct StoredHead {
    const control::Head head {};
    const std::uint64_t version { 0 };

    friend auto operator<=>(const StoredHead&, const StoredHead&) = default;
};

/** @brief Reads the head of the configuration. */
platform::Result<StoredHead> readHead(platform::Store store);

/**
 * @brief Stores a manifest as the next generation and puts it in force.
 *
 * The text is written first, then the head by compare-and-swap. When the answer to a write is
 * lost, the key is read back: the digest in it tells whose write took effect.
 * @param store Platform.
 * @param text Manifest that has passed its checks.
 * @param planned Generation that the change was planned against, or nothing for the current one.
 * @return The new head. Errors: GenerationConflict when another change came first, and those of the platform.
 */
platform::Result<control::Head> apply(
    platform::Store store, std::string text, std::optional<model::Generation> planned);

} // namespace wasabiroad::tool
