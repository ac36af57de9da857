#pragma once

#include <string_view>

/** @brief Names of the HTTP headers between callers, daemons and upstreams. */
namespace wasabiroad::traffic::headers {

inline constexpr std::string_view requestId { "Wasabiroad-Request-Id" };
inline constexpr std::string_view deadline { "Wasabiroad-Deadline-Ms" };
inline constexpr std::string_view team { "Wasabiroad-Team" };
inline constexpr std::string_view declared { "Wasabiroad-Declared-Ms" };
inline constexpr std::string_view ticket { "Wasabiroad-Ticket" };
inline constexpr std::string_view idempotent { "Wasabiroad-Idempotent" };
inline constexpr std::string_view code { "Wasabiroad-Code" };
inline constexpr std::string_view outcome { "Wasabiroad-Outcome" };
inline constexpr std::string_view attempt { "Wasabiroad-Attempt" };
inline constexpr std::string_view started { "Wasabiroad-Started" };
inline constexpr std::string_view leaving { "Wasabiroad-Leaving" };

} // namespace wasabiroad::traffic::headers
