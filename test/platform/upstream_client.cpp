#include "platform/upstream_client.hpp"

#include "wasabiroad/http/server.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::platform {

namespace {

using scheduling::StartResult;

/** Guards against starts that wait for a connection while the process stands still, and are sent when it goes
 * on although the owner may not start tasks any more. */
BOOST_AUTO_TEST_CASE(starts_are_not_sent_after_their_permission_has_ended)
{
    boost::asio::io_context context { 1 };
    std::size_t sent = 0;
    bool permitted = true;
    http::Server server { context,
        [&](http::Request request) -> boost::asio::awaitable<http::Response> {
            const std::string_view target { request.target().data(), request.target().size() };
            if (target == "/run-start") {
                ++sent;
                // The permission ends while the other starts wait behind this one.
                permitted = false;
            }
            co_return http::respond(
                request, 200, "application/json", R"({"clockMs":1,"born":1,"runningTasks":[],"ended":[]})");
        } };
    const auto address = server.listen("127.0.0.1:0");
    BOOST_REQUIRE(address);
    const scheduling::UpstreamId id { "i-1" };
    const auto link = makeUpstreams(context).open({ .id = id, .address = *address });
    BOOST_REQUIRE(link);
    constexpr std::size_t starts = 5;
    std::vector<ports::StartOutcome> outcomes;
    (*link)->look({ { 1 } }, [&](const ports::LookOutcome&) {
        for (std::uint32_t index = 0; index < starts; ++index) {
            const scheduling::StartTask order { id, { jobs::JobId { "a" }, { 0, 0, index } }, { 1 }, "", "" };
            (*link)->start(
                order, { 1 }, ports::UpstreamTime { 1000 }, [&] { return permitted; },
                [&](const ports::StartOutcome& outcome) {
                    outcomes.push_back(outcome);
                    if (outcomes.size() == starts) {
                        context.stop();
                    }
                });
        }
    });
    context.run_for(std::chrono::seconds { 20 });
    BOOST_REQUIRE_EQUAL(outcomes.size(), starts);
    BOOST_TEST(sent == 1U);
    const ports::StartOutcome started { ports::StartAnswer {
        StartResult::Started, ports::UpstreamTime { 1 } } };
    const ports::StartOutcome notTried { ports::StartAnswer { StartResult::NotTried } };
    BOOST_TEST(std::ranges::count(outcomes, started) == 1);
    BOOST_TEST(std::ranges::count(outcomes, notTried) == starts - 1);
}

} // namespace

} // namespace wasabiroad::platform
