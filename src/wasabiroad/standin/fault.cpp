#include "wasabiroad/standin/fault.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>
#include <array>

namespace wasabiroad::standin {

namespace {

struct Kind {
    const std::string_view name;
    Fault (*const make)(const http::Target&);
};

kernel::Duration milliseconds(const http::Target& target) { return { http::numberOf(target, "ms", 100) }; }

std::uint64_t bytes(const http::Target& target)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, http::numberOf(target, "bytes", 0)));
}

Direction lostDirection(const http::Target& target)
{
    const auto found = target.query.find("lost");
    return found != target.query.end() && found->second == "to-server" ? Direction::ToServer
                                                                       : Direction::ToClient;
}

/** In the order of the alternatives of `Fault`. */
constexpr std::array<Kind, std::variant_size_v<Fault>> kinds {
    Kind { "none", [](const http::Target&) -> Fault { return NoFault {}; } },
    Kind { "delay", [](const http::Target& target) -> Fault { return Delay { milliseconds(target) }; } },
    Kind { "cut", [](const http::Target& target) -> Fault { return CutAfter { bytes(target) }; } },
    Kind { "truncate", [](const http::Target& target) -> Fault { return TruncateAnswer { bytes(target) }; } },
    Kind { "black-hole", [](const http::Target&) -> Fault { return BlackHole {}; } },
    Kind { "refuse", [](const http::Target&) -> Fault { return Refuse {}; } },
    Kind { "reset", [](const http::Target&) -> Fault { return Reset {}; } },
    Kind {
        "half-open", [](const http::Target& target) -> Fault { return HalfOpen { lostDirection(target) }; } },
    Kind {
        "partition", [](const http::Target& target) -> Fault { return Partition { milliseconds(target) }; } },
    Kind { "duplicate", [](const http::Target&) -> Fault { return DuplicateAnswers {}; } },
    Kind { "reorder",
        [](const http::Target& target) -> Fault { return ReorderAnswers { milliseconds(target) }; } },
    Kind { "random",
        [](const http::Target& target) -> Fault {
            return RandomFaults { static_cast<std::uint64_t>(http::numberOf(target, "seed", 1)),
                static_cast<std::uint32_t>(http::numberOf(target, "percent", 10)) };
        } },
};

Step forwardUpTo(const Piece& piece, std::uint64_t limit, Step::End end)
{
    const auto left = limit - std::min(limit, piece.forwarded);
    return piece.size < left ? Step { .forward = piece.size } : Step { .forward = left, .end = end };
}

} // namespace

Step plan(const Fault& fault, const Piece& piece)
{
    const Step all { .forward = piece.size };
    return std::visit(
        kernel::Overloaded {
            [&](const Delay& delay) { return Step { .delay = delay.length, .forward = piece.size }; },
            [&](const CutAfter& cut) { return forwardUpTo(piece, cut.bytes, Step::End::Reset); },
            [&](const TruncateAnswer& truncate) {
                return piece.direction == Direction::ToClient
                    ? forwardUpTo(piece, truncate.bytes, Step::End::Close)
                    : all;
            },
            [](const BlackHole&) { return Step {}; },
            [](const Reset&) { return Step { .end = Step::End::Reset }; },
            [&](const HalfOpen& half) { return half.lost == piece.direction ? Step {} : all; },
            [&](const Partition& partition) {
                return Step { .delay = std::max(kernel::Duration {}, partition.length - piece.age),
                    .forward = piece.size };
            },
            [&](const auto&) { return all; },
        },
        fault);
}

kernel::Expected<Fault> parseFault(const http::Target& target)
{
    const auto named = target.query.find("kind");
    const std::string name = named == target.query.end() ? "none" : named->second;
    const auto* const kind = std::ranges::find(kinds, name, &Kind::name);
    if (kind == kinds.end()) {
        return kernel::fail(kernel::ResultCode::ValueOutOfRange, "kind", name, "a kind of fault");
    }
    return kind->make(target);
}

std::string_view kindOf(const Fault& fault) { return kinds.at(fault.index()).name; }

Fault drawFault(const RandomFaults& faults, std::uint32_t random)
{
    constexpr std::uint32_t hundred = 100;
    constexpr std::uint32_t choices = 6;
    constexpr std::uint32_t byteRange = 400;
    if (random % hundred >= faults.percent) {
        return NoFault {};
    }
    const auto rest = random / hundred;
    const std::uint64_t size = rest / choices % byteRange;
    switch (rest % choices) {
    case 0:
        return Delay { { static_cast<std::int64_t>(size) / 4 } };
    case 1:
        return CutAfter { size };
    case 2:
        return TruncateAnswer { size };
    case 3:
        return Reset {};
    case 4:
        return HalfOpen { size % 2 == 0 ? Direction::ToServer : Direction::ToClient };
    default:
        return DuplicateAnswers {};
    }
}

} // namespace wasabiroad::standin
