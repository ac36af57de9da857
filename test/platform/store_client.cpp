#include "platform/store_client.hpp"

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/http/server.hpp"

#include <algorithm>
#include <map>
#include <ostream>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::platform {

namespace {

namespace data = boost::unit_test::data;

enum class Found : unsigned char { Entry, Nothing, Error };

/** Response of the store to a read, and the expected result of the read. */
struct Row {
    const char* title;
    const unsigned status;
    const std::string body;
    const Found found;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "an entry", 200, R"({"key":"a","value":"YQ==","revision":2,"created":1})", Found::Entry },
    { "no such key", 404, "{}", Found::Nothing },
    { "an entry without a key", 200, R"({"value":"YQ=="})", Found::Error },
    { "a value that is no base64", 200, R"({"key":"a","value":"%"})", Found::Error },
    { "no JSON", 200, "<", Found::Error },
    { "busy", 503, "{}", Found::Error },
};

/** Guards against an entry that cannot be decoded being reported as absent. */
BOOST_DATA_TEST_CASE(only_a_missing_key_is_reported_as_absent, data::make(rows), row)
{
    boost::asio::io_context context { 1 };
    http::Server server { context, [&](http::Request request) -> boost::asio::awaitable<http::Response> {
                             co_return http::respond(request, row.status, "application/json", row.body);
                         } };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address);
    const auto client = std::make_shared<StoreClient>(context, *http::parseEndpoint(*address));
    std::optional<Found> found;
    client->makeStore().read("a", [&](const kernel::Expected<std::optional<store::Entry>>& entry) {
        found = !entry ? Found::Error : *entry ? Found::Entry : Found::Nothing;
        context.stop();
    });
    context.run_for(std::chrono::seconds { 20 });
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST((*found == row.found));
}

/** Pages of a list by the key after which they begin, and the keys that are listed; nothing for an error. */
struct ListRow {
    const char* title;
    const std::map<std::string, std::string> pages;
    const std::optional<std::vector<std::string>> keys;

    friend std::ostream& operator<<(std::ostream& out, const ListRow& row) { return out << row.title; }
};

const std::vector<ListRow> lists {
    { "one page", { { "", R"({"items":[{"key":"a","value":""}],"asOf":1})" } }, { { "a" } } },
    { "two pages",
        { { "", R"({"items":[{"key":"a","value":""}],"truncated":true,"asOf":1})" },
            { "a", R"({"items":[{"key":"b","value":""}],"asOf":2})" } },
        { { "a", "b" } } },
    { "a page without a valid value",
        { { "", R"({"items":[{"key":"a","value":"%"}],"truncated":true,"asOf":1})" },
            { "a", R"({"items":[{"key":"b","value":""}],"asOf":2})" } },
        { { "b" } } },
    { "a page that ends with an invalid value",
        { { "", R"({"items":[{"key":"a","value":""},{"key":"b","value":"%"}],"truncated":true,"asOf":1})" },
            { "b", R"({"items":[{"key":"c","value":""}],"asOf":2})" } },
        { { "a", "c" } } },
    { "an empty page that is truncated", { { "", R"({"items":[],"truncated":true,"asOf":1})" } },
        std::nullopt },
    { "a page that repeats itself",
        { { "", R"({"items":[{"key":"a","value":""}],"truncated":true,"asOf":1})" },
            { "a", R"({"items":[{"key":"a","value":""}],"truncated":true,"asOf":1})" } },
        std::nullopt },
    { "no items", { { "", R"({"asOf":1})" } }, std::nullopt },
    { "no revision", { { "", R"({"items":[]})" } }, std::nullopt },
    { "no JSON", { { "", "<" } }, std::nullopt },
};

/** Guards against a part of a list that passes for the whole: what is missing from it counts as removed. */
BOOST_DATA_TEST_CASE(part_of_a_list_is_not_the_whole, data::make(lists), row)
{
    boost::asio::io_context context { 1 };
    http::Server server { context, [&](http::Request request) -> boost::asio::awaitable<http::Response> {
                             const std::string target { request.target().data(), request.target().size() };
                             const auto after = target.find("&after=");
                             const auto page
                                 = row.pages.find(after == std::string::npos ? "" : target.substr(after + 7));
                             co_return http::respond(request, page != row.pages.end() ? 200 : 400,
                                 "application/json", page != row.pages.end() ? page->second : "{}");
                         } };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address);
    const auto client = std::make_shared<StoreClient>(context, *http::parseEndpoint(*address));
    std::optional<std::vector<std::string>> keys;
    bool answered = false;
    client->makeStore().list("", [&](const kernel::Expected<store::Listing>& listing) {
        if (listing) {
            keys.emplace();
            std::ranges::transform(listing->entries, std::back_inserter(*keys), &store::Entry::key);
            BOOST_TEST(listing->asOf.value == 1);
        }
        answered = true;
        context.stop();
    });
    context.run_for(std::chrono::seconds { 20 });
    BOOST_REQUIRE(answered);
    BOOST_TEST((keys == row.keys));
}

