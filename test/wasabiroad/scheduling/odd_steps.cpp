#include "wasabiroad/scheduling/fixture.hpp"

#include <limits>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;
using jobs::JobState;

constexpr auto largestCount = std::numeric_limits<std::uint32_t>::max();

/** Time in s after which a scheduler that does not return counts as hanging, also with sanitizers and load.
 */
constexpr unsigned hangTimeout = 60;

/** Largest number of steps that one event may examine for the jobs of this test. */
constexpr std::uint64_t maxLooksPerEvent = 20000;

constexpr std::uint32_t manyOccurrences = 10000;
constexpr std::size_t manySteps = 1000;

jobs::Step makeGang(std::uint32_t count)
{
    return { .count = count, .resources = { 1000, 100, 0 }, .estimate = { 500 }, .gang = true };
}

/** @return The step, to be run after earlier ones. */
jobs::Step follow(const jobs::Step& step, std::vector<std::uint32_t> after)
{
    return { .count = step.count,
        .resources = step.resources,
        .estimate = step.estimate,
        .after = std::move(after),
        .gang = step.gang };
}

/** @brief A pool of three upstreams that complete each task in their next list. */
class Pool {
public:
    void add(const jobs::Job& job) { apply(JobAdded { job }); }

    /** @brief Completes the tasks that have started, until no more start. */
    void run()
    {
        std::size_t completed = 0;
        do {
            completed = this->ended;
            this->time += 100;
            for (const auto* const id : { "u1", "u2", "u3" }) {
                apply(TasksListed { UpstreamId { id }, { 1 }, { this->time }, {}, endsOn(id) });
            }
            apply(Tick {});
        } while (this->ended != completed);
        for (const auto& change : this->fixture.scheduler.takeChanges()) {
            this->states[change.job] = change.record.state;
        }
    }

    JobState stateOf(const std::string& job) const
    {
        const auto found = this->states.find(jobs::JobId { job });
        return found != this->states.end() ? found->second : JobState::Pending;
    }

    std::size_t startsOf(const std::string& job) const
    {
        return static_cast<std::size_t>(std::ranges::count(
            this->fixture.starts, job, [](const auto& start) { return start.task.job.text(); }));
    }

    PoolDemand demand() const { return this->fixture.scheduler.demand(at(this->time)); }

private:
    void apply(const Event& event)
    {
        const auto before = this->fixture.scheduler.effort().steps;
        this->fixture.apply(event, this->time);
        BOOST_TEST(this->fixture.scheduler.effort().steps - before <= maxLooksPerEvent);
    }

    std::vector<EndedTask> endsOn(const std::string& upstream)
    {
        std::vector<EndedTask> ends;
        for (auto& next = this->listed[upstream]; next < this->fixture.starts.size(); ++next) {
            const auto& start = this->fixture.starts[next];
            if (start.upstream.text() == upstream) {
                ends.push_back({ next + 1, start.task, start.run, EndKind::Done, "" });
                ++this->ended;
            }
        }
        return ends;
    }

    SchedulerFixture fixture { { makeUpstream("u1", 4000, "r1"), makeUpstream("u2", 4000, "r1"),
        makeUpstream("u3", 4000, "r2") } };
    std::map<jobs::JobId, JobState> states {};
    /** @brief Number of starts whose ends an upstream has listed, if they concern it. */
    std::map<std::string, std::size_t> listed {};
    std::size_t ended { 0 };
    std::int64_t time { 10 };
};

/** A job that the front end admits, and what becomes of it. */
struct OddJobRow {
    const char* title;
    const jobs::Job job;
    const JobState state;
    const std::size_t starts;

    friend std::ostream& operator<<(std::ostream& out, const OddJobRow& row) { return out << row.title; }
};

