#pragma once

#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <string>

namespace wasabiroad::control {

/** @brief Key whose value names the generation in force. */
inline constexpr std::string_view headKey { "config/head" };

/** @brief Value of `headKey`: the generation in force and the digest of its manifest text. */
struct Head {
    const model::Generation generation {};
    const std::string digest {};

    friend auto operator<=>(const Head&, const Head&) = default;
};

/** @return Key of the manifest text that a head names. */
std::string bodyKey(const Head& head);

/** @return The head as it is stored. */
std::string toText(const Head& head);

/** @return The head read from its stored form. Errors: InvalidJson. */
kernel::Expected<Head> parseHead(const std::string& text);

} // namespace wasabiroad::control
