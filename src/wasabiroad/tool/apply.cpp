#include "wasabiroad/tool/apply.hpp"

#include "wasabiroad/manifest/read.hpp"

namespace wasabiroad::tool {

using control::Head;
using kernel::ResultCode;

namespace {

kernel::Error conflict(const Head& found, model::Generation planned)
{
    return { ResultCode::GenerationConflict, std::string { control::headKey },
        "generation " + std::to_string(found.generation.value),
        "generation " + std::to_string(planned.value) };
}

/** Writes a text under a key that no other text has, so an existing key already holds this text. */
platform::Result<bool> writeBody(platform::Store store, std::string key, std::string text)
{
    const auto written = co_await platform::put(store, key, text, 0);
    if (written || written.error().code == ResultCode::VersionConflict) {
        co_return true;
    }
    const auto stored = co_await platform::get(store, key);
    if (stored && stored->value == text) {
        co_return true;
    }
    co_return tl::unexpected(written.error());
}

platform::Result<Head> advanceHead(platform::Store store, StoredHead current, Head next)
{
    const std::string key { control::headKey };
    const auto written = co_await platform::put(store, key, control::toText(next), current.version);
    if (written) {
        co_return next;
    }
    const auto stored = co_await readHead(store);
    if (!stored) {
        co_return tl::unexpected(written.error());
    }
    if (stored->head == next) {
        co_return next;
    }
    if (stored->version != current.version) {
        co_return tl::unexpected(conflict(stored->head, current.head.generation));
    }
    co_return tl::unexpected(written.error());
}

} // namespace

platform::Result<StoredHead> readHead(platform::Store store)
{
    const auto entry = co_await platform::get(store, std::string { control::headKey });
    if (!entry) {
        if (entry.error().code == ResultCode::KeyNotFound) {
            co_return StoredHead {};
        }
        co_return tl::unexpected(entry.error());
    }
    const auto head = control::parseHead(entry->value);
    if (!head) {
        co_return tl::unexpected(head.error());
    }
    co_return StoredHead { *head, entry->version };
}

platform::Result<Head> apply(
    platform::Store store, std::string text, std::optional<model::Generation> planned)
{
    const auto current = co_await readHead(store);
    if (!current) {
        co_return tl::unexpected(current.error());
    }
    if (planned && *planned != current->head.generation) {
        co_return tl::unexpected(conflict(current->head, *planned));
    }
    const Head next { { current->head.generation.value + 1 }, manifest::digest(text) };
    const auto body = co_await writeBody(store, control::bodyKey(next), std::move(text));
    if (!body) {
        co_return tl::unexpected(body.error());
    }
    co_return co_await advanceHead(store, *current, next);
}

} // namespace wasabiroad::tool
