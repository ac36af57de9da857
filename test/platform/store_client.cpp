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

} // namespace

} // namespace wasabiroad::platform
