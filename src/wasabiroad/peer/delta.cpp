#include "wasabiroad/peer/delta.hpp"

#include <algorithm>

namespace wasabiroad::peer {

TextDelta makeDelta(std::string_view base, std::string_view text)
{
    const auto common = std::min(base.size(), text.size());
    const auto [baseEnd, textEnd]
        = std::mismatch(base.begin(), base.begin() + static_cast<std::ptrdiff_t>(common), text.begin());
    const auto prefix = static_cast<std::size_t>(baseEnd - base.begin());
    std::size_t suffix = 0;
    while (suffix < common - prefix && base[base.size() - 1 - suffix] == text[text.size() - 1 - suffix]) {
        ++suffix;
    }
    return { static_cast<std::uint32_t>(prefix), static_cast<std::uint32_t>(suffix),
        std::string { text.substr(prefix, text.size() - prefix - suffix) } };
}

kernel::Expected<std::string> applyDelta(std::string_view base, const TextDelta& delta)
{
    if (std::uint64_t { delta.prefix } + delta.suffix > base.size()) {
        return kernel::fail(kernel::ResultCode::PeerMessageInvalid, "delta",
            std::to_string(delta.prefix) + "+" + std::to_string(delta.suffix),
            "at most " + std::to_string(base.size()));
    }
    std::string text { base.substr(0, delta.prefix) };
    text += delta.middle;
    text += base.substr(base.size() - delta.suffix);
    return text;
}

} // namespace wasabiroad::peer
