#include "wasabiroad/launch/site.hpp"

#include "wasabiroad/example.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

struct Row {
    const std::string example;
    const std::string zone;
    const std::string target;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.example; }

const std::array rows {
    Row { "hallbach.json", "by-1", "/services/pour-sheet/check" },
    Row { "accord-labs.json", "nw-1", "/services/slot-finder/find" },
};

using test::example;

/** Guards against a path from manifest to answer that breaks anywhere, and against a stop that hangs. */
BOOST_DATA_TEST_CASE(serves_a_request_from_end_to_end, boost::unit_test::data::make(rows), row)
{
    const auto site = launch::Site::start({ example(row.example), { { "entry-a", row.zone } } });
    BOOST_REQUIRE(site);
    const auto applied = (*site)->apply();
    BOOST_REQUIRE(applied);
    const auto response = launch::send({ .address = (*site)->addresses(0).callers,
        .method = "POST",
        .target = row.target,
        .headers = { { "Wasabiroad-Request-Id", "request-1" } },
        .body = "5 payload" });
    BOOST_REQUIRE(response);
    BOOST_TEST(response->result_int() == 200U);
    BOOST_TEST(response->body() == "request-1\n5 payload");
    const auto exit = (*site)->stopDaemon(0);
    BOOST_REQUIRE(exit);
    BOOST_TEST(*exit == 0);
}

} // namespace
