#pragma once

#include <cstdint>

namespace wasabiroad::admission {

/** @brief How an attempt on an upstream ended. */
enum class Outcome : std::uint8_t {
    /** @brief The upstream gave a whole answer. */
    Succeeded,
    /** @brief The upstream answered with an error of its own. */
    Failed,
    /** @brief The upstream proved that it did not start the request, or was never reached. */
    NotStarted,
    /** @brief The connection broke or timed out after the request was sent. */
    Lost,
    /** @brief The caller went away; says nothing about the upstream. */
    Abandoned,
};

} // namespace wasabiroad::admission
