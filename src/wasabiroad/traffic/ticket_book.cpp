#include "wasabiroad/traffic/ticket_book.hpp"

#include <algorithm>

namespace wasabiroad::traffic {

using kernel::ResultCode;

TicketBook::TicketBook(
    model::EntryId bookEntry, std::uint64_t bookIncarnation, TicketSecret bookSecret, std::uint64_t window)
    : entry(std::move(bookEntry))
    , incarnation(bookIncarnation)
    , secret(bookSecret)
    , used(std::max<std::uint64_t>(window, 1))
{
}

Ticket TicketBook::issue()
{
    const auto serial = ++this->lastSerial;
    this->used[serial % this->used.size()] = false;
    return { this->entry, this->incarnation, serial };
}

ResultCode TicketBook::redeem(std::string_view text)
{
    const auto ticket = parseTicket(text, this->secret);
    const bool ours = ticket && ticket->entry == this->entry && ticket->incarnation == this->incarnation
        && ticket->serial >= 1 && ticket->serial <= this->lastSerial;
    if (!ours) {
        return ResultCode::TicketInvalid;
    }
    const bool expired = ticket->serial + this->used.size() <= this->lastSerial;
    if (expired || this->used[ticket->serial % this->used.size()]) {
        return ResultCode::AlreadyRun;
    }
    this->used[ticket->serial % this->used.size()] = true;
    return ResultCode::Ok;
}

} // namespace wasabiroad::traffic
