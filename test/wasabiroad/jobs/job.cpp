#include "wasabiroad/jobs/job.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::jobs {

namespace {

namespace data = boost::unit_test::data;

struct ChainRow {
    const char* title;
    const std::vector<Step> steps;
    const std::int64_t longest;

    friend std::ostream& operator<<(std::ostream& out, const ChainRow& row) { return out << row.title; }
};

Step step(std::int64_t estimate, std::vector<std::uint32_t> after = {})
{
    return { .estimate = { estimate }, .after = std::move(after) };
}

const std::vector<ChainRow> chains {
    { "one step", { step(100) }, 100 },
    { "independent steps", { step(100), step(300) }, 300 },
    { "a chain", { step(100), step(300, { 0 }), step(50, { 1 }) }, 450 },
    { "a diamond", { step(100), step(300, { 0 }), step(20, { 0 }), step(50, { 1, 2 }) }, 450 },
};

/** Guards against deadlines that leave out a part of the longest chain of steps. */
BOOST_DATA_TEST_CASE(chain_follows_the_slowest_dependencies, data::make(chains), row)
{
    BOOST_TEST(longestChain(row.steps).milliseconds == row.longest);
}

struct StateRow {
    const JobState state;
    const char* name;
    const bool final;

    friend std::ostream& operator<<(std::ostream& out, const StateRow& row) { return out << row.name; }
};

const std::vector<StateRow> states {
    { JobState::Pending, "pending", false },
    { JobState::Running, "running", false },
    { JobState::Completed, "completed", true },
    { JobState::Failed, "failed", true },
    { JobState::Cancelled, "cancelled", true },
};

/** Guards against a state that counts as final by mistake, or is logged under the wrong name. */
BOOST_DATA_TEST_CASE(state_has_its_name_and_finality, data::make(states), row)
{
    BOOST_TEST(name(row.state) == row.name);
    BOOST_TEST(isFinal(row.state) == row.final);
}

/** Guards against two tasks with the same text in logs. */
BOOST_AUTO_TEST_CASE(task_is_named_by_job_and_position)
{
    BOOST_TEST(toText({ JobId { "5c0e" }, { 1, 2, 30 } }) == "5c0e.1.2.30");
}

} // namespace

} // namespace wasabiroad::jobs
