#include "wasabiroad/scheduling/arrivals.hpp"

#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling {

namespace {

namespace data = boost::unit_test::data;

/** Jobs with equal work that arrive at a constant interval, and the rate measured some time after the last.
 */
struct Row {
    const char* title;
    const std::int64_t jobs;
    const std::int64_t intervalMs;
    /** @brief Millicores times milliseconds. */
    const std::int64_t work;
    const std::int64_t afterMs;
    const std::int64_t least;
    const std::int64_t most;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "no jobs", 0, 0, 0, 0, 0, 0 },
    { "a single job gives no rate", 1, 0, 300000, 0, 0, 0 },
    { "a steady stream is measured correctly", 100, 50, 1000000, 0, 18000, 22000 },
    { "a burst is detected after its first jobs", 8, 25, 1000000, 0, 20000, 40000 },
    { "a stream of 100 jobs per second is measured correctly", 300, 10, 1000000, 0, 90000, 110000 },
    { "jobs that arrive in the same millisecond count", 300, 0, 1000, 0, 900, 1000 },
    { "the rate of a fast stream falls when it ends", 300, 10, 1000000, 1600, 10000, 25000 },
    { "the rate falls when no jobs arrive", 100, 50, 1000000, 1600, 1000, 5000 },
    { "old jobs do not count", 100, 50, 1000000, 2500, 0, 0 },
};

/** Guards against sizing a pool by its queue, which grows only long after a burst has begun. */
BOOST_DATA_TEST_CASE(rate_follows_the_arrivals, data::make(rows), row)
{
    ArrivalRate rate;
    for (std::int64_t index = 0; index < row.jobs; ++index) {
        rate.add(row.work, { index * row.intervalMs });
    }
    const auto seen = rate.cpu({ std::max<std::int64_t>(row.jobs - 1, 0) * row.intervalMs + row.afterMs });
    BOOST_TEST(seen >= row.least);
    BOOST_TEST(seen <= row.most);
}

} // namespace

} // namespace wasabiroad::scheduling
