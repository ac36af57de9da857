#pragma once

#include "wasabiroad/model/manifest.hpp"
#include "wasabiroad/tool/apply.hpp"

namespace wasabiroad::tool {

/** @brief The manifest in force, as the platform stores it. */
struct StoredManifest {
    /** @brief Generation 0 when no manifest is in force. */
    const control::Head head {};
    const std::string text {};

    friend auto operator<=>(const StoredManifest&, const StoredManifest&) = default;
};

/**
 * @brief Reads the manifest in force and checks its digest.
 * @return The manifest. Errors: DigestMismatch, and those of the platform.
 */
platform::Result<StoredManifest> readStoredManifest(platform::Store store);

} // namespace wasabiroad::tool
