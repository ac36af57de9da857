#pragma once

#include <cstdint>
#include <string>

namespace wasabiroad::bench {

/** @brief Size of a manifest to write. */
struct ManifestSize {
    const std::uint32_t vms { 52 };
    const std::uint32_t zones { 3 };
    const std::uint32_t pools { 6 };
    const std::uint32_t teams { 3 };
    /** @brief Changes the text in one place, so that two revisions are two configurations. */
    const std::uint32_t revision { 0 };

    friend auto operator<=>(const ManifestSize&, const ManifestSize&) = default;
};

/** @return A valid manifest of the size as JSON text. */
std::string makeManifest(const ManifestSize& size);

} // namespace wasabiroad::bench
