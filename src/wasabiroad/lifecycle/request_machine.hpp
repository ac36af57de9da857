#pragma once

#include <optional>
#include <string_view>

namespace wasabiroad::lifecycle {

/** @brief State in the life cycle of a request inside one daemon. */
enum class RequestState : unsigned char {
    Received,
    Queued,
    /** @brief A slot of an upstream is held; no byte has been sent to the upstream. */
    Granted,
    /** @brief At least one byte may have reached the upstream. */
    Sent,
    /** @brief At least one byte of the answer has been sent to the caller. */
    Answering,
    Answered,
    /** @brief Ended with `not-run`. */
    Refused,
    /** @brief Ended with `unknown`. */
    Unknown,
    /** @brief Ended by closing the caller's connection after part of the answer was sent. */
    Broken,
    /** @brief Ended because the caller closed the connection. */
    Cancelled,
};

/** @brief Event in the life cycle of a request. */
enum class RequestEvent : unsigned char {
    Enqueued,
    SlotGranted,
    SendStarted,
    AnswerStarted,
    AnswerFinished,
    /** @brief The upstream proved that it did not start the request. */
    NotStarted,
    /** @brief The attempt failed and the policy allows another attempt. */
    RetryAllowed,
    Rejected,
    OutcomeUnknown,
    AnswerTruncated,
    CallerGone,
};

/** @return Name of the state in logs. */
std::string_view name(RequestState state);

/**
 * @brief Applies one event to the state of a request.
 * @param from Current state.
 * @param event Event to apply.
 * @return The next state, or nothing when the event is not allowed in this state.
 */
std::optional<RequestState> next(RequestState from, RequestEvent event);

/** @return Whether the request provably has not run in this state. */
constexpr bool hasNotRun(RequestState state)
{
    return state == RequestState::Received || state == RequestState::Queued || state == RequestState::Granted
        || state == RequestState::Refused;
}

} // namespace wasabiroad::lifecycle
