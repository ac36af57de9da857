#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiroad::http {

/** @brief Path and query of a request target. */
struct Target {
    const std::string path;
    const std::map<std::string, std::string> query {};

    friend auto operator<=>(const Target&, const Target&) = default;
};

/** @return The target split into path and query, percent-decoded; nothing when it is malformed. */
std::optional<Target> parseTarget(std::string_view text);

/** @return A query parameter as a number, or the default when it is absent or malformed. */
std::int64_t numberOf(const Target& target, const std::string& key, std::int64_t fallback);

/** @return The segments of a path between slashes. */
std::vector<std::string_view> segments(std::string_view path);

} // namespace wasabiroad::http
