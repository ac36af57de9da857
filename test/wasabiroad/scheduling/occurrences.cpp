#include "wasabiroad/scheduling/fixture.hpp"

#include <functional>
#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;
using jobs::JobState;

constexpr std::uint32_t manyOccurrences = 10000;
constexpr std::uint32_t manyTasks = 1000;
constexpr kernel::Duration hour { 3'600'000 };

/** Steps that the scheduler may hold for each job: those that wait, and those of the running tasks. */
const auto stepsPerJob = Policy {}.maxWaitingStepsPerJob + 4;

/** Tasks that fit on the upstream of these tests, and one that waits. */
constexpr std::size_t tasksInUse = 5;

/** Jobs that callers hand in, and the largest state that the scheduler may hold for all of them. */
struct FootprintRow {
    const char* title;
    const std::function<jobs::Job(const std::string&)> make;
    const std::size_t jobs;
    const std::size_t steps;
    const std::size_t tasks;

    friend std::ostream& operator<<(std::ostream& out, const FootprintRow& row) { return out << row.title; }
};

jobs::Step makeImpossibleStep()
{
    return { .count = manyTasks, .resources = { 1000, 100, 0 }, .estimate = { 500 }, .label = "none" };
}

const std::vector<FootprintRow> footprints {
    { "occurrences far in the future",
        [](const std::string& id) {
            return makePeriodicJob(id, { makeStep(24) }, manyOccurrences, at(0).wall + hour, { 60000 });
        },
        20, 0, 0 },
    { "occurrences that are all due",
        [](const std::string& id) {
            return makePeriodicJob(id, { makeStep(24) }, manyOccurrences, at(0).wall, { 0 });
        },
        20, 20 * stepsPerJob, tasksInUse },
    { "occurrences that are all due and cannot run",
        [](const std::string& id) {
            return makePeriodicJob(id, { makeImpossibleStep() }, manyOccurrences, at(0).wall, { 0 });
        },
        20, 20 * stepsPerJob, 0 },
    { "many steps and occurrences",
        [](const std::string& id) {
            return makePeriodicJob(
                id, std::vector<jobs::Step>(100, makeStep(1)), manyOccurrences, at(0).wall, { 0 });
        },
        20, 20 * 100 + 4 * 100, tasksInUse },
    { "wide steps", [](const std::string& id) { return makeJob(id, { makeStep(10000) }); }, 20, 20,
        tasksInUse },
    { "wide gangs",
        [](const std::string& id) {
            return makeJob(id, { { .count = 10000, .resources = { 1000, 100, 0 }, .gang = true } });
        },
        20, 20, 0 },
};

/** Guards against an owner that exceeds the memory of its VM as jobs have many occurrences, steps or tasks.
 */
BOOST_DATA_TEST_CASE(state_is_independent_of_declared_counts,
    data::make(footprints) * data::make({ false, true }), row, takeover)
{
    // A previous owner may have started the tasks, so those of the next owner wait.
    PoolScheduler scheduler { Policy {}, 9, at(0),
        takeover ? std::vector { UpstreamId { "lost" } } : std::vector<UpstreamId> {} };
    scheduler.apply(MembersListed { { makeUpstream("u1") } }, at(0));
    scheduler.apply(TasksListed { UpstreamId { "u1" }, { 1 } }, at(0));
    for (std::size_t number = 0; number < row.jobs; ++number) {
        scheduler.apply(JobAdded { row.make("j" + std::to_string(number)), {}, takeover }, at(10));
    }
    for (const std::int64_t time : { 20, 1000, 2000 }) {
        scheduler.apply(Tick {}, at(time));
        const auto footprint = scheduler.footprint();
        BOOST_TEST(footprint.steps <= row.steps);
        BOOST_TEST(footprint.tasks <= row.tasks);
    }
    BOOST_TEST(scheduler.jobCount() == row.jobs);
}

/** @brief Runs a job to its end on one upstream, and counts the starts of each task. */
class Run {
public:
    Run(const jobs::Job& job, const jobs::Record& record, std::int64_t cpu)
        : fixture({ makeUpstream("u1", cpu) })
    {
        this->fixture.apply(JobAdded { job, record }, this->time);
    }

    /** @brief Completes each running task. @return Whether any task ran. */
    bool advance()
    {
        this->time += 100;
        std::vector<EndedTask> ended;
        for (; this->seen < this->fixture.starts.size(); ++this->seen) {
            const auto& start = this->fixture.starts[this->seen];
            ended.push_back({ this->seen + 1, start.task, start.run, EndKind::Done, "" });
            BOOST_TEST(this->started.insert(start.task).second);
        }
        const bool any = !ended.empty();
        this->fixture.applyTaskList("u1", {}, std::move(ended), this->time);
        for (const auto& change : this->fixture.scheduler.takeChanges()) {
            this->record.emplace(change.record);
        }
        this->mostSteps = std::max(this->mostSteps, this->fixture.scheduler.footprint().steps);
        return any;
    }

    SchedulerFixture fixture;
    std::int64_t time { 10 };
    std::size_t seen { 0 };
    std::set<jobs::TaskId> started {};
    std::optional<jobs::Record> record {};
    std::size_t mostSteps { 0 };
};

/** Guards against occurrences that are never opened, opened twice, or kept after their end. */
BOOST_DATA_TEST_CASE(all_occurrences_run_once, data::make({ 1U, 5U, 300U }), occurrences)
{
    const jobs::Step second { .count = 1, .resources = { 500, 100, 0 }, .estimate = { 500 }, .after = { 0 } };
    Run run { makePeriodicJob("j", { makeStep(2), second }, occurrences, at(0).wall, { 0 }), {}, 4000 };
    while (run.advance()) { }
    BOOST_TEST(run.started.size() == occurrences * 3);
    BOOST_REQUIRE(run.record.has_value());
    BOOST_TEST((run.record->state == JobState::Completed));
    BOOST_TEST(run.mostSteps <= 2 * stepsPerJob);
    BOOST_TEST(run.fixture.scheduler.footprint().tasks == 0);
}