const std::vector<OddJobRow> oddJobs {
    { "gang without tasks", makeJob("odd", { makeGang(0) }), JobState::Completed, 0 },
    { "gang without tasks first", makeJob("odd", { makeGang(0), follow(makeStep(2), { 0 }) }),
        JobState::Completed, 2 },
    { "gang without tasks between others",
        makeJob("odd", { makeStep(2), follow(makeGang(0), { 0 }), follow(makeStep(14), { 1 }) }),
        JobState::Completed, 16 },
    { "gang without tasks last", makeJob("odd", { makeStep(2), follow(makeGang(0), { 0 }) }),
        JobState::Completed, 2 },
    { "gang without tasks on one rack, with a limit for each upstream",
        makeJob("odd",
            { { .count = 0, .gang = true, .sameRack = true, .dataRack = "r1", .maxPerUpstream = 1 },
                follow(makeStep(2), { 0 }) }),
        JobState::Completed, 2 },
    { "long-running gang without tasks",
        makeJob("odd", { { .count = 0, .gang = true, .longRunning = true }, makeStep(2) }),
        JobState::Completed, 2 },
    { "step without tasks", makeJob("odd", { makeStep(0) }), JobState::Completed, 0 },
    { "step without tasks between others",
        makeJob("odd", { makeStep(2), follow(makeStep(0), { 0 }), follow(makeStep(14), { 1 }) }),
        JobState::Completed, 16 },
    { "many occurrences of a gang without tasks",
        makePeriodicJob("odd", { makeGang(0), makeStep(0) }, manyOccurrences, at(0).wall, { 0 }),
        JobState::Completed, 0 },
    { "many occurrences of many steps without tasks",
        makePeriodicJob(
            "odd", std::vector<jobs::Step>(manySteps, makeStep(0)), manyOccurrences, at(0).wall, { 0 }),
        JobState::Completed, 0 },
    { "step that names a predecessor twice",
        makeJob("odd", { makeStep(2), follow(makeStep(2), { 0, 0, 0 }) }), JobState::Completed, 4 },
    { "limit for each upstream above the number of tasks",
        makeJob("odd", { { .count = 2, .resources = { 1000, 100, 0 }, .maxPerUpstream = largestCount } }),
        JobState::Completed, 2 },
    { "gang above the size of a rack",
        makeJob("odd", { { .count = 9, .resources = { 1000, 100, 0 }, .gang = true, .sameRack = true } }),
        JobState::Completed, 9 },
    { "gang above the size of the pool", makeJob("odd", { makeGang(13) }), JobState::Pending, 0 },
    { "task above the size of each upstream", makeJob("odd", { makeStep(1, 4001) }), JobState::Pending, 0 },
};

/** Guards against a job that hangs the owner of its pool, or keeps it from the jobs of others, by a step that
 * cannot have any task to start. */
BOOST_TEST_DECORATOR(*boost::unit_test::timeout(hangTimeout))
BOOST_DATA_TEST_CASE(odd_job_leaves_the_pool_to_others, data::make(oddJobs), row)
{
    Pool pool;
    pool.add(row.job);
    pool.add(makeJob("other", { makeStep(3), follow(makeStep(2), { 0 }) }));
    pool.run();
    BOOST_TEST((pool.stateOf("odd") == row.state));
    BOOST_TEST(pool.startsOf("odd") == row.starts);
    BOOST_TEST((pool.stateOf("other") == JobState::Completed));
    BOOST_TEST(pool.startsOf("other") == 5);
}

/** Limits of tasks on one upstream, and the upstreams that three long-running tasks need. */
struct SpreadRow {
    const std::uint32_t count;
    const std::uint32_t maxPerUpstream;
    const std::uint32_t spread;

    friend std::ostream& operator<<(std::ostream& out, const SpreadRow& row)
    {
        return out << row.count << " tasks, " << row.maxPerUpstream << " on an upstream";
    }
};

const std::vector<SpreadRow> spreads { { 3, 1, 3 }, { 3, 2, 2 }, { 3, 3, 1 }, { 3, largestCount, 1 },
    { 0, 1, 0 }, { 0, largestCount, 0 } };

/** Guards against a demand that wraps around, so that the pool gets no VM. */
BOOST_DATA_TEST_CASE(spread_counts_the_upstreams_of_long_running_tasks, data::make(spreads), row)
{
    Pool pool;
    pool.add(makeJob("odd",
        { { .count = row.count, .maxPerUpstream = row.maxPerUpstream, .longRunning = true }, makeStep(1) }));
    BOOST_TEST(pool.demand().spread == row.spread);
}

} // namespace

} // namespace wasabiroad::scheduling::test
