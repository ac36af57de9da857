#include "wasabiroad/standin/platform.hpp"

#include "wasabiroad/json/reader.hpp"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace wasabiroad::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::http::verb;
using kernel::ResultCode;

namespace {

const kernel::Clock clock { kernel::SteadyClock {} };

/** Versions kept for outside checkers; a wave over 52 VMs writes about 500. */
constexpr std::size_t maxHistory = 10000;
constexpr std::size_t historyPage = 50;

http::Response reply(const http::Request& request, unsigned status, const boost::json::value& document)
{
    return http::respond(request, status, "application/json", boost::json::serialize(document));
}

http::Response replyError(const http::Request& request, const kernel::Error& error)
{
    const auto status = error.code == ResultCode::KeyNotFound ? 404U
        : error.code == ResultCode::VersionConflict           ? 409U
        : error.code == ResultCode::DocumentTooLarge          ? 413U
                                                              : 410U;
    return reply(request, status, { { "error", kernel::name(error.code) }, { "found", error.found } });
}

boost::json::value toJson(const platform::Entry& entry)
{
    return { { "key", entry.key }, { "value", entry.value }, { "version", entry.version } };
}

boost::json::value toJson(const platform::Listing& listing)
{
    boost::json::array entries;
    for (const auto& entry : listing.entries) {
        entries.push_back(toJson(entry));
    }
    return { { "revision", listing.revision }, { "entries", std::move(entries) } };
}

std::optional<std::uint64_t> ifVersion(const http::Target& target)
{
    const auto value = http::numberOf(target, "if-version", -1);
    return value < 0 ? std::nullopt : std::optional { static_cast<std::uint64_t>(value) };
}

std::string prefixOf(const http::Target& target)
{
    const auto found = target.query.find("prefix");
    return found == target.query.end() ? std::string {} : found->second;
}

} // namespace

Platform::Platform(asio::io_context& ioContext)
    : context(ioContext)
    , changed(ioContext)
    , server(ioContext, [this](http::Request request) { return handle(std::move(request)); })
{
    this->changed.expires_at(asio::steady_timer::time_point::max());
}

