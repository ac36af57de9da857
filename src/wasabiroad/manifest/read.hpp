#pragma once

#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/model/manifest.hpp"

#include <string_view>

namespace wasabiroad::manifest {

/** @brief Largest manifest in bytes; the platform holds values up to 1 MB. */
inline constexpr std::size_t maxBytes = 1000000;

/**
 * @brief Reads a manifest and checks its schema, its sizes and its references.
 * @param text JSON text.
 * @return The manifest, or all errors, each with its JSON pointer.
 */
kernel::Checked<model::Manifest> read(std::string_view text);

/** @return The JSON Schema that `read` applies. */
std::string_view schema();

/** @return Digest of a manifest's text, 32 hexadecimal digits. */
std::string digest(std::string_view text);

} // namespace wasabiroad::manifest
