#include "wasabiroad/routing/run_time.hpp"

#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

struct EstimateRow {
    const char* const failure;
    const std::vector<std::int64_t> observed;
    const std::int64_t declared;
    const double estimate;
};

std::ostream& operator<<(std::ostream& stream, const EstimateRow& row) { return stream << row.failure; }

const std::vector<EstimateRow> estimateRows {
    { "the declared time is ignored before the first observation", {}, 700, 700 },
    { "the declared time still counts after an observation", { 20 }, 700, 20 },
    { "the estimate is not the mean", { 10, 20, 30 }, 700, 20 },
    { "a run below the clock's resolution counts as 0 ms", { 0 }, 700, 0.5 },
};

BOOST_DATA_TEST_CASE(estimates, boost::unit_test::data::make(estimateRows), row)
{
    routing::RunTime runTime;
    for (const auto ran : row.observed) {
        runTime.observe({ ran });
    }
    BOOST_TEST(runTime.estimate({ row.declared }) == row.estimate, boost::test_tools::tolerance(1e-9));
}

struct BaselineRow {
    const char* const failure;
    const std::int64_t declared;
    const int shortRuns;
    const int longRuns;
    const bool shortIsLong;
    const bool longIsLong;
};

std::ostream& operator<<(std::ostream& stream, const BaselineRow& row) { return stream << row.failure; }

const std::vector<BaselineRow> baselineRows {
    { "a share of 5 % long work raises the threshold above its run time", 100, 190, 10, false, true },
    { "a share of 50 % long work raises the threshold above its run time", 100, 100, 100, false, true },
    { "a wrong declared time still counts after observations", 1'000'000, 20, 1, false, true },
    { "work of a service with uniform run times counts as long", 20, 0, 200, false, false },
};

BOOST_DATA_TEST_CASE(baselines, boost::unit_test::data::make(baselineRows), row)
{
    routing::RunTimeBaseline baseline;
    baseline.declare({ row.declared });
    for (int run = 0; run < row.shortRuns || run < row.longRuns; ++run) {
        if (run < row.shortRuns) {
            baseline.observe({ 20 });
        }
        if (run < row.longRuns) {
            baseline.observe({ 1000 });
        }
    }
    BOOST_TEST((20 > baseline.longThreshold()) == row.shortIsLong);
    BOOST_TEST((1000 > baseline.longThreshold()) == row.longIsLong);
}

} // namespace
