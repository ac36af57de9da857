#pragma once

#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/model/manifest.hpp"

namespace wasabiroad::manifest {

/**
 * @brief Checks identifiers, references and counts that the schema cannot express.
 * @param manifest Manifest that has passed its schema.
 * @return All errors; empty when the manifest is valid.
 * Errors: DuplicateIdentifier, UnknownReference, ValueOutOfRange.
 */
kernel::Errors check(const model::Manifest& manifest);

} // namespace wasabiroad::manifest
