#include "wasabiroad/bench/arrivals.hpp"

#include "wasabiroad/manifest/read.hpp"

#include "wasabiroad/example.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

struct Row {
    const std::string example;
    const bench::LoadProfile profile;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << row.example << " with seed " << row.profile.seed;
}

const std::array rows {
    Row { "hallbach.json", { .rate = 2000, .length = { 30000 }, .seed = 1, .nonIdempotent = false } },
    Row { "hallbach.json", { .rate = 2000, .length = { 30000 }, .seed = 2 } },
    Row { "accord-labs.json", { .rate = 2000, .length = { 30000 }, .seed = 3, .longPercent = 20 } },
};

std::vector<bench::Arrival> draw(const Row& row)
{
    bench::ArrivalSequence sequence { *manifest::read(test::example(row.example)), row.profile };
    std::vector<bench::Arrival> arrivals;
    while (auto arrival = sequence.next()) {
        arrivals.emplace_back(*arrival);
    }
    return arrivals;
}

/** Guards against a load that is not the declared one: its rate, its bursts, its long work, its seed. */
BOOST_DATA_TEST_CASE(draws_the_declared_load, boost::unit_test::data::make(rows), row)
{
    const auto arrivals = draw(row);
    BOOST_TEST((arrivals == draw(row)));
    const auto total = static_cast<double>(arrivals.size());
    BOOST_TEST(total == 60000, boost::test_tools::tolerance(0.03));

    std::map<std::string, double> firstBurst;
    double longWork = 0;
    double nonIdempotent = 0;
    for (const auto& arrival : arrivals) {
        longWork += arrival.isLong ? 1 : 0;
        nonIdempotent += arrival.idempotent ? 0 : 1;
        if (arrival.at < 3000000) {
            ++firstBurst[arrival.service];
        }
    }
    BOOST_TEST(longWork / total * 100 == row.profile.longPercent, boost::test_tools::tolerance(0.1));
    BOOST_TEST((nonIdempotent > 0) == row.profile.nonIdempotent);
    const auto [quiet, burst]
        = std::ranges::minmax_element(firstBurst, {}, &decltype(firstBurst)::value_type::second);
    BOOST_TEST(burst->second > 60 * quiet->second);
}

} // namespace
