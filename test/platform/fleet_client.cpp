#include "platform/fleet_client.hpp"

#include "wasabiroad/http/endpoint.hpp"
#include "wasabiroad/http/server.hpp"

#include <algorithm>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::platform {

namespace {

/** Guards against VM lists that queue behind orders, and against orders that run one after another. */
BOOST_AUTO_TEST_CASE(lists_and_orders_do_not_wait_behind_orders)
{
    boost::asio::io_context context { 1 };
    std::size_t inFlight = 0;
    std::size_t maxInFlight = 0;
    http::Server server { context,
        [&](http::Request request) -> boost::asio::awaitable<http::Response> {
            const std::string_view target { request.target().data(), request.target().size() };
            if (target != "/machines") {
                maxInFlight = std::max(maxInFlight, ++inFlight);
                boost::asio::steady_timer timer { context, std::chrono::milliseconds { 200 } };
                co_await timer.async_wait(boost::asio::use_awaitable);
                --inFlight;
            }
            co_return http::respond(request, 200, "application/json", R"({"machines":[],"nextToken":""})");
        } };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address);
    const auto endpoint = *http::parseEndpoint(*address);
    const auto fleet
        = makeFleet(context, std::make_shared<StoreClient>(context, endpoint), endpoint, "entry");
    constexpr std::size_t orders = 8;
    std::size_t done = 0;
    bool listed = false;
    const auto finish = [&] {
        if (listed && done == orders) {
            context.stop();
        }
    };
    for (std::size_t index = 0; index < orders; ++index) {
        fleet.move(
            model::VmId { "vm" }, model::ServiceId { "pool" }, { 1 }, [] { return true; },
            [&](ports::VmOrderResult) {
                ++done;
                finish();
            });
    }
    fleet.listVms([&](const kernel::Expected<ports::VmListing>&) {
        listed = true;
        BOOST_TEST(done == 0);
        finish();
    });
    context.run_for(std::chrono::seconds { 20 });
    BOOST_TEST(listed);
    BOOST_TEST(done == orders);
    BOOST_TEST(maxInFlight > 1);
}

/** Guards against orders that wait for a connection while the process is suspended and its lease ends, and
 * are sent when it goes on. */
BOOST_AUTO_TEST_CASE(orders_are_not_sent_after_their_permission_has_ended)
{
    boost::asio::io_context context { 1 };
    std::size_t sent = 0;
    bool permitted = true;
    http::Server server { context, [&](http::Request request) -> boost::asio::awaitable<http::Response> {
                             ++sent;
                             // The lease ends while the other orders wait behind this one.
                             permitted = false;
                             co_return http::respond(request, 200, "application/json", "{}");
                         } };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address);
    const auto endpoint = *http::parseEndpoint(*address);
    const auto fleet
        = makeFleet(context, std::make_shared<StoreClient>(context, endpoint), endpoint, "entry");
    constexpr std::size_t orders = 40;
    std::vector<ports::VmOrderResult> results;
    for (std::size_t index = 0; index < orders; ++index) {
        const auto finish = [&](ports::VmOrderResult result) {
            results.push_back(result);
            if (results.size() == orders) {
                context.stop();
            }
        };
        const model::VmId vm { "vm" + std::to_string(index) };
        if (index % 2 == 0) {
            fleet.move(
                vm, model::ServiceId { "pool" }, { 1 }, [&] { return permitted; }, finish);
        } else {
            fleet.maintain(
                vm, 1, { 1 }, [&] { return permitted; }, finish);
        }
    }
    context.run_for(std::chrono::seconds { 20 });
    BOOST_REQUIRE(results.size() == orders);
    const auto done = std::ranges::count(results, ports::VmOrderResult::Done);
    BOOST_TEST(static_cast<std::size_t>(done) == sent);
    // One order on each connection may have been sent before the first was handled.
    BOOST_TEST(sent <= 4U);
    BOOST_TEST(std::ranges::count(results, ports::VmOrderResult::Overloaded) == orders - sent);
}

/** Tokens of the next page that follow a first page, and the number of VMs; nothing for an error. */
struct PagesRow {
    const char* title;
    const std::vector<std::string> next;
    const std::optional<std::size_t> vms;

    friend std::ostream& operator<<(std::ostream& out, const PagesRow& row) { return out << row.title; }
};

const std::vector<PagesRow> pages {
    { "one page", { "" }, 1 },
    { "two pages", { "t", "" }, 2 },
    { "a token with characters of its own in a target", { "a b&c=\\r\\n", "" }, 2 },
    { "a page that repeats itself", { "t", "t" }, std::nullopt },
};

/** Guards against a list of VMs that never ends, or breaks its own call. */
BOOST_DATA_TEST_CASE(pages_of_vms_are_read_to_the_last, boost::unit_test::data::make(pages), row)
{
    boost::asio::io_context context { 1 };
    std::size_t page = 0;
    http::Server server { context,
        [&](http::Request request) -> boost::asio::awaitable<http::Response> {
            const auto& token = row.next[std::min(page++, row.next.size() - 1)];
            co_return http::respond(request, 200, "application/json",
                R"({"machines":[{"machine":"m-1","pool":"s"}],"nextToken":")" + token + "\"}");
        } };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address);
    const auto endpoint = *http::parseEndpoint(*address);
    const auto fleet
        = makeFleet(context, std::make_shared<StoreClient>(context, endpoint), endpoint, "entry");
    std::optional<std::size_t> found;
    bool answered = false;
    fleet.listVms([&](const kernel::Expected<ports::VmListing>& vms) {
        if (vms) {
            found = vms->vms.size();
        }
        answered = true;
        context.stop();
    });
    context.run_for(std::chrono::seconds { 5 });
    BOOST_TEST(answered);
    BOOST_TEST((found == row.vms));
}

} // namespace

} // namespace wasabiroad::platform
