#pragma once

#include "wasabiroad/http/target.hpp"
#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/error.hpp"

#include <variant>

namespace wasabiroad::standin {

/** @brief Direction of bytes through the proxy. */
enum class Direction : std::uint8_t { ToServer, ToClient };

/** @brief Forwards everything. */
struct NoFault {
    friend auto operator<=>(const NoFault&, const NoFault&) = default;
};

/** @brief Delays each piece of data, in both directions. */
struct Delay {
    const kernel::Duration length;
    friend auto operator<=>(const Delay&, const Delay&) = default;
};

/** @brief Resets a connection after a number of bytes in one direction. */
struct CutAfter {
    const std::uint64_t bytes;
    friend auto operator<=>(const CutAfter&, const CutAfter&) = default;
};

/** @brief Ends a connection in order after a number of bytes to the client. */
struct TruncateAnswer {
    const std::uint64_t bytes;
    friend auto operator<=>(const TruncateAnswer&, const TruncateAnswer&) = default;
};

/** @brief Accepts connections and drops all bytes. */
struct BlackHole {
    friend auto operator<=>(const BlackHole&, const BlackHole&) = default;
};

/** @brief Closes the listener, so that connections are refused. */
struct Refuse {
    friend auto operator<=>(const Refuse&, const Refuse&) = default;
};

/** @brief Resets connections when they are accepted, and existing ones with their next bytes. */
struct Reset {
    friend auto operator<=>(const Reset&, const Reset&) = default;
};

/** @brief Drops all bytes of one direction. */
struct HalfOpen {
    const Direction lost;
    friend auto operator<=>(const HalfOpen&, const HalfOpen&) = default;
};

/** @brief Holds all bytes for a time after the fault is set, then forwards them. */
struct Partition {
    const kernel::Duration length;
    friend auto operator<=>(const Partition&, const Partition&) = default;
};

/** @brief Sends each whole HTTP answer twice; for connections accepted while it is set. */
struct DuplicateAnswers {
    friend auto operator<=>(const DuplicateAnswers&, const DuplicateAnswers&) = default;
};

/** @brief Swaps each two whole HTTP answers of a connection accepted while it is set. */
struct ReorderAnswers {
    /** @brief Time that an answer is held for its successor. */
    const kernel::Duration hold;
    friend auto operator<=>(const ReorderAnswers&, const ReorderAnswers&) = default;
};

/** @brief Draws a fault for each accepted connection. */
struct RandomFaults {
    const std::uint64_t seed;
    /** @brief Share of connections with a fault. */
    const std::uint32_t percent;
    friend auto operator<=>(const RandomFaults&, const RandomFaults&) = default;
};

using Fault = std::variant<NoFault, Delay, CutAfter, TruncateAnswer, BlackHole, Refuse, Reset, HalfOpen,
    Partition, DuplicateAnswers, ReorderAnswers, RandomFaults>;

/** @brief What happens to one piece of data. */
struct Step {
    enum class End : std::uint8_t { None, Close, Reset };

    const kernel::Duration delay {};
    /** @brief Bytes to forward; the rest is dropped. */
    const std::uint64_t forward { 0 };
    const End end { End::None };

    friend auto operator<=>(const Step&, const Step&) = default;
};

/** @brief One piece of data that has arrived at the proxy. */
struct Piece {
    const Direction direction;
    /** @brief Bytes forwarded in this direction before. */
    const std::uint64_t forwarded { 0 };
    const std::uint64_t size { 0 };
    /** @brief Time since the fault was set. */
    const kernel::Duration age {};

    friend auto operator<=>(const Piece&, const Piece&) = default;
};

/** @return What a fault does to a piece of data. */
Step plan(const Fault& fault, const Piece& piece);

/** @brief Reads a fault from a query such as `kind=delay&ms=50`. Errors: ValueOutOfRange. */
kernel::Expected<Fault> parseFault(const http::Target& target);

/** @return Name of the kind of a fault, as in `parseFault`. */
std::string_view kindOf(const Fault& fault);

/** @brief Draws a fault for a connection from a number that is uniform over its range. */
Fault drawFault(const RandomFaults& faults, std::uint32_t random);

} // namespace wasabiroad::standin
