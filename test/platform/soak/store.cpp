#include "store.hpp"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>

namespace wasabiroad::soak {

namespace asio = boost::asio;
namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

namespace {

/** Interval at which leases are checked. */
constexpr milliseconds leaseCheck { 20 };

/** Changes that the store takes in a second. */
constexpr std::int64_t writesPerSecond = 400;

/** Items of a page. */
constexpr std::size_t pageItems = 500;

/** Changes that the history holds. */
constexpr std::size_t historyEvents = 8000;

std::string toBase64(const std::string& bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string fromBase64(const std::string& text)
{
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

template <typename Item> json::object encode(const std::string& key, const Item& item)
{
    return { { "key", key }, { "value", toBase64(item.value) }, { "revision", item.revision },
        { "created", item.created }, { "lease", item.lease } };
}

bool isChange(const std::string& path) { return path == "/kv-txn" || path == "/kv-lease"; }

} // namespace

Store::Entrance::Entrance(asio::io_context& context, Store& store)
    : server(context, [&store, this](Request request) { return store.answer(*this, std::move(request)); })
{
}

Store::Store(asio::io_context& io, std::uint64_t seed)
    : context(io)
    , dice(seed)
{
    start(io, work());
}

Store::Entrance& Store::addEntrance() { return this->entrances.emplace_back(this->context, *this); }

void Store::put(const std::string& key, const std::string& value)
{
    putItem(key, value, 0, ++this->revision);
}

void Store::remove(const std::string& key) { removeItem(key, ++this->revision); }

void Store::compact()
{
    this->history.clear();
    this->forgotten = this->revision;
    for (auto& watcher : this->watchers) {
        watcher.changed.cancel();
    }
}

void Store::revoke(Entrance& entrance, bool ends)
{
    std::vector<std::string> revoked;
    for (const auto& [key, item] : this->items) {
        const auto lease = this->leases.find(item.lease);
        if (lease != this->leases.end() && lease->second.holder == &entrance) {
            revoked.push_back(key);
        }
    }
    for (const auto& key : revoked) {
        removeItem(key, ++this->revision);
    }
    for (auto& [id, lease] : this->leases) {
        if (ends && lease.holder == &entrance) {
            lease.ends = 0;
        }
    }
    expire();
}

std::string Store::find(const std::string& key) const
{
    const auto found = this->items.find(key);
    return found != this->items.end() ? found->second.value : "";
}

std::vector<std::string> Store::keys(const std::string& prefix) const
{
    std::vector<std::string> found;
    for (auto item = this->items.lower_bound(prefix);
         item != this->items.end() && item->first.starts_with(prefix); ++item) {
        found.push_back(item->first);
    }
    return found;
}

Task<std::optional<Answer>> Store::answer(Entrance& entrance, Request request)
{
    const auto faults = entrance.faults;
    co_await pause(milliseconds { faults.latency / 2 });
    if (this->dice.chance(faults.rejected)) {
        co_return Answer { faults.rejectStatus, "{}" };
    }
    const auto path = pathOf(request);
    if (isChange(path) && ++this->writes > writesPerSecond) {
        co_return Answer { 429, "{}" };
    }
    if (isChange(path) && this->dice.chance(faults.late)) {
        start(this->context, changeLater(entrance, std::move(request)));
        co_return std::nullopt;
    }
    const bool lost = this->dice.chance(faults.lost);
    Answer answer;
    if (path == "/kv-watch") {
        answer = co_await watch(std::move(request));
    } else {
        answer = act(entrance, request);
        // Answers on other connections overtake this one.
        co_await pause(milliseconds { faults.latency / 2 });
    }
    if (lost) {
        co_return std::nullopt;
    }
    co_return answer;
}

Task<> Store::changeLater(Entrance& entrance, Request request)
{
    co_await pause(milliseconds { this->dice.within(500, 4000) });
    act(entrance, request);
}

Answer Store::act(Entrance& entrance, const Request& request)
{
    const std::string keep = "/kv-keep/";
    const std::string end = "/kv-lease-end/";
    const auto path = pathOf(request);
    expire();
    if (path == "/kv-key") {
        return read(entrance, request);
    }
    if (path == "/kv-range") {
        return list(entrance, request);
    }
    if (path == "/kv-txn") {
        return change(request);
    }
    if (path == "/kv-lease") {
        return grant(entrance, request);
    }
    if (path.starts_with(keep)) {
        return renew(std::stoll(path.substr(keep.size())));
    }
    if (path.starts_with(end)) {
        const auto found = this->leases.find(std::stoll(path.substr(end.size())));
        if (found != this->leases.end()) {
            found->second.ends = 0;
            expire();
        }
        return {};
    }
    return { 404, "{}" };
}

Answer Store::read(const Entrance& entrance, const Request& request) const
{
    const bool stale = entrance.faults.stale && queryValue(request, "staleOk") == "1";
    const auto& source = stale ? this->oldItems : this->items;
    const auto asOf = stale ? this->oldRevision : this->revision;
    const auto found = source.find(queryValue(request, "key"));
    if (found == source.end()) {
        return { 404, json::serialize(json::object { { "asOf", asOf } }) };
    }
    auto body = encode(found->first, found->second);
    body["asOf"] = asOf;
    return { 200, json::serialize(body) };
}

Answer Store::list(const Entrance& entrance, const Request& request) const
{
    const bool stale = entrance.faults.stale && queryValue(request, "staleOk") == "1";
    const auto& source = stale ? this->oldItems : this->items;
    const auto prefix = queryValue(request, "prefix");
    const auto after = queryValue(request, "after");
    json::array found;
    bool truncated = false;
    for (auto item = after.empty() ? source.lower_bound(prefix) : source.upper_bound(after);
         item != source.end() && item->first.starts_with(prefix); ++item) {
        if (found.size() == pageItems) {
            truncated = true;
            break;
        }
        found.push_back(encode(item->first, item->second));
    }
    return { 200,
        json::serialize(json::object { { "items", std::move(found) }, { "truncated", truncated },
            { "asOf", stale ? this->oldRevision : this->revision } }) };
}

Task<Answer> Store::watch(Request request)
{
    const auto prefix = queryValue(request, "prefix");
    const auto after = std::stoll(queryValue(request, "after"));
    const auto until = Clock::now() + milliseconds { std::stoll(queryValue(request, "waitMs")) };
    const auto watcher = this->watchers.insert(
        this->watchers.end(), Watcher { prefix, asio::steady_timer { this->context } });
    json::array events;
    unsigned status = 200;
    while (true) {
        if (after < this->forgotten) {
            status = 410;
            break;
        }
        for (auto event = std::ranges::upper_bound(this->history, after, {}, &Event::revision);
             event != this->history.end(); ++event) {
            if (event->key.starts_with(prefix)) {
                events.push_back(event->content);
            }
        }
        if (!events.empty() || Clock::now() >= until) {
            break;
        }
        watcher->changed.expires_at(until);
        co_await watcher->changed.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    this->watchers.erase(watcher);
    co_return Answer { status,
        json::serialize(json::object { { "events", std::move(events) }, { "asOf", this->revision } }) };
}

Answer Store::change(const Request& request)
{
    const auto body = bodyOf(request);
    const auto rows = [&body](const char* name) {
        const auto* const value = body.if_contains(name);
        return value != nullptr && value->is_array() ? value->get_array() : json::array {};
    };
    json::array current;
    bool holds = true;
    for (const auto& row : rows("expectedRev")) {
        const auto key = textField(row.as_object(), "key");
        const auto found = this->items.find(key);
        const auto actual = found != this->items.end() ? found->second.revision : 0;
        holds = holds && actual == numberField(row.as_object(), "revision");
        if (found != this->items.end()) {
            current.push_back(encode(key, found->second));
        }
    }
    if (!holds) {
        return { 412, json::serialize(json::object { { "items", std::move(current) } }) };
    }
    for (const auto& row : rows("puts")) {
        const auto lease = numberField(row.as_object(), "lease");
        if (lease != 0 && !this->leases.contains(lease)) {
            return { 404, "{}" };
        }
    }
    const auto made = ++this->revision;
    for (const auto& row : rows("puts")) {
        const auto& entry = row.as_object();
        putItem(textField(entry, "key"), fromBase64(textField(entry, "value")), numberField(entry, "lease"),
            made);
    }
    for (const auto& key : rows("remove")) {
        removeItem(std::string { key.as_string() }, made);
    }
    return { 200, json::serialize(json::object { { "revision", made } }) };
}

Answer Store::grant(Entrance& entrance, const Request& request)
{
    const auto lifetime = numberField(bodyOf(request), "ttlMs");
    const auto lease = ++this->lastLease;
    this->leases[lease] = { lifetime, nowMs() + lifetime, &entrance };
    return { 200, json::serialize(json::object { { "lease", lease }, { "ttlMs", lifetime } }) };
}

Answer Store::renew(std::int64_t id)
{
    const auto found = this->leases.find(id);
    if (found == this->leases.end()) {
        return { 404, "{}" };
    }
    found->second.ends = nowMs() + found->second.lifetime;
    return { 200, json::serialize(json::object { { "ttlMs", found->second.lifetime } }) };
}

Task<> Store::work()
{
    std::int64_t second = 0;
    while (true) {
        co_await pause(leaseCheck);
        expire();
        if (nowMs() / 1000 != second) {
            second = nowMs() / 1000;
            this->writes = 0;
            this->oldItems = this->items;
            this->oldRevision = this->revision;
        }
    }
}

void Store::expire()
{
    const auto now = nowMs();
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
        if (lease->second.ends > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> expired;
        for (const auto& [key, item] : this->items) {
            if (item.lease == lease->first) {
                expired.push_back(key);
            }
        }
        lease = this->leases.erase(lease);
        for (const auto& key : expired) {
            removeItem(key, ++this->revision);
        }
    }
}

void Store::putItem(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t madeAt)
{
    auto& item = this->items[key];
    if (lease != 0 && item.created == 0) {
        this->taker = this->leases.at(lease).holder;
        ++this->taken;
    }
    item = { value, madeAt, item.created != 0 ? item.created : madeAt, lease };
    this->history.push_back({ key, madeAt, encode(key, item) });
    notify(key);
}

void Store::removeItem(const std::string& key, std::int64_t madeAt)
{
    if (this->items.erase(key) != 0) {
        this->history.push_back(
            { key, madeAt, { { "key", key }, { "revision", madeAt }, { "tombstone", true } } });
        notify(key);
    }
}

void Store::notify(const std::string& key)
{
    while (this->history.size() > historyEvents) {
        this->forgotten = this->history.front().revision;
        this->history.pop_front();
    }
    for (auto& watcher : this->watchers) {
        if (key.starts_with(watcher.prefix)) {
            watcher.changed.cancel();
        }
    }
}

} // namespace wasabiroad::soak
