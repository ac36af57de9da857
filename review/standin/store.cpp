#include "store.hpp"

#include <boost/beast/core/detail/base64.hpp>

namespace review {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

namespace {

/** Time of an answer of the store, as on the sheets of the small sites. */
constexpr milliseconds latency { 4 };

/** Interval at which leases are checked. */
constexpr milliseconds leaseCheck { 20 };

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

} // namespace

Store::Store()
    : server([this](const Request& request) { return answer(request); })
{
    std::thread { [this] { expireLeases(); } }.detach();
}

void Store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock { this->mutex };
    putItem(key, value, 0, ++this->revision);
    this->changed.notify_all();
}

void Store::setSilent(bool isSilent)
{
    const std::lock_guard lock { this->mutex };
    this->silent = isSilent;
    this->changed.notify_all();
}

void Store::remove(const std::string& key)
{
    const std::lock_guard lock { this->mutex };
    removeItem(key, ++this->revision);
    this->changed.notify_all();
}

std::optional<std::string> Store::find(const std::string& key)
{
    const std::lock_guard lock { this->mutex };
    const auto found = this->items.find(key);
    return found != this->items.end() ? std::optional { found->second.value } : std::nullopt;
}

std::optional<Answer> Store::answer(const Request& request)
{
    std::this_thread::sleep_for(latency);
    {
        const std::lock_guard lock { this->mutex };
        if (this->silent) {
            return std::nullopt;
        }
    }
    const auto path = pathOf(request);
    if (path == "/kv-key") {
        return read(request);
    }
    if (path == "/kv-range") {
        return list(request);
    }
    if (path == "/kv-watch") {
        const auto watched = watch(request);
        const std::lock_guard lock { this->mutex };
        return this->silent ? std::nullopt : std::optional { watched };
    }
    if (path == "/kv-txn") {
        return change(request);
    }
    if (path == "/kv-lease") {
        return grant(request);
    }
    if (path.starts_with("/kv-keep/")) {
        return renew(path.substr(std::string { "/kv-keep/" }.size()));
    }
    if (path.starts_with("/kv-lease-end/")) {
        return end(path.substr(std::string { "/kv-lease-end/" }.size()));
    }
    return Answer { 404, "{}" };
}

json::object Store::encode(const std::string& key, const Item& item) const
{
    return { { "key", key }, { "value", toBase64(item.value) }, { "revision", item.revision },
        { "created", item.created }, { "lease", item.lease } };
}

Answer Store::read(const Request& request)
{
    const std::lock_guard lock { this->mutex };
    expire();
    const auto found = this->items.find(queryValue(request, "key"));
    if (found == this->items.end()) {
        return { 404, json::serialize(json::object { { "asOf", this->revision } }) };
    }
    auto body = encode(found->first, found->second);
    body["asOf"] = this->revision;
    return { 200, json::serialize(body) };
}

Answer Store::list(const Request& request)
{
    const auto prefix = queryValue(request, "prefix");
    const auto after = queryValue(request, "after");
    const std::lock_guard lock { this->mutex };
    expire();
    json::array found;
    bool truncated = false;
    for (const auto& [key, item] : this->items) {
        if (key.starts_with(prefix) && key > after) {
            if (found.size() == 500) {
                truncated = true;
                break;
            }
            found.push_back(encode(key, item));
        }
    }
    return { 200,
        json::serialize(json::object {
            { "items", std::move(found) }, { "truncated", truncated }, { "asOf", this->revision } }) };
}

Answer Store::watch(const Request& request)
{
    const auto prefix = queryValue(request, "prefix");
    const auto after = std::stoll(queryValue(request, "after"));
    const auto until = Clock::now() + milliseconds { std::stoll(queryValue(request, "waitMs")) };
    std::unique_lock lock { this->mutex };
    json::array events;
    while (true) {
        for (const auto& event : this->history) {
            if (event.revision > after && event.key.starts_with(prefix)) {
                events.push_back(event.content);
            }
        }
        if (!events.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
            break;
        }
    }
    return { 200,
        json::serialize(json::object { { "events", std::move(events) }, { "asOf", this->revision } }) };
}

Answer Store::change(const Request& request)
{
    const auto body = json::parse(request.body()).as_object();
    const std::lock_guard lock { this->mutex };
    expire();
    json::array current;
    bool holds = true;
    for (const auto& row : body.at("expectedRev").as_array()) {
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
    for (const auto& row : body.at("puts").as_array()) {
        const auto lease = numberField(row.as_object(), "lease");
        if (lease != 0 && !this->leases.contains(lease)) {
            return { 404, "{}" };
        }
    }
    const auto made = ++this->revision;
    for (const auto& row : body.at("puts").as_array()) {
        const auto& entry = row.as_object();
        putItem(textField(entry, "key"), fromBase64(textField(entry, "value")), numberField(entry, "lease"),
            made);
    }
    for (const auto& key : body.at("remove").as_array()) {
        removeItem(std::string { key.as_string() }, made);
    }
    this->changed.notify_all();
    return { 200, json::serialize(json::object { { "revision", made } }) };
}

Answer Store::grant(const Request& request)
{
    const auto lifetime = numberField(json::parse(request.body()).as_object(), "ttlMs");
    const std::lock_guard lock { this->mutex };
    const auto lease = ++this->lastLease;
    this->leases[lease] = { milliseconds { lifetime }, Clock::now() + milliseconds { lifetime } };
    return { 200, json::serialize(json::object { { "lease", lease }, { "ttlMs", lifetime } }) };
}

Answer Store::renew(const std::string& id)
{
    const std::lock_guard lock { this->mutex };
    expire();
    const auto found = this->leases.find(std::stoll(id));
    if (found == this->leases.end()) {
        return { 404, "{}" };
    }
    found->second.ends = Clock::now() + found->second.lifetime;
    return { 200, json::serialize(json::object { { "ttlMs", found->second.lifetime.count() } }) };
}

Answer Store::end(const std::string& id)
{
    const std::lock_guard lock { this->mutex };
    const auto found = this->leases.find(std::stoll(id));
    if (found != this->leases.end()) {
        found->second.ends = Clock::now();
        expire();
    }
    return {};
}

void Store::expireLeases()
{
    while (true) {
        std::this_thread::sleep_for(leaseCheck);
        const std::lock_guard lock { this->mutex };
        expire();
    }
}

void Store::expire()
{
    const auto now = Clock::now();
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
        if (lease->second.ends > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : this->items) {
            if (item.lease == lease->first) {
                keys.push_back(key);
            }
        }
        if (!keys.empty()) {
            ++this->revision;
        }
        for (const auto& key : keys) {
            removeItem(key, this->revision);
        }
        lease = this->leases.erase(lease);
        this->changed.notify_all();
    }
}

void Store::putItem(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t madeAt)
{
    auto& item = this->items[key];
    item = { value, madeAt, item.created != 0 ? item.created : madeAt, lease };
    this->history.push_back({ key, madeAt, encode(key, item) });
}

void Store::removeItem(const std::string& key, std::int64_t madeAt)
{
    if (this->items.erase(key) != 0) {
        this->history.push_back(
            { key, madeAt, { { "key", key }, { "revision", madeAt }, { "tombstone", true } } });
    }
}

} // namespace review
