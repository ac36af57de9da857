#pragma once

#include "world.hpp"

#include <functional>
#include <map>

namespace review {

/** @brief A case: what it plays, and the revision at which the store begins with the disruption. */
struct Case {
    std::function<Task<bool>(World&, bool trouble)> play;
    std::int64_t firstRevision { 1 };
};

/** @return All cases by name. */
const std::map<std::string, Case>& cases();

} // namespace review
