#include "wasabiroad/routing/operation_health.hpp"

#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

struct Row {
    const char* const failure;
    /** @brief Upstreams of failures in order; 0 stands for a success. */
    const std::vector<std::uint32_t> outcomes;
    const bool attributedToOperation;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.failure; }

const std::vector<Row> rows {
    { "failures on one upstream are attributed to the operation", { 1, 1, 1, 1 }, false },
    { "failures on two upstreams are attributed to the operation", { 1, 2, 1, 2 }, false },
    { "failures on three upstreams are not attributed to the operation", { 1, 2, 3 }, true },
    { "a success on another upstream is ignored", { 1, 2, 0, 3 }, false },
};

BOOST_DATA_TEST_CASE(attribution, boost::unit_test::data::make(rows), row)
{
    routing::OperationHealth health;
    bool attributedToOperation = false;
    for (const auto upstream : row.outcomes) {
        if (upstream == 0) {
            health.recordSuccess();
        } else {
            attributedToOperation = health.recordFailure(upstream, { 1000 });
        }
    }
    BOOST_TEST(attributedToOperation == row.attributedToOperation);
}

struct SuspensionRow {
    const char* const failure;
    /** @brief Instants of calls of `suspend`, in ms. */
    const std::vector<std::int64_t> suspendedAt;
    /** @brief Remaining time of the suspension in ms at the last of these instants. */
    const std::int64_t remaining;
};

std::ostream& operator<<(std::ostream& stream, const SuspensionRow& row) { return stream << row.failure; }

const std::vector<SuspensionRow> suspensionRows {
    { "the first suspension is too long", { 1000 }, 5000 },
    { "failures of attempts in flight lengthen a suspension", { 1000, 1001, 1002, 2000 }, 4000 },
    { "a failed probe does not lengthen the next suspension", { 1000, 6000 }, 10000 },
    { "suspensions have no bound", { 0, 100'000, 200'000, 300'000, 400'000, 500'000 }, 80000 },
};

BOOST_DATA_TEST_CASE(suspensions, boost::unit_test::data::make(suspensionRows), row)
{
    routing::OperationHealth health;
    for (const auto instant : row.suspendedAt) {
        health.suspend({ instant });
    }
    BOOST_TEST(health.remaining({ row.suspendedAt.back() }).milliseconds == row.remaining);
}

} // namespace
