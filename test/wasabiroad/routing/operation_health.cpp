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
    const bool blamed;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.failure; }

const std::vector<Row> rows {
    { "one upstream is enough to blame the operation", { 1, 1, 1, 1 }, false },
    { "two upstreams are enough to blame the operation", { 1, 2, 1, 2 }, false },
    { "three upstreams do not suffice", { 1, 2, 3 }, true },
    { "a success elsewhere is ignored", { 1, 2, 0, 3 }, false },
};

BOOST_DATA_TEST_CASE(blame, boost::unit_test::data::make(rows), row)
{
    routing::OperationHealth health;
    bool blamed = false;
    for (const auto upstream : row.outcomes) {
        if (upstream == 0) {
            health.succeeded();
        } else {
            blamed = health.failed(upstream, { 1000 });
        }
    }
    BOOST_TEST(blamed == row.blamed);
}

} // namespace
