#pragma once

#include <cstdint>

namespace wasabiroad::admission {

/** @brief How an attempt on an upstream ended. */
enum class Outcome : std::uint8_t {
    /** @brief The upstream sent a complete answer. */
    Succeeded,
    /** @brief The upstream answered with an error. */
    Failed,
    /** @brief The upstream was not reached, or reported that it did not start the request. */
    NotStarted,
    /** @brief The connection broke or timed out after the request was sent. */
    Lost,
    /** @brief The caller disconnected; the attempt shows nothing about the upstream's health. */
    Abandoned,
};

} // namespace wasabiroad::admission
