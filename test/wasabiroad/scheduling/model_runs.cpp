#include "wasabiroad/scheduling/model.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

const std::vector<Faults> rows {
    { .title = "no faults" },
    { .title = "lost calls and answers", .lostCalls = 30, .lostAnswers = 30 },
    { .title = "late orders", .lateOrders = 50 },
    { .title = "crashes", .lostAnswers = 10, .crashes = 2 },
    { .title = "network partitions", .partitions = 2 },
    { .title = "owners change", .lostAnswers = 10, .ownerChanges = 4 },
    { .title = "previous owners stay active", .ownerChanges = 4, .previousOwnersStayActive = true },
    { .title = "owners change during network partitions",
        .ownerChanges = 4,
        .previousOwnersStayActive = true,
        .partitions = 2 },
    { .title = "late orders and owners change",
        .lateOrders = 30,
        .ownerChanges = 3,
        .previousOwnersStayActive = true },
    { .title = "owners change while upstreams crash",
        .crashes = 2,
        .ownerChanges = 4,
        .previousOwnersStayActive = true },
    { .title = "owners change and lists of ends are truncated",
        .lostCalls = 20,
        .ownerChanges = 4,
        .previousOwnersStayActive = true,
        .endsPerList = 2 },
    { .title = "orders are dropped", .droppedOrders = 30 },
    { .title = "stops are rejected", .lostCalls = 20, .lateOrders = 30, .rejectedStops = 300 },
    { .title = "runs vanish", .vanishedRuns = 5 },
    { .title = "drains come and go", .lostAnswers = 10, .drains = 4, .shutdowns = 2 },
    { .title = "upstreams leave and return", .crashes = 2, .departures = 4 },
    { .title = "the owner pauses", .lostAnswers = 10, .pauses = 4, .holds = 4 },
    { .title = "upstreams restart unnoticed", .unnoticedRestarts = 2 },
    { .title = "upstreams restart unnoticed, and owners change",
        .lostAnswers = 10,
        .ownerChanges = 3,
        .previousOwnersStayActive = true,
        .partitions = 1,
        .unnoticedRestarts = 2 },
    { .title = "all faults but late orders",
        .lostCalls = 5,
        .lostAnswers = 5,
        .crashes = 1,
        .ownerChanges = 1,
        .previousOwnersStayActive = true,
        .partitions = 1,
        .droppedOrders = 5,
        .rejectedStops = 50,
        .vanishedRuns = 2,
        .drains = 1,
        .shutdowns = 1,
        .departures = 1,
        .pauses = 1,
        .unnoticedRestarts = 1,
        .holds = 1 },
};

/** Random event sequences per row, set in CMakeLists.txt; the rows make more than 10,000 without
 * sanitizers, which are slower. */
constexpr std::uint64_t seeds = MODEL_SEEDS;

/** Minimum number of completed jobs per run, or a tenth of it with crashes or owner changes, which delay
 * jobs; guards against a model that makes no progress. */
constexpr std::uint64_t completedJobsPerRun = 10;

/** Guards against event sequences in which the scheduler violates an invariant, such as one run per task, or
 * after which a task that could run does not. */
BOOST_DATA_TEST_CASE(invariants_hold_under_random_faults, data::make(rows), faults)
{
    std::uint64_t starts = 0;
    std::uint64_t completed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Model model { seed, faults };
        const auto violation = model.run();
        BOOST_TEST_REQUIRE(!violation.has_value(), "seed " << seed << ": " << violation.value_or(""));
        starts += model.startCount();
        completed += model.completedJobs();
    }
    BOOST_TEST_MESSAGE(faults.title << ": " << starts << " starts, " << completed << " jobs completed");
    BOOST_TEST(completed > seeds * completedJobsPerRun / (faults.ownerChanges + faults.crashes > 0 ? 10 : 1));
}

/** Guards against a start that the next incarnation of an upstream carries out after the owner has given up
 * its run on the former one. */
BOOST_AUTO_TEST_CASE(invariants_hold_if_a_later_incarnation_carries_out_orders)
{
    const Faults faults {
        .title = "late orders and unnoticed restarts", .lateOrders = 30, .unnoticedRestarts = 2
    };
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto violation = Model { seed, faults }.run();
        BOOST_TEST_REQUIRE(!violation.has_value(), "seed " << seed << ": " << violation.value_or(""));
    }
}

} // namespace

} // namespace wasabiroad::scheduling::test
