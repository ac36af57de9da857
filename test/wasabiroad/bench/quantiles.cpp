#include "wasabiroad/bench/quantiles.hpp"

#include <array>
#include <numeric>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

struct Row {
    const std::size_t count;
    const double probability;
    const double expected;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << row.count << " values, " << row.probability;
}

const std::array rows {
    Row { 0, 0.99, 0 },
    Row { 1, 0.5, 1 },
    Row { 1, 0.99, 1 },
    Row { 2, 0.5, 2 },
    Row { 3, 0.99, 3 },
    Row { 1000, 0.5, 500 },
    Row { 1000, 0.99, 990 },
    Row { 100000, 0.999, 99900 },
};

/** Guards against approximate quantiles, which hide a difference between two policies. */
BOOST_DATA_TEST_CASE(quantiles_are_exact, boost::unit_test::data::make(rows), row)
{
    std::vector<double> values(row.count);
    std::iota(values.begin(), values.end(), 1);
    const wasabiroad::bench::Quantiles quantiles { values };
    BOOST_TEST(std::abs(quantiles.at(row.probability) - row.expected) <= 1);
}

} // namespace
