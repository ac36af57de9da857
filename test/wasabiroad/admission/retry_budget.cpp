#include "wasabiroad/admission/retry_budget.hpp"

#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

struct Row {
    const char* const failure;
    const int requests;
    const std::uint32_t percent;
    const std::int64_t secondsLater;
    const int allowed;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.failure; }

const std::vector<Row> rows {
    { "the percentage is ignored", 1000, 10, 0, 100 },
    { "a service with few requests gets no retry", 1, 10, 0, 5 },
    { "requests of the last seconds do not count", 1000, 10, 9, 100 },
    { "requests older than ten seconds count", 1000, 10, 10, 5 },
};

BOOST_DATA_TEST_CASE(budget, boost::unit_test::data::make(rows), row)
{
    wasabiroad::admission::RetryBudget budget;
    for (int request = 0; request < row.requests; ++request) {
        budget.countRequest({ 5'000'000 });
    }
    int taken = 0;
    for (int attempt = 0; attempt < 2000; ++attempt) {
        taken += budget.tryTakeRetry({ 5'000'000 + row.secondsLater * 1000 }, row.percent) ? 1 : 0;
    }
    BOOST_TEST(taken == row.allowed);
}

} // namespace
