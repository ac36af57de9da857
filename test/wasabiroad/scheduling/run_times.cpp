#include "wasabiroad/scheduling/run_times.hpp"

#include <cmath>
#include <ostream>
#include <random>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling {

namespace {

namespace data = boost::unit_test::data;

const jobs::QueueId queue { "queue" };

/** Steps of a queue with the quality of their estimates, and the allowed error of the prediction. */
struct Row {
    const char* title;
    const std::size_t steps;
    /** @brief Standard deviation of the logarithm of the run time. */
    const double spread;
    /** @brief Standard deviation of the logarithm of estimate over run time. */
    const double error;
    /** @brief Factor on all estimates. */
    const double bias;
    /** @brief Maximum root mean square of the logarithm of expected over actual run time. */
    const double allowed;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "good estimates are kept", 60, 0.6, 0.1, 1.0, 0.25 },
    { "poor estimates are replaced by the mean run time", 60, 0.5, 0.9, 1.0, 0.6 },
    { "estimates that are all too low are corrected", 60, 0.6, 0.1, 0.3, 0.3 },
    { "estimates that are all too high are corrected", 60, 0.6, 0.1, 5.0, 0.3 },
};

/** Guards against due times and pool sizes based on estimates that are off by a factor of ten. */
BOOST_DATA_TEST_CASE(run_times_are_learned, data::make(rows), row)
{
    constexpr double usual = 700;
    constexpr std::size_t samples = 200;
    std::mt19937_64 random { 4711 };
    std::normal_distribution<double> normal;
    const auto draw = [&] {
        const auto actual = usual * std::exp(row.spread * normal(random));
        const auto declared = actual * row.bias * std::exp(row.error * normal(random));
        return std::pair { kernel::Duration { std::llround(declared) },
            kernel::Duration { std::llround(actual) } };
    };
    RunTimes times;
    for (std::size_t step = 0; step < row.steps; ++step) {
        const auto [declared, actual] = draw();
        times.observe(queue, declared, actual);
    }
    double squares = 0;
    for (std::size_t sample = 0; sample < samples; ++sample) {
        const auto [declared, actual] = draw();
        const auto expected = times.expected(queue, declared);
        const auto off = std::log(static_cast<double>(expected.milliseconds)
            / static_cast<double>(std::max<std::int64_t>(actual.milliseconds, 1)));
        squares += off * off;
    }
    BOOST_TEST(std::sqrt(squares / samples) < row.allowed);
}

/** Guards against a first job of a queue that determines the expected run time of all later ones. */
BOOST_AUTO_TEST_CASE(estimates_are_used_until_enough_steps_are_done)
{
    RunTimes times;
    BOOST_TEST(times.expected(queue, { 500 }).milliseconds == 500);
    times.observe(queue, { 500 }, { 5000 });
    BOOST_TEST(times.expected(queue, { 300 }).milliseconds == 300);
}

} // namespace

} // namespace wasabiroad::scheduling
