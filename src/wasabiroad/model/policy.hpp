#pragma once

#include <compare>
#include <cstdint>
#include <variant>

namespace wasabiroad::model {

/** @brief Serves requests in order of arrival. */
struct FirstComeFirstServed {
    friend auto operator<=>(const FirstComeFirstServed&, const FirstComeFirstServed&) = default;
};

/** @brief Serves short work first and bounds the slots and the waiting of long work. */
struct ShortFirst {
    /** @brief Share of a pool's slots, in percent, that long work leaves to short work. */
    const std::uint32_t reservedPercent { 12 };
    /** @brief Short requests that may overtake a waiting long one. */
    const std::uint32_t maxOvertakes { 64 };

    friend auto operator<=>(const ShortFirst&, const ShortFirst&) = default;
};

using QueuePolicy = std::variant<FirstComeFirstServed, ShortFirst>;

/** @brief Takes the eligible upstreams in turn. */
struct RoundRobin {
    friend auto operator<=>(const RoundRobin&, const RoundRobin&) = default;
};

/** @brief Takes the eligible upstream with the fewest requests outstanding. */
struct LeastOutstanding {
    friend auto operator<=>(const LeastOutstanding&, const LeastOutstanding&) = default;
};

/** @brief Takes the better of two eligible upstreams drawn at random. */
struct TwoChoices {
    friend auto operator<=>(const TwoChoices&, const TwoChoices&) = default;
};

using PlacementPolicy = std::variant<RoundRobin, LeastOutstanding, TwoChoices>;

/** @brief Each entry VM uses all slots of an upstream on its own; the upstream refuses what is too much. */
struct IndependentSlots {
    friend auto operator<=>(const IndependentSlots&, const IndependentSlots&) = default;
};

/** @brief The slots of an upstream are divided among the live entry VMs of its availability zone. */
struct DividedSlots {
    friend auto operator<=>(const DividedSlots&, const DividedSlots&) = default;
};

using SlotPolicy = std::variant<IndependentSlots, DividedSlots>;

/** @brief Policies that the manifest chooses. */
struct Policies {
    const QueuePolicy queue { ShortFirst {} };
    const PlacementPolicy placement { LeastOutstanding {} };
    const SlotPolicy slots { DividedSlots {} };

    friend auto operator<=>(const Policies&, const Policies&) = default;
};

/** @brief Weights that a site gives to the four measures, in percent. */
struct Weights {
    const std::uint32_t reserve { 25 };
    const std::uint32_t rollOut { 25 };
    const std::uint32_t moves { 25 };
    const std::uint32_t waiting { 25 };

    friend auto operator<=>(const Weights&, const Weights&) = default;
};

} // namespace wasabiroad::model