Platform::Answer Platform::handle(http::Request request)
{
    const auto target = http::parseTarget({ request.target().data(), request.target().size() });
    if (!target) {
        co_return reply(request, 400, { { "error", "malformed target" } });
    }
    if (target->path.starts_with("/admin/")) {
        co_return admin(request, *target);
    }
    const auto active = this->faults;
    if (active->delay > kernel::Duration {}) {
        asio::steady_timer timer { this->context };
        timer.expires_after(active->delay.chrono());
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (active->outage) {
        co_return reply(request, 503, { { "error", "outage" } });
    }
    auto response = co_await route(request, *target);
    const bool isWrite = request.method() == verb::put || request.method() == verb::delete_;
    if (active->loseWriteResponses && isWrite) {
        // An empty response that is no valid HTTP for the client stands for a lost one.
        response = reply(request, 504, { { "error", "response lost" } });
    }
    co_return response;
}

Platform::Answer Platform::route(const http::Request& request, const http::Target& target)
{
    this->store.expire(kernel::now(clock));
    const bool isWrite = request.method() != verb::get;
    ++this->calls[isWrite ? "writes" : "reads"];
    if (target.path.starts_with("/kv/")) {
        const auto key = target.path.substr(4);
        switch (request.method()) {
        case verb::get:
            co_return readKey(request, key);
        case verb::put:
            co_return writeKey(request, target, key);
        case verb::delete_:
            co_return eraseKey(request, target, key);
        default:
            co_return reply(request, 405, { { "error", "method not allowed" } });
        }
    }
    if (target.path == "/kv") {
        co_return reply(request, 200, toJson(this->store.list(prefixOf(target))));
    }
    if (target.path == "/watch") {
        co_return co_await watch(request, target);
    }
    if (target.path.starts_with("/leases")) {
        co_return lease(request, target);
    }
    if (target.path == "/vms") {
        co_return listVms(request);
    }
    if (target.path.starts_with("/vms/") && target.path.ends_with("/maintenance")) {
        co_return maintenance(request, target);
    }
    co_return reply(request, 404, { { "error", "unknown path" } });
}

http::Response Platform::readKey(const http::Request& request, const std::string& key)
{
    const auto entry = this->store.get(key);
    return entry ? reply(request, 200, toJson(*entry)) : replyError(request, entry.error());
}

http::Response Platform::writeKey(
    const http::Request& request, const http::Target& target, const std::string& key)
{
    const auto leaseNumber = http::numberOf(target, "lease", 0);
    const auto leaseId = leaseNumber > 0
        ? std::optional { platform::LeaseId { static_cast<std::uint64_t>(leaseNumber) } }
        : std::nullopt;
    const auto version = this->store.put(key, request.body(), ifVersion(target), leaseId);
    if (!version) {
        return replyError(request, version.error());
    }
    if (key.starts_with("ledger/") || key.starts_with("wave/")) {
        this->history.emplace_back(platform::Entry { key, request.body(), *version });
        if (this->history.size() > maxHistory) {
            this->history.pop_front();
        }
    }
    this->changed.cancel();
    return reply(request, 200, { { "version", *version } });
}

http::Response Platform::eraseKey(
    const http::Request& request, const http::Target& target, const std::string& key)
{
    const auto version = this->store.erase(key, ifVersion(target));
    if (!version) {
        return replyError(request, version.error());
    }
    this->changed.cancel();
    return reply(request, 200, { { "version", *version } });
}

Platform::Answer Platform::watch(const http::Request& request, const http::Target& target)
{
    const auto prefix = prefixOf(target);
    const auto after = static_cast<std::uint64_t>(http::numberOf(target, "after", 0));
    const auto end = kernel::now(clock) + kernel::Duration { http::numberOf(target, "wait-ms", 0) };
    while (this->store.revisionOf(prefix) <= after && kernel::now(clock) < end) {
        asio::steady_timer timeout { this->context };
        timeout.expires_after((end - kernel::now(clock)).chrono());
        timeout.async_wait([this](boost::system::error_code failed) {
            if (!failed) {
                this->changed.cancel();
            }
        });
        boost::system::error_code ignored;
        co_await this->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return reply(request, 200, toJson(this->store.list(prefix)));
}

http::Response Platform::lease(const http::Request& request, const http::Target& target)
{
    const auto now = kernel::now(clock);
    const auto parts = http::segments(target.path);
    if (parts.size() == 1) {
        const auto granted = this->store.grantLease({ http::numberOf(target, "ttl-ms", 5000) }, now);
        return reply(request, 200, { { "lease", granted.value } });
    }
    const auto renewed = this->store.renewLease({ std::stoull(std::string { parts[1] }) }, now);
    return renewed ? reply(request, 200, { { "renewed", true } }) : replyError(request, renewed.error());
}

http::Response Platform::listVms(const http::Request& request) const
{
    boost::json::array list;
    for (const auto& [id, vm] : this->vms) {
        const bool rebooting = kernel::now(clock) < vm.stoppedUntil;
        list.push_back({ { "id", id }, { "leaving", vm.leaving },
            { "state", rebooting ? "rebooting" : "live" }, { "step", vm.step } });
    }
    return reply(request, 200, { { "vms", std::move(list) } });
}

http::Response Platform::maintenance(const http::Request& request, const http::Target& target)
{
    const auto parts = http::segments(target.path);
    const auto step = static_cast<std::uint64_t>(http::numberOf(target, "step", 0));
    if (parts.size() != 3 || step == 0 || request.method() != verb::post) {
        return reply(request, 400, { { "error", "a POST with a step is required" } });
    }
    const std::string id { parts[1] };
    const PlatformVm vm = this->vms[id];
    const bool starts = step > vm.step;
    if (starts) {
        replaceVm(id, { vm.leaving, kernel::now(clock) + this->maintenanceDuration, step });
    }
    return reply(request, 200, { { "started", starts } });
}

void Platform::replaceVm(const std::string& id, const PlatformVm& vm)
{
    this->vms.erase(id);
    this->vms.emplace(id, vm);
}

http::Response Platform::admin(const http::Request& request, const http::Target& target)
{
    if (target.path == "/admin/calls") {
        return reply(
            request, 200, { { "reads", this->calls["reads"] }, { "writes", this->calls["writes"] } });
    }
    if (target.path == "/admin/faults") {
        this->faults = std::make_shared<const PlatformFaults>(PlatformFaults {
            { http::numberOf(target, "delay-ms", 0) }, http::numberOf(target, "outage", 0) != 0,
            http::numberOf(target, "lose-write-responses", 0) != 0 });
        return reply(request, 200, { { "set", true } });
    }
    if (target.path == "/admin/vms" && target.query.contains("id")) {
        const auto id = target.query.at("id");
        const PlatformVm vm = this->vms[id];
        replaceVm(id, { http::numberOf(target, "leaving", 0) != 0, vm.stoppedUntil, vm.step });
        return reply(request, 200, { { "set", true } });
    }
    if (target.path == "/admin/history") {
        // Pages keep the response below the limit of the HTTP client.
        const auto begin = std::min<std::size_t>(
            static_cast<std::size_t>(http::numberOf(target, "from", 0)), this->history.size());
        const auto end = std::min(begin + historyPage, this->history.size());
        boost::json::array entries;
        for (auto index = begin; index < end; ++index) {
            entries.push_back(toJson(this->history[index]));
        }
        return reply(request, 200, { { "next", end }, { "entries", std::move(entries) } });
    }
    if (target.path == "/admin/maintenance") {
        this->maintenanceDuration = { http::numberOf(target, "duration-ms", 2000) };
        return reply(request, 200, { { "set", true } });
    }
    return reply(request, 404, { { "error", "unknown path" } });
}

} // namespace wasabiroad::standin
