#include "wasabiroad/control/adopt.hpp"

#include "wasabiroad/manifest/read.hpp"

namespace wasabiroad::control {

using kernel::ResultCode;

kernel::Expected<ConfigurationPointer> adopt(
    const ConfigurationPointer& current, const Head& head, const std::string& text)
{
    if (current && head.generation <= current->generation) {
        return kernel::fail(ResultCode::StaleGeneration, {}, std::to_string(head.generation.value),
            "more than " + std::to_string(current->generation.value));
    }
    const auto digest = manifest::digest(text);
    if (digest != head.digest) {
        return kernel::fail(ResultCode::DigestMismatch, bodyKey(head), digest, head.digest);
    }
    const auto manifest = manifest::read(text);
    if (!manifest) {
        return tl::unexpected(manifest.error().front());
    }
    return std::make_shared<const Configuration>(Configuration { head.generation, digest, text, *manifest });
}

} // namespace wasabiroad::control
