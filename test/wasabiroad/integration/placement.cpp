#include "wasabiroad/integration/traffic_site.hpp"

#include "wasabiroad/http/endpoint.hpp"

#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

constexpr kernel::Duration patience { 30000 };

/** Guards against new work for an upstream that said that it leaves. */
BOOST_DATA_TEST_CASE(avoids_a_leaving_upstream, boost::unit_test::data::make(test::examples), example)
{
    const auto site = test::startSite(example);
    BOOST_REQUIRE(site);
    const launch::Call leave { site->addresses(0).callers, "POST", example.repeatable,
        { { "Wasabiroad-Request-Id", "leave" } }, "0 fault=leaving" };
    const auto response = launch::send(leave);
    BOOST_REQUIRE(response);
    BOOST_TEST((*response)["Wasabiroad-Leaving"].empty());
    const auto line = site->daemon(0).waitForLine("event=upstream-leaving ", patience);
    BOOST_REQUIRE(line);
    const auto placed = site->daemon(0).waitForLine("event=placement request=leave ", patience);
    BOOST_REQUIRE(placed);
    const auto vm = launch::valueOf(*line, "vm");
    BOOST_TEST(launch::valueOf(*placed, "chosen") == vm);
    constexpr int requests = 60;
    for (int index = 0; index < requests; ++index) {
        BOOST_REQUIRE(launch::send({ site->addresses(0).callers, "POST", example.repeatable,
            { { "Wasabiroad-Request-Id", "after-" + std::to_string(index) } }, "0" }));
    }
    const auto last = "request=after-" + std::to_string(requests - 1) + " ";
    BOOST_REQUIRE(site->daemon(0).waitForLine("event=attempt-finished " + last, patience));
    BOOST_TEST(site->daemon(0).count("chosen=" + vm + " ") == 1U);
}

/** A request whose caller goes away while it runs or waits. */
struct Row {
    const std::string name;
    const bool stoppable;
    /** Text of the log line that shows how the request ended. */
    const std::string ending;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.name; }

const std::array rows {
    Row { "stoppable", true, "event=request-cancelled request=gone " },
    Row { "not stoppable", false, "event=attempt-finished request=gone " },
};

/** Connects, sends a request and returns the open connection. */
boost::asio::ip::tcp::socket sendOnly(boost::asio::io_context& context, const std::string& address,
    const std::string& path, const std::string& id, const std::string& body)
{
    boost::asio::ip::tcp::socket socket { context };
    socket.connect(*http::parseEndpoint(address));
    const auto bytes = "POST " + path + " HTTP/1.1\r\nHost: a\r\nWasabiroad-Request-Id: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::write(socket, boost::asio::buffer(bytes));
    return socket;
}

/** Guards against work that is stopped although it must not be, or runs on although nobody wants it. */
BOOST_DATA_TEST_CASE(stops_only_what_is_stoppable,
    boost::unit_test::data::make(test::examples) * boost::unit_test::data::make(rows), example, row)
{
    const auto site = test::startSite(example);
    BOOST_REQUIRE(site);
    boost::asio::io_context context;
    const std::string runTime { row.stoppable ? "15000" : "1500" };
    auto socket = sendOnly(context, site->addresses(0).callers,
        row.stoppable ? example.stoppable : example.repeatable, "gone", runTime);
    BOOST_REQUIRE(site->daemon(0).waitForLine("event=placement request=gone ", patience));
    socket.close();
    const auto finished = site->daemon(0).waitForLine("event=attempt-finished request=gone ", patience);
    BOOST_REQUIRE(finished);
    const auto milliseconds = std::stoll(launch::valueOf(*finished, "milliseconds"));
    BOOST_TEST((row.stoppable ? milliseconds < 15000 : milliseconds >= 1500), *finished);
    BOOST_TEST(site->daemon(0).waitForLine(row.ending, patience).has_value());
}

/** Guards against cancelled requests that stay queued, and against slots that are never given back. */
BOOST_DATA_TEST_CASE(
    forgets_queued_requests_of_lost_callers, boost::unit_test::data::make(test::examples), example)
{
    auto document = boost::json::parse(test::manifestOf(example));
    for (auto& vm : document.as_object()["vms"].as_array()) {
        vm.as_object()["slots"] = 1;
    }
    const auto site = test::startSite(example, 1, "{}", boost::json::serialize(document));
    BOOST_REQUIRE(site);
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> callers;
    constexpr int count = 60;
    for (int index = 0; index < count; ++index) {
        callers.push_back(sendOnly(context, site->addresses(0).callers, example.repeatable,
            "wave-" + std::to_string(index), "1000"));
    }
    BOOST_REQUIRE(site->daemon(0).waitForLine("event=attempt-finished ", patience));
    callers.clear();
    BOOST_REQUIRE(site->daemon(0).waitForLine("event=request-cancelled ", patience));
    // Answered only if the cancelled requests gave up their place and the others their slot.
    const auto response = launch::send({ site->addresses(0).callers, "POST", example.repeatable,
        { { "Wasabiroad-Request-Id", "next" }, { "Wasabiroad-Deadline-Ms", "30000" } }, "0" });
    BOOST_REQUIRE(response);
    BOOST_TEST(response->result_int() == 200U);
    BOOST_TEST(test::runsOf(*site).size() < static_cast<std::size_t>(count));
}

} // namespace
