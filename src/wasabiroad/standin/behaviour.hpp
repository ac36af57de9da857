#pragma once

#include "wasabiroad/http/target.hpp"
#include "wasabiroad/kernel/error.hpp"

#include <variant>

namespace wasabiroad::standin {

/** @brief Runs each request for its run time. */
struct Healthy {
    friend auto operator<=>(const Healthy&, const Healthy&) = default;
};

/** @brief Starts each request and fails it at once with status 500. */
struct FailFast {
    friend auto operator<=>(const FailFast&, const FailFast&) = default;
};

/** @brief Runs each request for a multiple of its run time. */
struct Slow {
    const std::uint32_t factor;
    friend auto operator<=>(const Slow&, const Slow&) = default;
};

/** @brief Reads requests, runs none and never answers. */
struct Unresponsive {
    friend auto operator<=>(const Unresponsive&, const Unresponsive&) = default;
};

/** @brief Works, and marks each answer with the leaving sign. */
struct Leaving {
    friend auto operator<=>(const Leaving&, const Leaving&) = default;
};

/** @brief Closes the connection instead of running a share of the requests. */
struct KillBeforeRun {
    const std::uint32_t percent;
    friend auto operator<=>(const KillBeforeRun&, const KillBeforeRun&) = default;
};

/** @brief Runs a share of the requests and closes the connection instead of answering. */
struct KillAfterRun {
    const std::uint32_t percent;
    friend auto operator<=>(const KillAfterRun&, const KillAfterRun&) = default;
};

/** @brief How an upstream of the stand-in behaves. */
using Behaviour = std::variant<Healthy, FailFast, Slow, Unresponsive, Leaving, KillBeforeRun, KillAfterRun>;

/** @brief Reads a behaviour from a query such as `kind=slow&factor=4`. Errors: ValueOutOfRange. */
kernel::Expected<Behaviour> parseBehaviour(const http::Target& target);

} // namespace wasabiroad::standin
