#include "wasabiroad/traffic/ticket.hpp"

#include <charconv>

#include <xxhash.h>

namespace wasabiroad::traffic {

namespace {

constexpr std::size_t digitsOfHash = 32;

std::string contents(const Ticket& ticket)
{
    return ticket.entry.text() + "." + hexadecimal(ticket.incarnation) + "." + std::to_string(ticket.serial);
}

std::string keyedHash(std::string_view text, const TicketSecret& secret)
{
    const auto hash
        = XXH3_128bits_withSecret(text.data(), text.size(), secret.bytes.data(), secret.bytes.size());
    return hexadecimal(hash.high64) + hexadecimal(hash.low64);
}

/** Compares in a time that does not depend on the position of the first difference. */
bool isSame(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0U : 1U;
    for (std::size_t index = 0; index < left.size() && index < right.size(); ++index) {
        difference |= static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    }
    return difference == 0;
}

std::optional<std::uint64_t> readNumber(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/** Removes the part behind the last dot. */
std::string_view takeLast(std::string_view& text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return {};
    }
    const auto last = text.substr(dot + 1);
    text = text.substr(0, dot);
    return last;
}

} // namespace

std::string hexadecimal(std::uint64_t value)
{
    constexpr std::string_view digits { "0123456789abcdef" };
    std::string text;
    for (unsigned shift = 64; shift > 0; shift -= 4) {
        text += digits[(value >> (shift - 4)) & 0xfU];
    }
    return text;
}

std::string format(const Ticket& ticket, const TicketSecret& secret)
{
    const auto text = contents(ticket);
    return text + "." + keyedHash(text, secret);
}

std::optional<Ticket> parseTicket(std::string_view text, const TicketSecret& secret)
{
    const auto hash = takeLast(text);
    if (hash.size() != digitsOfHash || !isSame(hash, keyedHash(text, secret))) {
        return std::nullopt;
    }
    const auto serial = readNumber(takeLast(text), 10);
    const auto incarnation = readNumber(takeLast(text), 16);
    if (!serial || !incarnation) {
        return std::nullopt;
    }
    return Ticket { model::EntryId { std::string { text } }, *incarnation, *serial };
}

} // namespace wasabiroad::traffic
