#include "wasabiroad/bench/load.hpp"
#include "wasabiroad/launch/site.hpp"

#include "wasabiroad/example.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

/** A load on a site with a behaviour of some of its upstreams. */
struct Row {
    const std::string example;
    const std::string zone;
    /** Query of the admin listener of the upstreams. */
    const std::string behaviour;
    const std::uint64_t seed;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << row.example << " with " << row.behaviour << ", seed " << row.seed;
}

const std::array rows {
    Row { "hallbach.json", "by-1", "kind=healthy", 1 },
    Row { "hallbach.json", "by-1", "kind=kill-after&percent=10&vm=vm-by-1-01", 2 },
    Row { "hallbach.json", "by-1", "kind=kill-before&percent=20", 3 },
    Row { "accord-labs.json", "nw-1", "kind=kill-after&percent=5", 4 },
    Row { "accord-labs.json", "nw-1", "kind=fail-fast&vm=vm-nw-1-01", 5 },
};

using test::example;

/** Guards against lost, doubled and mixed-up requests and false not-run answers while upstreams fail. */
BOOST_DATA_TEST_CASE(keeps_its_promises_under_faults, boost::unit_test::data::make(rows), row)
{
    const auto site
        = launch::Site::start({ example(row.example), { { "entry-a", row.zone }, { "entry-b", row.zone } } });
    BOOST_REQUIRE(site);
    BOOST_REQUIRE((*site)->apply());
    const auto set
        = launch::send({ .address = (*site)->upstreamsAdmin(), .target = "/behaviour?" + row.behaviour });
    BOOST_REQUIRE(set);
    BOOST_TEST(set->result_int() == 200U);
    const auto observed = bench::observe(bench::targetOf(**site),
        { .rate = 300,
            .length = { 2000 },
            .seed = row.seed,
            .burstLength = { 500 },
            .longFactor = 10,
            .nonIdempotent = true });
    BOOST_REQUIRE(observed);
    BOOST_TEST(observed->summary.answered > 0U);
    BOOST_TEST(observed->summary.lost == 0U);
    BOOST_TEST(observed->summary.doubled == 0U);
    BOOST_TEST(observed->summary.mixedUp == 0U);
    BOOST_TEST(observed->summary.falseNotRun == 0U);
}

} // namespace
