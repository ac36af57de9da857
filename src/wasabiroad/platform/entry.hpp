#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wasabiroad::platform {

/** @brief A key with its value and version in the platform's service. */
struct Entry {
    const std::string key;
    const std::string value;
    /** @brief Revision of the last change of the key; a new key's version is never one it had before. */
    const std::uint64_t version { 0 };

    friend auto operator<=>(const Entry&, const Entry&) = default;
};

/** @brief Keys under a prefix, as of one revision. */
struct Listing {
    const std::uint64_t revision { 0 };
    const std::vector<Entry> entries {};

    friend auto operator<=>(const Listing&, const Listing&) = default;
};

/** @brief State of a VM in the platform's own, lagging list. */
struct ListedVm {
    const std::string id;
    const bool leaving { false };
    /** @brief Whether the VM is stopped for maintenance at this moment. */
    const bool rebooting { false };
    /** @brief Highest step that a maintenance stop of the VM was called with. */
    const std::uint64_t step { 0 };

    friend auto operator<=>(const ListedVm&, const ListedVm&) = default;
};

} // namespace wasabiroad::platform
