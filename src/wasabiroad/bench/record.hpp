#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace wasabiroad::bench {

/** @brief The upstream's answer arrived whole and belongs to the request. */
struct Answered {
    const unsigned status { 0 };
    friend auto operator<=>(const Answered&, const Answered&) = default;
};

/** @brief The system answered that the request did not run. */
struct Refused {
    const unsigned code { 0 };
    friend auto operator<=>(const Refused&, const Refused&) = default;
};

/** @brief The system answered that the outcome is not known. */
struct Unknown {
    const unsigned code { 0 };
    friend auto operator<=>(const Unknown&, const Unknown&) = default;
};

/** @brief The connection broke before the whole answer. */
struct Broken {
    friend auto operator<=>(const Broken&, const Broken&) = default;
};

/** @brief Neither an answer nor a broken connection within the time limit. */
struct Lost {
    friend auto operator<=>(const Lost&, const Lost&) = default;
};

/** @brief The answer belongs to another request. */
struct MixedUp {
    friend auto operator<=>(const MixedUp&, const MixedUp&) = default;
};

using Result = std::variant<Answered, Refused, Unknown, Broken, Lost, MixedUp>;

/** @brief What a caller saw of one request; times are of the monotonic clock in microseconds. */
struct Record {
    const std::string request;
    const bool isLong { false };
    const bool idempotent { true };
    /** @brief Intended send time, so that a late generator does not hide a wait. */
    const std::int64_t intended { 0 };
    const std::int64_t ended { 0 };
    const Result result {};

    friend auto operator<=>(const Record&, const Record&) = default;
};

/** @brief One run in an upstream's log, on the same clock. */
struct UpstreamRun {
    const std::string request;
    const std::int64_t started { 0 };
    const std::int64_t ended { 0 };

    friend auto operator<=>(const UpstreamRun&, const UpstreamRun&) = default;
};

} // namespace wasabiroad::bench
