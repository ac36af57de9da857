#pragma once

#include "wasabiroad/kernel/result_code.hpp"
#include "wasabiroad/traffic/ticket.hpp"

#include <vector>

namespace wasabiroad::traffic {

/**
 * @brief Issues the tickets of one incarnation and remembers which of them were used.
 *
 * It holds one bit for each of the latest serials. A serial below this window counts as used, so
 * that the memory is bounded and no serial is accepted twice. One thread calls it.
 */
class TicketBook {
public:
    /** Tickets that can be open at once: 128 KB of bits. */
    static constexpr std::uint64_t defaultWindow = 1U << 20U;

    /** @param window Number of the latest serials that are still accepted, at least 1. */
    TicketBook(model::EntryId entry, std::uint64_t incarnation, TicketSecret secret,
        std::uint64_t window = defaultWindow);

    /** @return A new ticket. */
    Ticket issue();

    /** @return A ticket of this book as text. */
    std::string text(const Ticket& ticket) const { return format(ticket, this->secret); }

    /**
     * @brief Uses a ticket up, also when the request is refused afterwards.
     * @return Ok for its first use; TicketInvalid when this incarnation did not issue it; AlreadyRun when
     * it was used before or is below the window.
     */
    kernel::ResultCode redeem(std::string_view text);

private:
    const model::EntryId entry;
    const std::uint64_t incarnation;
    const TicketSecret secret;
    /** @brief Whether a serial was used, at its remainder by the size of the window. */
    std::vector<bool> used;
    std::uint64_t lastSerial { 0 };
};

} // namespace wasabiroad::traffic
