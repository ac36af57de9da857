#pragma once

#include "wasabiroad/model/manifest.hpp"

#include <string>
#include <vector>

namespace wasabiroad::tool {

/** @brief Kind of a change between two manifests. */
enum class ChangeKind : unsigned char {
    Added,
    Removed,
    Changed,
};

/** @return Name of the kind as it is printed. */
std::string_view name(ChangeKind kind);

/** @brief One difference between the manifest in force and a new one. */
struct Change {
    const ChangeKind kind;
    /** @brief What it is about, such as `vm` or `service`. */
    const std::string subject;
    const std::string id;
    /** @brief What the change does to VMs and budgets; empty when it does nothing to them. */
    const std::string effect {};

    friend auto operator<=>(const Change&, const Change&) = default;
};

/**
 * @brief Compares two manifests.
 * @param current Manifest in force; an empty one when there is none.
 * @param next Manifest to put in force.
 * @return All changes, by subject and id.
 */
std::vector<Change> difference(const model::Manifest& current, const model::Manifest& next);

} // namespace wasabiroad::tool
