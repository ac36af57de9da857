#pragma once

#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/peer/message.hpp"

#include <string_view>

namespace wasabiroad::peer {

/** @return Difference of a text to a base; a change in one place costs only that place. */
TextDelta makeDelta(std::string_view base, std::string_view text);

/** @return The text. Errors: PeerMessageInvalid when the delta does not fit the base. */
kernel::Expected<std::string> applyDelta(std::string_view base, const TextDelta& delta);

} // namespace wasabiroad::peer
