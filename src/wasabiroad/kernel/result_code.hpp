#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace wasabiroad::kernel {

/** @brief Numbered outcome of an operation; docs/result-codes.md lists all of them. */
enum class ResultCode : std::uint16_t {
    Ok = 0,

    DuplicatePlugin = 101,
    MissingDependency = 102,
    DependencyCycle = 103,
    ListenFailed = 104,
    InvalidArguments = 105,

    InvalidJson = 201,
    SchemaViolation = 202,
    DuplicateIdentifier = 203,
    UnknownReference = 204,
    ValueOutOfRange = 205,
    FileUnreadable = 206,
    DocumentTooLarge = 207,

    UnknownService = 301,
    UnknownOperation = 302,
    UnknownTeam = 303,
    MalformedRequest = 304,
    BodyTooLarge = 305,
    QueueFull = 306,
    DeadlineUnreachable = 307,
    DeadlineExceeded = 308,
    NoUpstream = 309,
    QuotaExceeded = 310,
    UpstreamFailed = 311,
    OutcomeUnknown = 312,
    Stopping = 313,
    Cancelled = 314,
    TicketRequired = 315,
    TicketInvalid = 316,
    AlreadyRun = 317,
    OperationSuspended = 318,
    NeverRunnable = 319,
    NotConfigured = 320,
    MethodNotAllowed = 321,
    RetryBudgetExhausted = 322,

    PlatformUnreachable = 401,
    PlatformTimeout = 402,
    VersionConflict = 403,
    KeyNotFound = 404,
    PlatformRejected = 405,
    LeaseExpired = 406,
    CallNotTried = 407,

    GenerationConflict = 501,
    BudgetExhausted = 502,
    UnknownVm = 503,
    UnknownPool = 504,
    TransitionNotAllowed = 505,
    WaveNotFound = 506,
    StaleGeneration = 507,
    NotInForceEverywhere = 508,

    PeerUnauthenticated = 601,
    PeerMessageInvalid = 602,
    PeerUnreachable = 603,
    DigestMismatch = 604,
};

/** @brief Row of the table of result codes. */
struct ResultCodeInfo {
    const ResultCode code;
    const std::string_view name;
    const std::string_view meaning;
};

/** @return All result codes in ascending order. */
std::span<const ResultCodeInfo> resultCodes();

/**
 * @brief Looks up the name of a code.
 * @param code Code to look up.
 * @return Its name in lower case with hyphens, or `unlisted`.
 */
std::string_view name(ResultCode code);

/** @return The number of a code. */
constexpr std::uint16_t number(ResultCode code) { return static_cast<std::uint16_t>(code); }

} // namespace wasabiroad::kernel
