#pragma once

#include "wasabiroad/model/identifier.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabiroad::traffic {

/** @brief Permission to run one non-idempotent request once at one incarnation of one entry VM. */
struct Ticket {
    const model::EntryId entry {};
    /** @brief Random number that a daemon draws when it starts. */
    const std::uint64_t incarnation { 0 };
    /** @brief Number of the ticket in its incarnation, from 1. */
    const std::uint64_t serial { 0 };

    friend auto operator<=>(const Ticket&, const Ticket&) = default;
};

/** @brief Random secret of an incarnation, from which the keyed hash of a ticket is made. */
struct TicketSecret {
    /** XXH3 needs a secret of at least 136 bytes; 192 is its default length. */
    static constexpr std::size_t length = 192;

    const std::array<unsigned char, length> bytes;

    friend auto operator<=>(const TicketSecret&, const TicketSecret&) = default;
};

/** @return The number with 16 hexadecimal digits. */
std::string hexadecimal(std::uint64_t value);

/** @return A ticket as text: entry, incarnation, serial and keyed hash, separated by dots. */
std::string format(const Ticket& ticket, const TicketSecret& secret);

/**
 * @brief Reads a ticket.
 * @return The ticket, or nothing when the text is malformed or its hash was made with another secret.
 */
std::optional<Ticket> parseTicket(std::string_view text, const TicketSecret& secret);

} // namespace wasabiroad::traffic
