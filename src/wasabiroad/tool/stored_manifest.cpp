#include "wasabiroad/tool/stored_manifest.hpp"

#include "wasabiroad/manifest/read.hpp"

namespace wasabiroad::tool {

platform::Result<StoredManifest> readStoredManifest(platform::Store store)
{
    const auto stored = co_await readHead(store);
    if (!stored) {
        co_return tl::unexpected(stored.error());
    }
    if (stored->version == 0) {
        co_return StoredManifest {};
    }
    const auto key = control::bodyKey(stored->head);
    const auto body = co_await platform::get(store, key);
    if (!body) {
        co_return tl::unexpected(body.error());
    }
    const auto digest = manifest::digest(body->value);
    if (digest != stored->head.digest) {
        co_return kernel::fail(kernel::ResultCode::DigestMismatch, key, digest, stored->head.digest);
    }
    const StoredManifest result { stored->head, body->value };
    co_return result;
}

} // namespace wasabiroad::tool
