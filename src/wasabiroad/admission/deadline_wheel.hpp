#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace wasabiroad::admission {

/**
 * @brief Hierarchical timing wheel over small integer ids.
 *
 * Adding and removing cost O(1). Advancing costs O(1) for each entry that is due, plus at most one move
 * per level over the life of an entry; it does not depend on the elapsed time or on entries that are not due.
 */
class DeadlineWheel {
public:
    DeadlineWheel();

    /** @brief Adds an id that is not in the wheel; with an instant in the past it is due at once. */
    void add(std::uint32_t id, kernel::Instant due);

    /** @brief Removes an id; does nothing when it is not in the wheel. */
    void remove(std::uint32_t id);

    /** @brief Removes the ids that are due and appends them to `due`. */
    void advance(kernel::Instant now, std::vector<std::uint32_t>& due);

private:
    static constexpr std::uint32_t none = UINT32_MAX;
    static constexpr std::uint32_t bitsPerLevel = 6;
    static constexpr std::uint32_t slotsPerLevel = 1U << bitsPerLevel;
    /** 11 levels of 6 bits cover all 64 bits of an instant. */
    static constexpr std::uint32_t levels = 11;

    struct Node {
        std::uint64_t due { 0 };
        std::uint32_t previous { none };
        std::uint32_t next { none };
        std::uint32_t bucket { none };
    };

    void insert(std::uint32_t id);

    std::uint64_t current { 0 };
    std::vector<Node> nodes {};
    std::array<std::uint32_t, std::size_t { levels } * slotsPerLevel> heads {};
    std::array<std::uint64_t, levels> occupied {};
};

} // namespace wasabiroad::admission
