#include "wasabiroad/platform/store.hpp"

#include "wasabiroad/http/client.hpp"
#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/json/reader.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace wasabiroad::platform {

namespace beast = boost::beast;
using beast::http::status;
using beast::http::verb;
using kernel::ResultCode;

namespace {

std::string encode(std::string_view text)
{
    return boost::urls::encode({ text.data(), text.size() }, boost::urls::unreserved_chars);
}

kernel::Error toError(const HttpStore& store, const http::Response& response, const std::string& key)
{
    switch (response.result()) {
    case status::not_found:
        return { ResultCode::KeyNotFound, key };
    case status::conflict:
        return { ResultCode::VersionConflict, key, response.body() };
    default:
        return { ResultCode::PlatformRejected, http::toText(store.endpoint),
            "status " + std::to_string(response.result_int()) };
    }
}

/** The first part of a key and a verb name the cause of a call; keys in full would be too many labels. */
std::string causeOf(std::string_view key, std::string_view verb)
{
    return std::string { key.substr(0, key.find('/')) } + "-" + std::string { verb };
}

/** Sends a call and parses the JSON of a response with status 200. */
Result<boost::json::value> exchangeJson(
    HttpStore store, http::Request request, std::string key, kernel::Duration timeout)
{
    const auto response = co_await http::exchange(store.endpoint, std::move(request), timeout);
    if (!response) {
        co_return tl::unexpected(response.error());
    }
    if (response->result() != status::ok) {
        co_return tl::unexpected(toError(store, *response, key));
    }
    boost::system::error_code failed;
    auto document = boost::json::parse(response->body(), failed);
    if (failed || !document.is_object()) {
        co_return kernel::fail(
            ResultCode::PlatformRejected, http::toText(store.endpoint), "a body that is no object");
    }
    co_return document;
}

/** Makes a call and reports its end to the observer. */
Result<boost::json::value> call(
    HttpStore store, std::string cause, http::Request request, std::string key, kernel::Duration timeout)
{
    auto document = co_await exchangeJson(store, std::move(request), std::move(key), timeout);
    if (store.observe) {
        const Called called { std::move(cause), document ? ResultCode::Ok : document.error().code };
        store.observe(called);
    }
    co_return document;
}

Entry readEntry(const boost::json::value& value)
{
    const json::Reader reader { value };
    return { reader.text("key"), reader.text("value"),
        static_cast<std::uint64_t>(reader.integer("version")) };
}

Listing readListing(const boost::json::value& value)
{
    const json::Reader reader { value };
    return { static_cast<std::uint64_t>(reader.integer("revision")),
        reader.list<Entry>("entries", readEntry) };
}

ListedVm readListedVm(const boost::json::value& value)
{
    const json::Reader reader { value };
    return { reader.text("id"), reader.flag("leaving"), reader.text("state") == "rebooting",
        static_cast<std::uint64_t>(reader.integer("step")) };
}

Result<Entry> getOver(HttpStore store, std::string key)
{
    auto request = http::makeRequest(verb::get, "/kv/" + encode(key));
    const auto document = co_await call(store, causeOf(key, "read"), std::move(request), key, store.timeout);
    if (!document) {
        co_return tl::unexpected(document.error());
    }
    co_return readEntry(*document);
}

Result<Entry> getOver(LocalStore store, std::string key) { co_return store.memory->get(key); }

Result<Listing> listOver(HttpStore store, std::string cause, std::string target, kernel::Duration timeout)
{
    auto request = http::makeRequest(verb::get, target);
    const auto document = co_await call(store, std::move(cause), std::move(request), target, timeout);
    if (!document) {
        co_return tl::unexpected(document.error());
    }
    co_return readListing(*document);
}

Result<std::uint64_t> putOver(HttpStore store, std::string key, std::string value, std::uint64_t ifVersion)
{
    auto request = http::makeRequest(
        verb::put, "/kv/" + encode(key) + "?if-version=" + std::to_string(ifVersion), std::move(value));
    const auto document = co_await call(store, causeOf(key, "write"), std::move(request), key, store.timeout);
    if (!document) {
        co_return tl::unexpected(document.error());
    }
    co_return static_cast<std::uint64_t>(json::Reader { *document }.integer("version"));
}

Result<std::uint64_t> putOver(LocalStore store, std::string key, std::string value, std::uint64_t ifVersion)
{
    co_return store.memory->put(key, std::move(value), ifVersion);
}

} // namespace

Result<Entry> get(Store store, std::string key)
{
    return std::visit(
        [&](auto backEnd) { return getOver(std::move(backEnd), std::move(key)); }, std::move(store));
}

Result<Listing> list(Store store, std::string prefix)
{
    return std::visit(
        kernel::Overloaded {
            [&](HttpStore http) {
                return listOver(http, causeOf(prefix, "list"), "/kv?prefix=" + encode(prefix), http.timeout);
            },
            [&](LocalStore local) -> Result<Listing> {
                return [](LocalStore store, std::string prefix) -> Result<Listing> {
                    co_return store.memory->list(prefix);
                }(local, prefix);
            },
        },
        std::move(store));
}

Result<std::uint64_t> put(Store store, std::string key, std::string value, std::uint64_t ifVersion)
{
    return std::visit(
        [&](auto backEnd) {
            return putOver(std::move(backEnd), std::move(key), std::move(value), ifVersion);
        },
        std::move(store));
}

Result<Listing> watch(Store store, std::string prefix, std::uint64_t after, kernel::Duration wait)
{
    return std::visit(kernel::Overloaded {
                          [&](HttpStore http) {
                              const auto target = "/watch?prefix=" + encode(prefix) + "&after="
                                  + std::to_string(after) + "&wait-ms=" + std::to_string(wait.milliseconds);
                              return listOver(http, causeOf(prefix, "watch"), target, http.timeout + wait);
                          },
                          [&](LocalStore local) { return list(local, prefix); },
                      },
        std::move(store));
}

Result<std::vector<ListedVm>> listVms(Store store)
{
    using List = std::vector<ListedVm>;
    return std::visit(kernel::Overloaded {
                          [](HttpStore http) {
                              return [](HttpStore http) -> Result<List> {
                                  auto request = http::makeRequest(verb::get, "/vms");
                                  const auto document = co_await call(
                                      http, "vms-list", std::move(request), "/vms", http.timeout);
                                  if (!document) {
                                      co_return tl::unexpected(document.error());
                                  }
                                  co_return json::Reader { *document }.list<ListedVm>("vms", readListedVm);
                              }(http);
                          },
                          [](LocalStore) { return []() -> Result<List> { co_return List {}; }(); },
                      },
        std::move(store));
}

Result<bool> startMaintenance(Store store, std::string vm, std::uint64_t step)
{
    return std::visit(kernel::Overloaded {
                          [&](HttpStore http) {
                              return [](HttpStore http, std::string vm, std::uint64_t step) -> Result<bool> {
                                  const auto target
                                      = "/vms/" + encode(vm) + "/maintenance?step=" + std::to_string(step);
                                  auto request = http::makeRequest(verb::post, target);
                                  const auto document = co_await call(
                                      http, "vm-maintenance", std::move(request), vm, http.timeout);
                                  if (!document) {
                                      co_return tl::unexpected(document.error());
                                  }
                                  co_return json::Reader { *document }.flag("started");
                              }(http, vm, step);
                          },
                          [](LocalStore) { return []() -> Result<bool> { co_return false; }(); },
                      },
        std::move(store));
}

} // namespace wasabiroad::platform
