#pragma once

#include <compare>
#include <string>
#include <variant>

namespace wasabiroad::traffic {

/** @brief The request is idempotent and needs no protection from a second run. */
struct Repeatable {
    friend auto operator<=>(const Repeatable&, const Repeatable&) = default;
};

/** @brief The request runs only if its ticket is of this incarnation and unused. */
struct NeedsTicket {
    const std::string ticket;

    friend auto operator<=>(const NeedsTicket&, const NeedsTicket&) = default;
};

/** @brief The request runs only if its claim could be created in the platform. */
struct NeedsClaim {
    const std::string key;

    friend auto operator<=>(const NeedsClaim&, const NeedsClaim&) = default;
};

/** @brief What keeps a request from running twice. */
using Safeguard = std::variant<Repeatable, NeedsTicket, NeedsClaim>;

} // namespace wasabiroad::traffic