/** Guards against a lease that expires because its renewal queues behind long lists. */
BOOST_AUTO_TEST_CASE(renewal_does_not_wait_behind_lists)
{
    boost::asio::io_context context { 1 };
    http::Server server { context,
        [&](http::Request request) -> boost::asio::awaitable<http::Response> {
            const std::string_view target { request.target().data(), request.target().size() };
            if (target.starts_with("/kv-range")) {
                boost::asio::steady_timer timer { context, std::chrono::milliseconds { 600 } };
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            co_return http::respond(request, 200, "application/json", R"({"items":[],"asOf":1})");
        } };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address);
    const auto client = std::make_shared<StoreClient>(context, *http::parseEndpoint(*address));
    constexpr std::size_t lists = 8;
    std::size_t listed = 0;
    for (std::size_t index = 0; index < lists; ++index) {
        client->makeStore().list("a", [&](const auto&) {
            if (++listed == lists) {
                context.stop();
            }
        });
    }
    std::optional<bool> renewed;
    client->makeStore().renew({ 1 }, [&](const kernel::Expected<bool>& alive) {
        renewed = alive && *alive;
        BOOST_TEST(listed == 0);
    });
    context.run_for(std::chrono::seconds { 20 });
    BOOST_TEST(renewed.value_or(false));
    BOOST_TEST(listed == lists);
}

/** Response to a change, and the expected outcome. */
struct ChangeRow {
    const char* title;
    const unsigned status;
    const std::string body;
    const std::size_t kind;
    /** @brief Revisions of the entries of a conflict. */
    const std::vector<std::uint64_t> current {};

    friend std::ostream& operator<<(std::ostream& out, const ChangeRow& row) { return out << row.title; }
};

constexpr std::size_t committed = 0;
constexpr std::size_t conflict = 1;
constexpr std::size_t notDone = 3;
constexpr std::size_t outcomeUnknown = 4;

const std::vector<ChangeRow> changes {
    { "committed", 200, R"({"revision":5})", committed },
    { "without a revision", 200, "{}", outcomeUnknown },
    { "a revision below zero", 200, R"({"revision":-5})", outcomeUnknown },
    { "a revision of another type", 200, R"({"revision":"5"})", outcomeUnknown },
    { "no JSON", 200, "<", outcomeUnknown },
    { "no key of the conditions exists", 412, R"({"items":[]})", conflict },
    { "a key exists", 412, R"({"items":[{"key":"a","value":"YQ==","revision":7}]})", conflict, { 7 } },
    { "a key exists with a value that is no base64", 412,
        R"({"items":[{"key":"a","value":"%","revision":7}]})", conflict, { 7 } },
    { "a conflict without items", 412, "{}", notDone },
    { "a conflict whose items are no list", 412, R"({"items":{"key":"a"}})", notDone },
    { "a conflict with an item without a key", 412, R"({"items":[{"value":"YQ==","revision":7}]})", notDone },
    { "a conflict that is no JSON", 412, "<html>", notDone },
    { "a conflict that is cut off", 412, R"({"items":[{"key":"a")", notDone },
    { "a conflict without a body", 412, "", notDone },
};

/** Guards against an unreadable response that passes for keys that are gone, or for a revision of 0. */
BOOST_DATA_TEST_CASE(unreadable_response_to_a_change_decides_nothing, data::make(changes), row)
{
    boost::asio::io_context context { 1 };
    http::Server server { context, [&](http::Request request) -> boost::asio::awaitable<http::Response> {
                             co_return http::respond(request, row.status, "application/json", row.body);
                         } };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address);
    const auto client = std::make_shared<StoreClient>(context, *http::parseEndpoint(*address));
    std::optional<store::ChangeOutcome> outcome;
    client->makeStore().change({ { { "a", { 1 } } }, {}, {} }, [&](const store::ChangeOutcome& answer) {
        outcome.emplace(answer);
        context.stop();
    });
    context.run_for(std::chrono::seconds { 20 });
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome->index() == row.kind);
    if (const auto* const found = std::get_if<store::Conflict>(&*outcome)) {
        std::vector<std::uint64_t> revisions;
        std::ranges::transform(found->current, std::back_inserter(revisions),
            [](const store::Entry& entry) { return entry.revision.value; });
        BOOST_TEST(revisions == row.current, boost::test_tools::per_element());
    }
}

