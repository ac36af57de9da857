#include "wasabiroad/agent/upstream_clock.hpp"

#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

const ClockReading reading { { 1 }, { 50000 }, { 1000 } };

/** An answer to a call, and whether it comes from a later incarnation than the reading. */
struct Row {
    const char* title;
    const std::int64_t sent;
    const std::int64_t clock;
    const bool restarted;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "the same incarnation", 3000, 52001, false },
    { "its answer was held up", 3000, 59000, false },
    { "its clock is 2 % slow", 3000, 51960, false },
    { "the call was sent before the reading arrived", 900, 50000, false },
    { "the next incarnation", 3000, 400, true },
    { "the next incarnation, and the former one had lived for 2 s", 3000, 50000, true },
    { "the next incarnation, and the former one had lived for less than the error of a clock", 3000, 51990,
        false },
};

/** Guards against leases on the clock of an earlier incarnation that the owner does not notice. */
BOOST_DATA_TEST_CASE(answer_of_a_later_incarnation_is_recognized, data::make(rows), row)
{
    BOOST_TEST(isRestarted(reading, { row.clock }, { row.sent }) == row.restarted);
}

BOOST_AUTO_TEST_CASE(lease_ends_on_the_clock_of_the_upstream)
{
    BOOST_TEST((leaseEnd(reading, { 4000 }, { 3000 }) == ports::UpstreamTime { 56000 }));
}

} // namespace

} // namespace wasabiroad::agent::test
