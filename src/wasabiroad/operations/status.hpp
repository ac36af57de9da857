#pragma once

#include "wasabiroad/model/identifier.hpp"

#include <string>

namespace wasabiroad::operations {

/** @brief What a daemon reports about itself to operators. */
struct Status {
    const model::EntryId entry;
    const model::ZoneId zone;
    /** @brief Generation of the manifest in force; 0 before the first one. */
    const model::Generation generation {};
    const std::string digest {};
    const bool ready { false };

    friend auto operator<=>(const Status&, const Status&) = default;
};

/** @return The status as a JSON object. */
std::string toJson(const Status& status);

} // namespace wasabiroad::operations
