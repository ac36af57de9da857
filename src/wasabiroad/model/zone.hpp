#pragma once

#include "wasabiroad/model/identifier.hpp"

namespace wasabiroad::model {

/** @brief An availability zone. */
struct Zone {
    const ZoneId id;
    const std::string region {};

    friend auto operator<=>(const Zone&, const Zone&) = default;
};

} // namespace wasabiroad::model
