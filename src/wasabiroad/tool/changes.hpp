#pragma once

#include "wasabiroad/tool/difference.hpp"
#include "wasabiroad/tool/output.hpp"
#include "wasabiroad/tool/stored_manifest.hpp"

namespace wasabiroad::tool {

/**
 * @brief Compares a manifest with the one in force.
 * @param stored Manifest in force, or one of generation 0.
 * @param next Manifest to compare.
 * @return All changes, or the errors of the stored text.
 */
kernel::Checked<std::vector<Change>> changesTo(const StoredManifest& stored, const model::Manifest& next);

/** @brief Prints changes and the generation that they were planned against. */
void printChanges(OutputFormat format, model::Generation generation, const std::vector<Change>& changes);

} // namespace wasabiroad::tool
