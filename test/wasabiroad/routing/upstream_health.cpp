#include "wasabiroad/routing/upstream_health.hpp"

#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

struct Row {
    const char* const failure;
    /** @brief Events: `f` failure, `s` success, `p` end of the ejection, `w` three minutes pass. */
    const std::string outcomes;
    const routing::EjectionState ejectionState;
    /** @brief Length of the last ejection in ms. */
    const std::int64_t ejection;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.failure; }

const std::vector<Row> rows {
    { "single failures eject", "ffff", routing::EjectionState::Admitted, 0 },
    { "failures between successes eject", "ffffsffff", routing::EjectionState::Admitted, 0 },
    { "failures without a success do not eject", "fffff", routing::EjectionState::Ejected, 1000 },
    { "the end of an ejection admits all requests", "fffffp", routing::EjectionState::Probing, 1000 },
    { "a failed probe admits more requests", "fffffpf", routing::EjectionState::Ejected, 2000 },
    { "a successful probe does not readmit", "fffffps", routing::EjectionState::Admitted, 1000 },
    { "ejections do not grow after a short recovery", "fffffpsfffff", routing::EjectionState::Ejected, 2000 },
    { "ejections grow after a long recovery", "fffffpswsfffff", routing::EjectionState::Ejected, 1000 },
    { "ejections have no bound", "fffffpfpfpfpfpfpfpfpfpf", routing::EjectionState::Ejected, 60000 },
};

BOOST_DATA_TEST_CASE(ejections, boost::unit_test::data::make(rows), row)
{
    routing::UpstreamHealth health;
    std::int64_t now = 1000;
    std::int64_t ejection = 0;
    for (const auto outcome : row.outcomes) {
        if (outcome == 'f') {
            health.recordFailure();
            ejection = health.shouldEject() ? (health.eject({ now }) - kernel::Instant { now }).milliseconds
                                            : ejection;
        } else if (outcome == 's') {
            health.recordSuccess({ now });
        } else if (outcome == 'p') {
            health.allowProbe();
        } else {
            now += 180'000;
        }
    }
    BOOST_TEST((health.ejectionState() == row.ejectionState));
    BOOST_TEST(ejection == row.ejection);
}

} // namespace
