#pragma once

#include "wasabiroad/control/configuration_keys.hpp"
#include "wasabiroad/control/events.hpp"

namespace wasabiroad::control {

/**
 * @brief Decides whether a manifest text replaces the current configuration.
 * @param current Configuration in force in this daemon, or null.
 * @param head Generation and expected digest of the text.
 * @param text Manifest text.
 * @return The new configuration. Errors: StaleGeneration when the generation is not higher,
 * DigestMismatch when the digest of the text is not that of the head, or the first error of the manifest.
 */
kernel::Expected<ConfigurationPointer> adopt(
    const ConfigurationPointer& current, const Head& head, const std::string& text);

} // namespace wasabiroad::control
