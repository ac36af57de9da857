#include "wasabiroad/scheduling/model.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

const std::vector<Faults> rows {
    { .title = "calm" },
    { .title = "lost calls and answers", .lostCalls = 30, .lostAnswers = 30 },
    { .title = "late orders", .lateOrders = 50 },
    { .title = "crashes", .lostAnswers = 10, .crashes = 2 },
    { .title = "cuts", .partitions = 2 },
    { .title = "owners change", .lostAnswers = 10, .ownerChanges = 4 },
    { .title = "former owners act on", .ownerChanges = 4, .formerOwnersStayActive = true },
    { .title = "owners change while upstreams are cut off",
        .ownerChanges = 4,
        .formerOwnersStayActive = true,
        .partitions = 2 },
    { .title = "late orders and owners change",
        .lateOrders = 30,
        .ownerChanges = 3,
        .formerOwnersStayActive = true },
    { .title = "owners change while upstreams crash",
        .crashes = 2,
        .ownerChanges = 4,
        .formerOwnersStayActive = true },
};

/** Sequences of random events for each kind of fault; ten kinds make more than 10,000 without sanitizers. */
constexpr std::uint64_t seeds = MODEL_SEEDS;

/** Jobs that a calm run ends at least: it guards against a model in which nothing happens. */
constexpr std::uint64_t endedJobsOfCalmRuns = 10;

/** Guards against broken promises of the scheduler in any order of events. */
BOOST_DATA_TEST_CASE(promises_hold_under_random_faults, data::make(rows), faults)
{
    std::uint64_t starts = 0;
    std::uint64_t ended = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Model model { seed, faults };
        const auto violation = model.run();
        BOOST_TEST_REQUIRE(!violation.has_value(), "seed " << seed << ": " << violation.value_or(""));
        starts += model.startCount();
        ended += model.doneJobs();
    }
    BOOST_TEST_MESSAGE(faults.title << ": " << starts << " starts, " << ended << " jobs completed");
    BOOST_TEST(ended > seeds * endedJobsOfCalmRuns / (faults.ownerChanges + faults.crashes > 0 ? 10 : 1));
}

} // namespace

} // namespace wasabiroad::scheduling::test
