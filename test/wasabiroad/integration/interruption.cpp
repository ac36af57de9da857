#include "wasabiroad/integration/caller_load.hpp"
#include "wasabiroad/integration/traffic_site.hpp"

#include <csignal>
#include <mutex>
#include <thread>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using test::Seen;

enum class Target { Repeatable, Ticketed, Claimed };

/** What happens to a daemon under load. */
struct Row {
    const std::string name;
    const int signal;
    const Target target;
    /** Whether callers may see a connection break. */
    const bool mayBreak;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.name; }

const std::array rows {
    Row { "SIGTERM", SIGTERM, Target::Repeatable, false },
    Row { "SIGTERM, ticketed", SIGTERM, Target::Ticketed, false },
    Row { "SIGTERM, claimed", SIGTERM, Target::Claimed, false },
    Row { "SIGKILL", SIGKILL, Target::Repeatable, true },
    Row { "SIGKILL, ticketed", SIGKILL, Target::Ticketed, true },
    Row { "SIGKILL, claimed", SIGKILL, Target::Claimed, true },
};

std::string pathOf(const test::Example& example, Target target)
{
    return target == Target::Repeatable ? example.repeatable
        : target == Target::Ticketed    ? example.ticketed
                                        : example.claimed;
}

/** Guards against requests that a stop cuts off, and against lost, doubled and mixed-up requests. */
BOOST_DATA_TEST_CASE(counts_requests_of_an_ending_daemon,
    boost::unit_test::data::make(test::examples) * boost::unit_test::data::make(rows), example, row)
{
    const auto site = test::startSite(example);
    BOOST_REQUIRE(site);
    test::CallerLoad load { site->addresses(0).callers, 64, pathOf(example, row.target),
        row.target == Target::Ticketed };
    BOOST_REQUIRE(load.waitForAnswers(500, { 60000 }));
    site->daemon(0).signal(row.signal);
    const auto seen = load.finish();
    BOOST_TEST(site->daemon(0).wait({ 30000 }).has_value());
    const auto runs = test::runsOf(*site);
    std::map<std::string, std::size_t> wrong;
    for (const auto& [id, what] : seen) {
        const auto found = runs.find(id);
        const auto count = found == runs.end() ? 0 : found->second;
        wrong["foreign"] += what == Seen::Foreign ? 1U : 0U;
        wrong["broken"] += what == Seen::Broken && !row.mayBreak ? 1U : 0U;
        wrong["answered without a run"] += what == Seen::Answered && count == 0 ? 1U : 0U;
        wrong["false not-run"] += what == Seen::NotRun && count > 0 ? 1U : 0U;
        wrong["doubled"] += count > 1 && row.target != Target::Repeatable ? 1U : 0U;
    }
    for (const auto& [fault, count] : wrong) {
        BOOST_TEST(count == 0U, fault << ": " << count << " of " << seen.size());
    }
}

/** Guards against work that a daemon resumes after its pause although its ticket is not its own. */
BOOST_DATA_TEST_CASE(resumes_after_a_pause, boost::unit_test::data::make(test::examples), example)
{
    const auto site = test::startSite(example, 2);
    BOOST_REQUIRE(site);
    const auto ticket = test::ticketOf(*site, 0);
    const auto sendTo = [&](std::size_t daemon) {
        return launch::send({ site->addresses(daemon).callers, "POST", example.ticketed,
            { { "Wasabiroad-Request-Id", "paused" }, { "Wasabiroad-Ticket", ticket } }, "0" });
    };
    site->daemon(0).signal(SIGSTOP);
    const auto refused = sendTo(1);
    site->daemon(0).signal(SIGCONT);
    BOOST_REQUIRE(refused);
    BOOST_TEST((*refused)["Wasabiroad-Code"] == "316");
    BOOST_TEST((*refused)["Wasabiroad-Outcome"] == "not-run");
    const auto answered = sendTo(0);
    BOOST_REQUIRE(answered);
    BOOST_TEST(answered->result_int() == 200U);
    BOOST_TEST(test::runsOf(*site)["paused"] == 1U);
}

/** Guards against queued requests that stay without an answer when the daemon stops. */
BOOST_DATA_TEST_CASE(refuses_queued_requests_at_a_stop, boost::unit_test::data::make(test::examples), example)
{
    auto document = boost::json::parse(test::manifestOf(example));
    for (auto& vm : document.as_object()["vms"].as_array()) {
        vm.as_object()["slots"] = 1;
    }
    const auto site = test::startSite(example, 1, "{}", boost::json::serialize(document));
    BOOST_REQUIRE(site);
    std::vector<std::thread> callers;
    std::mutex mutex;
    std::map<std::string, std::string> codes;
    constexpr int count = 40;
    for (int index = 0; index < count; ++index) {
        callers.emplace_back([&, id = "stop-" + std::to_string(index)] {
            const auto response = launch::send({ site->addresses(0).callers, "POST", example.repeatable,
                { { "Wasabiroad-Request-Id", id } }, "1500" });
            const std::lock_guard lock { mutex };
            codes[id] = response ? std::string { (*response)["Wasabiroad-Code"] } : "broken";
        });
    }
    BOOST_TEST(site->daemon(0).waitForLine("event=placement ", { 30000 }).has_value());
    BOOST_TEST((site->stopDaemon(0) == 0));
    for (auto& caller : callers) {
        caller.join();
    }
    auto runs = test::runsOf(*site);
    for (const auto& [id, code] : codes) {
        BOOST_TEST((code.empty() || code == "313"), id << " " << code);
        BOOST_TEST(runs[id] == (code.empty() ? 1U : 0U));
    }
}

} // namespace
