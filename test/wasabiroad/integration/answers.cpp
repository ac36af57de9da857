#include "wasabiroad/integration/traffic_site.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

enum class Target { Repeatable, Ticketed, Claimed, Other };

/** A request, the answer of the system to it, and how often upstreams may run it. */
struct Row {
    const std::string name;
    const Target target;
    const std::string body;
    const std::map<std::string, std::string> headers;
    const unsigned status;
    const std::string code;
    const std::string outcome;
    const std::size_t leastRuns { 0 };
    const std::size_t mostRuns { 0 };
    const std::string path {};
    const std::string method { "POST" };
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.name; }

using Headers = std::map<std::string, std::string>;

const Headers shortDeadline { { "Wasabiroad-Deadline-Ms", "300" } };
const Headers tightened { { "Wasabiroad-Idempotent", "false" } };
const std::string tooLarge(1048577, 'x');

const std::array rows {
    Row { "whole answer", Target::Repeatable, "0 a", {}, 200, "", "", 1, 1 },
    Row { "ticketed answer", Target::Ticketed, "0 a", {}, 200, "", "", 1, 1 },
    Row { "claimed answer", Target::Claimed, "0 a", {}, 200, "", "", 1, 1 },
    Row { "chunked answer", Target::Ticketed, "0 fault=chunked", {}, 200, "", "", 1, 1 },
    Row { "large answer", Target::Ticketed, "0 " + std::string(500000, 'x'), {}, 200, "", "", 1, 1 },
    Row { "large chunked answer", Target::Ticketed, "0 fault=chunked " + std::string(500000, 'x'), {}, 200,
        "", "", 1, 1 },
    Row { "unknown service", Target::Other, "0", {}, 404, "301", "not-run", 0, 0, "/services/none/check" },
    Row { "unknown team", Target::Repeatable, "0", { { "Wasabiroad-Team", "none" } }, 400, "303", "not-run" },
    Row { "malformed deadline", Target::Repeatable, "0", { { "Wasabiroad-Deadline-Ms", "-1" } }, 400, "304",
        "not-run" },
    Row { "body too large", Target::Repeatable, tooLarge, {}, 413, "305", "not-run" },
    Row { "refused by all", Target::Repeatable, "0 fault=refuse", {}, 503, "309", "not-run" },
    Row { "ticketed, refused by all", Target::Ticketed, "0 fault=refuse", {}, 503, "309", "not-run" },
    Row { "refused without proof", Target::Ticketed, "0 fault=refuse-unproven", {}, 503, "", "", 1, 1 },
    Row { "failed by upstream", Target::Ticketed, "0 fault=fail", {}, 500, "", "", 1, 1 },
    Row { "upstream contradicts", Target::Ticketed, "0 fault=contradict", {}, 200, "", "", 1, 1 },
    Row { "truncated", Target::Repeatable, "0 fault=truncate", {}, 502, "312", "unknown", 1, 8 },
    Row { "ticketed, truncated", Target::Ticketed, "0 fault=truncate", {}, 502, "312", "unknown", 1, 1 },
    Row { "claimed, truncated", Target::Claimed, "0 fault=truncate", {}, 502, "312", "unknown", 1, 1 },
    Row { "without a length", Target::Ticketed, "0 fault=no-length", {}, 502, "312", "unknown", 1, 1 },
    Row { "foreign", Target::Ticketed, "0 fault=foreign", {}, 502, "312", "unknown", 1, 1 },
    Row { "foreign, repeatable", Target::Repeatable, "0 fault=foreign", {}, 502, "312", "unknown", 1, 8 },
    Row { "without an attempt", Target::Ticketed, "0 fault=no-attempt", {}, 502, "312", "unknown", 1, 1 },
    Row { "late", Target::Repeatable, "20000", shortDeadline, 504, "308", "unknown", 1, 1 },
    Row { "ticketed, late", Target::Ticketed, "20000", shortDeadline, 502, "312", "unknown", 1, 1 },
    Row { "tightened without ticket", Target::Repeatable, "0", tightened, 428, "315", "not-run" },
    Row { "forged ticket", Target::Ticketed, "0", { { "Wasabiroad-Ticket", "entry-0.1.1.0" } }, 400, "316",
        "not-run" },
    Row { "method", Target::Repeatable, "", {}, 405, "321", "not-run", 0, 0, "", "PUT" },
    Row { "ticket method", Target::Other, "", {}, 405, "321", "not-run", 0, 0, "/tickets", "PUT" },
};

launch::Site* sharedSite(const test::Example& example)
{
    static std::map<std::string, std::unique_ptr<launch::Site>> sites;
    auto& site = sites[example.file];
    if (!site) {
        site = test::startSite(example);
    }
    return site.get();
}

std::string pathOf(const test::Example& example, const Row& row)
{
    switch (row.target) {
    case Target::Repeatable:
        return example.repeatable;
    case Target::Ticketed:
        return example.ticketed;
    case Target::Claimed:
        return example.claimed;
    case Target::Other:
        break;
    }
    return row.path;
}

/** Guards against false outcomes, second runs and spoiled answers that are passed on as whole. */
BOOST_DATA_TEST_CASE(answers_tell_what_ran,
    boost::unit_test::data::make(test::examples) * boost::unit_test::data::make(rows), example, row)
{
    auto* const site = sharedSite(example);
    BOOST_REQUIRE(site);
    const auto request = "answers-" + std::to_string(std::hash<std::string> {}(row.name));
    auto headers = row.headers;
    headers.emplace("Wasabiroad-Request-Id", request);
    if (row.target == Target::Ticketed) {
        headers.emplace("Wasabiroad-Ticket", test::ticketOf(*site, 0));
    }
    const auto response
        = launch::send({ site->addresses(0).callers, row.method, pathOf(example, row), headers, row.body });
    BOOST_REQUIRE(response);
    BOOST_TEST(response->result_int() == row.status);
    BOOST_TEST((*response)["Wasabiroad-Code"] == row.code);
    BOOST_TEST((*response)["Wasabiroad-Outcome"] == row.outcome);
    if (row.status == 200) {
        BOOST_TEST(response->body() == request + "\n" + row.body);
    }
    auto runs = test::runsOf(*site);
    BOOST_TEST(runs[request] >= row.leastRuns);
    BOOST_TEST(runs[request] <= row.mostRuns);
}

/** Guards against the end of a broken answer that looks like the end of a whole one. */
BOOST_DATA_TEST_CASE(closes_after_a_part_of_an_answer, boost::unit_test::data::make(test::examples), example)
{
    auto* const site = sharedSite(example);
    BOOST_REQUIRE(site);
    const auto response = launch::send({ site->addresses(0).callers, "POST", example.repeatable, {},
        "0 fault=truncate " + std::string(100000, 'x') });
    BOOST_TEST(!response);
}

/** Guards against requests that run, or hang, before a manifest is in force. */
BOOST_DATA_TEST_CASE(refuses_without_manifest, boost::unit_test::data::make(test::examples), example)
{
    const auto site = launch::Site::start({ test::manifestOf(example), { { "entry-0", example.zone } } });
    BOOST_REQUIRE(site);
    const auto response
        = launch::send({ (*site)->addresses(0).callers, "POST", example.repeatable, {}, "0" });
    BOOST_REQUIRE(response);
    BOOST_TEST((*response)["Wasabiroad-Code"] == "320");
    BOOST_TEST((*response)["Wasabiroad-Outcome"] == "not-run");
}

} // namespace