/** Records of a job with six occurrences of two tasks, and the tasks that are left. */
struct RestoreRow {
    const char* title;
    const jobs::Record record;
    const std::size_t left;

    friend std::ostream& operator<<(std::ostream& out, const RestoreRow& row) { return out << row.title; }
};

const std::vector<RestoreRow> restores {
    { "nothing is done", { JobState::Running }, 12 },
    { "a range of occurrences is completed", { JobState::Running, {}, {}, { { 0, 3 } } }, 4 },
    { "completed occurrences apart from each other", { JobState::Running, {}, {}, { { 1, 1 }, { 5, 5 } } },
        8 },
    { "a task of an open occurrence is done",
        { JobState::Running, { { { 4, 0, 1 }, true } }, {}, { { 0, 3 } } }, 3 },
    { "each task is listed, as by earlier versions",
        { JobState::Running, { { { 0, 0, 0 }, true }, { { 0, 0, 1 }, true }, { { 1, 0, 0 }, true } } }, 9 },
    { "the only occurrence without a range is done",
        { JobState::Running, { { { 5, 0, 0 }, true }, { { 5, 0, 1 }, true } }, {}, { { 0, 4 } } }, 0 },
    { "ranges and tasks out of bounds are ignored",
        { JobState::Running, { { { 6, 0, 0 }, true }, { { 0, 1, 0 }, true }, { { 0, 0, 2 }, true } }, {},
            { { 3, 2 }, { 4, 6 } } },
        12 },
};

/** Guards against completed occurrences that run again under the next owner. */
BOOST_DATA_TEST_CASE(completed_occurrences_do_not_run_again, data::make(restores), row)
{
    Run run { makePeriodicJob("j", { makeStep(2) }, 6, at(0).wall, { 0 }), row.record, 4000 };
    while (run.advance()) { }
    BOOST_TEST(run.started.size() == row.left);
    BOOST_REQUIRE(run.record.has_value());
    BOOST_TEST((run.record->state == JobState::Completed));
}

/** Guards against a record that lists each task of completed occurrences. */
BOOST_AUTO_TEST_CASE(record_lists_ranges_of_completed_occurrences)
{
    Run run { makePeriodicJob("j", { makeStep(24, 100) }, manyOccurrences, at(0).wall, { 200 }), {}, 4000 };
    for (int count = 0; count < 200; ++count) {
        run.advance();
    }
    BOOST_REQUIRE(run.record.has_value());
    BOOST_TEST(run.record->completed.size() <= 2);
    BOOST_TEST(run.record->tasks.size() <= 2 * 24);
    BOOST_TEST(run.started.size() >= 90 * 24);
}

/** What an upstream reports of a task in an occurrence that the next owner has not opened. */
struct ReportRow {
    const char* title;
    const bool runs;
    const std::uint32_t occurrence;
    const bool isKnown;

    friend std::ostream& operator<<(std::ostream& out, const ReportRow& row) { return out << row.title; }
};

const std::vector<ReportRow> reports {
    { "it runs", true, 5000, true },
    { "it is done", false, 5000, true },
    { "it runs in an occurrence that is completed", true, 0, false },
    { "it runs in an occurrence that does not exist", true, manyOccurrences, false },
};

/** Guards against a task that is stopped or started again as its occurrence was opened by the previous owner
 * only. */
BOOST_DATA_TEST_CASE(reported_task_opens_its_occurrence, data::make(reports), row)
{
    const UpstreamId upstream { "u1" };
    const jobs::TaskId task { jobs::JobId { "j" }, { row.occurrence, 0, 0 } };
    PoolScheduler scheduler { Policy {}, 9, at(0), { upstream } };
    scheduler.apply(
        JobAdded { makePeriodicJob("j", { makeStep(1, 4000) }, manyOccurrences, at(0).wall, { 0 }),
            { JobState::Running, {}, {}, { { 0, 0 } } }, true },
        at(0));
    scheduler.apply(MembersListed { { makeUpstream("u1") } }, at(1));
    const std::vector<RunningTask> running { { task, { 3 }, "", 10 } };
    const std::vector<EndedTask> ended { { 1, task, { 3 }, EndKind::Done, "" } };
    const auto orders = scheduler.apply(
        TasksListed { upstream, { 1 }, { 2 }, row.runs ? running : std::vector<RunningTask> {},
            row.runs ? std::vector<EndedTask> {} : ended },
        at(5));
    const auto stops = std::ranges::count_if(
        orders, [](const auto& order) { return std::holds_alternative<StopTask>(order); });
    BOOST_TEST(stops == (row.isKnown ? 0 : 1));
    BOOST_TEST((!row.runs || scheduler.hasTasks(upstream) == row.isKnown));
    for (const auto& order : orders) {
        const auto* const start = std::get_if<StartTask>(&order);
        BOOST_TEST((start == nullptr || start->task != task));
    }
    const auto changes = scheduler.takeChanges();
    const bool recorded = !changes.empty()
        && std::ranges::any_of(changes.front().record.completed,
            [&](const auto& range) { return range.first <= row.occurrence && row.occurrence <= range.last; });
    BOOST_TEST(recorded == (row.isKnown && !row.runs));
}

} // namespace

} // namespace wasabiroad::scheduling::test
