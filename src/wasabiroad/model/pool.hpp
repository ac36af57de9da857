#pragma once

#include "wasabiroad/model/identifier.hpp"

namespace wasabiroad::model {

/** @brief A pool of VMs. */
struct Pool {
    const PoolId id;
    /** @brief Whether other pools may take VMs from this one. */
    const bool spare { false };

    friend auto operator<=>(const Pool&, const Pool&) = default;
};

} // namespace wasabiroad::model