/** Response to a watch of "p/", and the reported events as key=value or -key; nothing for an error. */
struct WatchRow {
    const char* title;
    const std::string body;
    const std::optional<std::vector<std::string>> events;

    friend std::ostream& operator<<(std::ostream& out, const WatchRow& row) { return out << row.title; }
};

const std::vector<WatchRow> watches {
    { "no event", R"({"events":[],"asOf":4})", { std::vector<std::string> {} } },
    { "an entry and a removal",
        R"({"events":[{"key":"p/a","value":"YQ==","revision":2},{"key":"p/b","tombstone":true}],"asOf":4})",
        { { "p/a=a", "-p/b" } } },
    { "a value that is no base64", R"({"events":[{"key":"p/a","value":"%","revision":2}],"asOf":4})",
        { { "p/a=" } } },
    { "a value of another type", R"({"events":[{"key":"p/a","value":[1],"revision":2}],"asOf":4})",
        { { "p/a=" } } },
    { "events that name no key under the prefix",
        R"({"events":[{"tombstone":true},{"key":"q","value":""},{"key":7,"value":""},{"key":"","value":""},7,
        {"key":"p","tombstone":true},{"key":"p/a","value":"YQ=="}],"asOf":4})",
        { { "p/a=a" } } },
    { "no events", R"({"asOf":4})", std::nullopt },
    { "no revision", R"({"events":[]})", std::nullopt },
    { "a revision below zero", R"({"events":[],"asOf":-4})", std::nullopt },
    { "no JSON", "<", std::nullopt },
};

/** Guards against events that are lost, name no key of the watch, or pass for none although unreadable. */
BOOST_DATA_TEST_CASE(watch_reports_only_what_it_can_read, data::make(watches), row)
{
    boost::asio::io_context context { 1 };
    http::Server server { context, [&](http::Request request) -> boost::asio::awaitable<http::Response> {
                             co_return http::respond(request, 200, "application/json", row.body);
                         } };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address);
    const auto client = std::make_shared<StoreClient>(context, *http::parseEndpoint(*address));
    std::optional<std::vector<std::string>> events;
    bool answered = false;
    client->makeStore().watch("p/", { 1 }, {}, [&](const store::WatchOutcome& outcome) {
        if (const auto* const changed = std::get_if<store::KeyEvents>(&outcome)) {
            events.emplace();
            for (const auto& event : changed->events) {
                const auto* const entry = std::get_if<store::Entry>(&event);
                events->push_back(entry != nullptr ? entry->key + "=" + entry->value
                                                   : "-" + std::get<store::Removed>(event).key);
            }
            BOOST_TEST(changed->asOf.value == 4U);
        }
        answered = true;
        context.stop();
    });
    context.run_for(std::chrono::seconds { 20 });
    BOOST_REQUIRE(answered);
    BOOST_TEST((events == row.events));
}

/** Response to a request for a lease, and its lifetime; nothing for an error. */
struct LeaseRow {
    const std::string body;
    const std::optional<std::int64_t> lifetime;

    friend std::ostream& operator<<(std::ostream& out, const LeaseRow& row) { return out << row.body; }
};

const std::vector<LeaseRow> leases {
    { R"({"lease":3,"ttlMs":2000})", 2000 },
    { R"({"lease":3,"ttlMs":9223372036854775807})", 600000 },
    { R"({"lease":3,"ttlMs":-1})", std::nullopt },
    { R"({"lease":3})", std::nullopt },
    { R"({"lease":0,"ttlMs":2000})", std::nullopt },
    { R"({"lease":-3,"ttlMs":2000})", std::nullopt },
    { R"({"ttlMs":2000})", std::nullopt },
    { "<", std::nullopt },
};

/** Guards against a lease whose id or lifetime is a guess. */
BOOST_DATA_TEST_CASE(lease_without_its_fields_is_not_used, data::make(leases), row)
{
    boost::asio::io_context context { 1 };
    http::Server server { context, [&](http::Request request) -> boost::asio::awaitable<http::Response> {
                             co_return http::respond(request, 200, "application/json", row.body);
                         } };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address);
    const auto client = std::make_shared<StoreClient>(context, *http::parseEndpoint(*address));
    std::optional<std::int64_t> lifetime;
    bool answered = false;
    client->makeStore().grant({ 2000 }, [&](const kernel::Expected<store::Lease>& lease) {
        if (lease) {
            lifetime = lease->lifetime.milliseconds;
        }
        answered = true;
        context.stop();
    });
    context.run_for(std::chrono::seconds { 20 });
    BOOST_REQUIRE(answered);
    BOOST_TEST((lifetime == row.lifetime));
}

} // namespace

} // namespace wasabiroad::platform
