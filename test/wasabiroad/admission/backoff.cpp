#include "wasabiroad/admission/backoff.hpp"

#include <algorithm>
#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad::admission;

struct Row {
    const char* const failure;
    const std::int64_t least;
    const std::int64_t most;
    std::int64_t (*const delay)(std::uint64_t draw);
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.failure; }

const std::vector<Row> rows {
    { "the first delay is too long", 2, 6, [](auto draw) { return retryDelay(1, draw).milliseconds; } },
    { "the delay does not double", 8, 24, [](auto draw) { return retryDelay(3, draw).milliseconds; } },
    { "the delay has no bound", 500, 1500, [](auto draw) { return retryDelay(60, draw).milliseconds; } },
    { "callers may try again at once", 50, 150, [](auto draw) { return retryAfter(0, draw).milliseconds; } },
    { "the wait is ignored", 1000, 3000, [](auto draw) { return retryAfter(2000, draw).milliseconds; } },
    { "the time until callers may try again has no bound", 15000, 45000,
        [](auto draw) { return retryAfter(1e12, draw).milliseconds; } },
};

BOOST_DATA_TEST_CASE(jitter, boost::unit_test::data::make(rows), row)
{
    std::int64_t least = INT64_MAX;
    std::int64_t most = 0;
    for (std::uint64_t draw = 0; draw < 100'000; ++draw) {
        least = std::min(least, row.delay(draw));
        most = std::max(most, row.delay(draw));
    }
    BOOST_TEST(least == row.least);
    BOOST_TEST(most == row.most);
}

} // namespace
