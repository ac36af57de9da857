#include "wasabiroad/integration/traffic_site.hpp"

#include <algorithm>
#include <thread>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

using Headers = std::map<std::string, std::string>;

/** Guards against a ticket that runs a request twice, at its daemon, at another one or at its successor. */
BOOST_DATA_TEST_CASE(runs_a_ticket_once, boost::unit_test::data::make(test::examples), example)
{
    const auto site = test::startSite(example, 2);
    BOOST_REQUIRE(site);
    const Headers headers { { "Wasabiroad-Request-Id", "ticketed" },
        { "Wasabiroad-Ticket", test::ticketOf(*site, 0) } };
    struct Step {
        const std::size_t daemon;
        const std::string code;
        const std::string outcome;
    };
    const std::array steps { Step { 1, "316", "not-run" }, Step { 0, "", "" }, Step { 0, "317", "unknown" },
        Step { 0, "317", "unknown" }, Step { 1, "316", "not-run" } };
    for (const auto& step : steps) {
        const auto response
            = launch::send({ site->addresses(step.daemon).callers, "POST", example.ticketed, headers, "0" });
        BOOST_REQUIRE(response);
        BOOST_TEST((*response)["Wasabiroad-Code"] == step.code);
        BOOST_TEST((*response)["Wasabiroad-Outcome"] == step.outcome);
    }
    // The same entry with another incarnation.
    BOOST_TEST((site->stopDaemon(0) == 0));
    BOOST_REQUIRE(site->addDaemon({ "entry-0", example.zone }));
    BOOST_REQUIRE(test::isConfigured(*site));
    const auto response
        = launch::send({ site->addresses(2).callers, "POST", example.ticketed, headers, "0" });
    BOOST_REQUIRE(response);
    BOOST_TEST((*response)["Wasabiroad-Code"] == "316");
    BOOST_TEST(test::runsOf(*site)["ticketed"] == 1U);
}

/** Guards against a second run while the first attempt of the same ticket or claim still runs. */
BOOST_DATA_TEST_CASE(refuses_a_repeat_of_a_running_request,
    boost::unit_test::data::make(test::examples) * boost::unit_test::data::make({ false, true }), example,
    claimed)
{
    const auto site = test::startSite(example);
    BOOST_REQUIRE(site);
    Headers headers { { "Wasabiroad-Request-Id", "running" } };
    if (!claimed) {
        headers.emplace("Wasabiroad-Ticket", test::ticketOf(*site, 0));
    }
    const launch::Call call { site->addresses(0).callers, "POST",
        claimed ? example.claimed : example.ticketed, headers, "1000" };
    std::array<std::string, 4> codes {};
    std::vector<std::thread> callers;
    for (auto& code : codes) {
        callers.emplace_back([&] {
            const auto response = launch::send(call);
            code = response ? std::string { (*response)["Wasabiroad-Code"] } : "broken";
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    BOOST_TEST(std::ranges::count(codes, "") == 1);
    BOOST_TEST(std::ranges::count(codes, "317") == 3);
    BOOST_TEST(test::runsOf(*site)["running"] == 1U);
}

/** A fault of the platform while a claim is made, and the answers before and after it ends. */
struct Row {
    const std::string name;
    const std::string faults;
    const std::string code;
    const std::string outcome;
    const std::size_t runs;
    /** Codes that a repeat may get after the fault, besides a whole answer if nothing ran before. */
    const std::string repeat;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.name; }

const std::array rows {
    Row { "no fault", "", "", "", 1, "317" },
    Row { "lost answer to the write", "lose-write-responses=1", "", "", 1, "317" },
    Row { "outage", "outage=1", "405", "not-run", 0, "" },
    Row { "slow platform", "delay-ms=2000", "402", "not-run", 0, "317" },
};

/** Guards against a run without a claim, a false not-run, and a second run after a fault of the platform. */
BOOST_DATA_TEST_CASE(claims_before_it_sends,
    boost::unit_test::data::make(test::examples) * boost::unit_test::data::make(rows), example, row)
{
    const auto site = test::startSite(example, 2, R"({"limits": {"platform-timeout-ms": 300}})");
    BOOST_REQUIRE(site);
    const auto sendTo = [&](std::size_t daemon) {
        return launch::send({ site->addresses(daemon).callers, "POST", example.claimed,
            { { "Wasabiroad-Request-Id", "claimed" } }, "0" });
    };
    BOOST_REQUIRE(test::setPlatformFaults(*site, row.faults));
    const auto response = sendTo(0);
    BOOST_REQUIRE(response);
    BOOST_TEST((*response)["Wasabiroad-Code"] == row.code);
    BOOST_TEST((*response)["Wasabiroad-Outcome"] == row.outcome);
    BOOST_TEST(test::runsOf(*site)["claimed"] == row.runs);
    BOOST_REQUIRE(test::setPlatformFaults(*site, ""));
    const auto repeat = sendTo(1);
    BOOST_REQUIRE(repeat);
    const auto code = (*repeat)["Wasabiroad-Code"];
    BOOST_TEST((code == row.repeat || (code.empty() && row.runs == 0)), code);
    BOOST_TEST(test::runsOf(*site)["claimed"] == row.runs + (code.empty() ? 1U : 0U));
}

} // namespace
