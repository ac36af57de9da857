#pragma once

#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/peer/message.hpp"

#include <string_view>

namespace wasabiroad::peer {

/** @brief Largest encoded message in bytes: a manifest of 1 MB and its envelope. */
inline constexpr std::size_t maxMessageBytes = 1100000;

/** @return The message as protobuf of schema/peer.proto. */
std::string encode(const Envelope& envelope);

/**
 * @brief Decodes and checks a message; nothing is taken from one that breaks a rule.
 * @return The message. Errors: PeerMessageInvalid.
 */
kernel::Expected<Envelope> decode(std::string_view bytes);

} // namespace wasabiroad::peer
