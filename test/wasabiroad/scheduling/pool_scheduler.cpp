#include "wasabiroad/scheduling/fixture.hpp"

#include <algorithm>
#include <functional>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;
using jobs::JobState;

/** Answer of an upstream to a start, and the orders that follow it. */
struct StartRow {
    const StartResult result;
    /** @brief Starts ordered in total after the answer and one tick. */
    const std::size_t startsAfterAnswer;
    const std::size_t stopsAfterAnswer;

    friend std::ostream& operator<<(std::ostream& out, const StartRow& row)
    {
        return out << name(row.result);
    }
};

const std::vector<StartRow> startRows {
    { StartResult::Started, 1, 0 },
    { StartResult::NoRoom, 2, 0 },
    { StartResult::Refused, 2, 0 },
    { StartResult::NotSent, 2, 0 },
    { StartResult::NotTried, 2, 0 },
    { StartResult::StaleRun, 2, 0 },
    { StartResult::Unknown, 1, 1 },
};

/** Guards against a second run of a task whose first start may still be carried out. */
BOOST_DATA_TEST_CASE(start_goes_elsewhere_only_when_it_cannot_happen_here, data::make(startRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1"), makeUpstream("u2") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 1);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, row.result }, 20);
    fixture.apply(Tick {}, 600);
    BOOST_TEST(fixture.starts.size() == row.startsAfterAnswer);
    BOOST_TEST(fixture.stops.size() == row.stopsAfterAnswer);
    if (row.startsAfterAnswer == 2) {
        BOOST_TEST((fixture.starts[1].run > first.run));
    }
}

/** What happens between a start without an answer and a list that shows its run, and the stops ordered by the
 * end. */
struct LateStartRow {
    const char* title;
    const bool stopIsAnswered;
    const bool jobIsCancelled;
    const std::size_t stops;

    friend std::ostream& operator<<(std::ostream& out, const LateStartRow& row) { return out << row.title; }
};

const std::vector<LateStartRow> lateStartRows {
    { "the stop is not answered", false, false, 1 },
    { "the stop is answered", true, false, 1 },
    { "the job is cancelled and the stop is not answered", false, true, 3 },
};

/** Guards against stops that are repeated until they end a run which was started after all. */
BOOST_DATA_TEST_CASE(run_that_was_started_after_all_goes_on, data::make(lateStartRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Unknown }, 810);
    fixture.apply(StopAnswered { first.upstream, first.task, first.run, row.stopIsAnswered }, 820);
    if (row.jobIsCancelled) {
        fixture.apply(JobCancelled { first.task.job }, 830);
    }
    for (std::int64_t time = 900; time < 3500; time += 100) {
        fixture.applyTaskList("u1", { { first.task, first.run, "", time / 100 } }, {}, time);
        fixture.apply(Tick {}, time + 10);
    }
    BOOST_TEST(fixture.stops.size() == row.stops);
    BOOST_TEST(fixture.starts.size() == 1);
    // The run ends as usual, whether or not a stop has taken effect.
    const auto kind = row.stops == 1 && !row.stopIsAnswered ? EndKind::Done : EndKind::Stopped;
    fixture.applyTaskList("u1", {}, { { 1, first.task, first.run, kind, "" } }, 4000);
    fixture.apply(Tick {}, 4010);
    BOOST_TEST(fixture.starts.size() == (row.stopIsAnswered ? 2 : 1));
}

/** @brief What the owner hears after a start of a long-running task was not answered. */
struct Hearsay {
    /** @brief Incarnation that lists its tasks; 0 if the job is cancelled instead. */
    const std::int64_t born { 1 };
    const std::int64_t sent { 0 };
    const std::int64_t received { 0 };
    /** @brief The list contains the run. */
    const bool runs { false };
};

/** The limit of a step, and the stops that are ordered for a start that was not answered: after what is
 * heard, and once an unanswered stop would be repeated. */
struct UnansweredRow {
    const char* title;
    const std::uint32_t maxUnavailable;
    const std::vector<Hearsay> heard;
    const std::size_t stops;
    const std::size_t stopsLater;

    friend std::ostream& operator<<(std::ostream& out, const UnansweredRow& row) { return out << row.title; }
};

const std::vector<UnansweredRow> unansweredRows {
    { "no limit", 0, { { 1, 900, 950, false } }, 1, 2 },
    { "no limit, and a list with the run", 0, { { 1, 900, 950, true } }, 1, 1 },
    { "no list", 1, {}, 0, 0 },
    { "a list without the run", 1, { { 1, 900, 950, false } }, 1, 1 },
    { "a list with the run", 1, { { 1, 900, 950, true } }, 0, 0 },
    { "a list without the run, and one with it", 1, { { 1, 900, 950, false }, { 1, 1900, 1950, true } }, 1,
        1 },
    { "two lists without the run", 1, { { 1, 900, 950, false }, { 1, 1900, 1950, false } }, 2, 2 },
    { "a list that is handled late", 1, { { 1, 900, 3000, false } }, 0, 0 },
    { "the job is cancelled", 1, { { 0, 0, 950, false } }, 1, 2 },
    { "a list of the next incarnation without the run", 1, { { 2, 900, 950, false } }, 1, 1 },
    { "a list of the next incarnation with the run", 1, { { 2, 900, 950, true } }, 0, 0 },
};

/** Guards against a stop for an unanswered start that ends a task at work while too many of its step are
 * away: the start may have been carried out since the last list. */
BOOST_DATA_TEST_CASE(
    unanswered_start_of_a_limited_step_is_stopped_after_a_list, data::make(unansweredRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    const jobs::Step step {
        .count = 2, .resources = { 1000, 100, 0 }, .longRunning = true, .maxUnavailable = row.maxUnavailable
    };
    fixture.apply(JobAdded { makeJob("j", { step }) }, 10);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 2);
    const auto first = fixture.starts[0];
    const auto other = fixture.starts[1];
    fixture.apply(StartAnswered { other.upstream, other.task, other.run, StartResult::Started }, 20);
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Unknown }, 810);
    BOOST_TEST(fixture.scheduler.needsFrequentPolling(first.upstream) == (row.maxUnavailable > 0));
    for (const auto& heard : row.heard) {
        if (heard.born == 0) {
            fixture.apply(JobCancelled { first.task.job }, heard.received);
            continue;
        }
        std::vector<RunningTask> running { { other.task, other.run, "", 100 } };
        if (heard.runs) {
            running.push_back({ first.task, first.run, "", 100 });
        }
        fixture.apply(
            TasksListed { first.upstream, { heard.born }, { heard.sent }, running }, heard.received);
    }
    const auto ofFirst = [&](const auto& orders) {
        return std::ranges::count(orders, first.task, [](const auto& order) { return order.task; });
    };
    BOOST_TEST(ofFirst(fixture.stops) == row.stops);
    fixture.apply(Tick {}, 3100);
    BOOST_TEST(ofFirst(fixture.stops) == row.stopsLater);
    BOOST_TEST(ofFirst(fixture.starts) == 1);
}

/** Result of a start that was not carried out, and whether it makes the upstream suspect. */
struct SuspicionRow {
    const StartResult result;
    const bool suspect;

    friend std::ostream& operator<<(std::ostream& out, const SuspicionRow& row)
    {
        return out << name(row.result);
    }
};

const std::vector<SuspicionRow> suspicionRows {
    { StartResult::NoRoom, true },
    { StartResult::Refused, true },
    { StartResult::NotSent, true },
    { StartResult::NotTried, false },
    { StartResult::StaleRun, false },
};

/** Guards against upstreams that become suspect because calls of the owner delayed each other. */
BOOST_DATA_TEST_CASE(upstream_is_suspect_only_after_an_attempted_call, data::make(suspicionRows), row)
{
    // The task does not fit on the other upstream, which allows one of the two to be suspect.
    SchedulerFixture fixture { { makeUpstream("u1"), makeUpstream("u2", 100) } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, row.result }, 20);
    fixture.apply(Tick {}, 20 + Policy {}.refusalRetryDelay.milliseconds);
    BOOST_TEST(fixture.starts.size() == (row.suspect ? 1 : 2));
    fixture.apply(Tick {}, 20 + Policy {}.suspectDuration.milliseconds);
    BOOST_TEST(fixture.starts.size() == 2);
}

/** @return A job with this many tasks, of which many fit on one upstream. */
jobs::Job makeSmallTasks(const std::string& id, std::size_t count, std::uint32_t priority = 1)
{
    const auto job = makeJob(id, {});
    const jobs::Resources small { 1, 1, 0 };
    const jobs::Step step {
        .count = static_cast<std::uint32_t>(count), .resources = small, .estimate = { 500 }
    };
    return { .id = job.id,
        .queue = job.queue,
        .service = job.service,
        .steps = { step },
        .accepted = job.accepted,
        .priority = priority,
        .maxAttempts = job.maxAttempts,
        .stretch = job.stretch,
        .allowance = job.allowance };
}

/** @return Upstreams that differ only by id. */
std::vector<UpstreamFacts> makeUpstreams(std::size_t count)
{
    std::vector<UpstreamFacts> members;
    for (std::size_t index = 0; index < count; ++index) {
        members.push_back(makeUpstream("u" + std::to_string(index)));
    }
    return members;
}

/** Upstreams with enough resources for all tasks, and the starts ordered before the first answer. */
struct InFlightRow {
    const char* title;
    const std::size_t upstreams;
    const std::size_t tasks;
    const std::size_t starts;

    friend std::ostream& operator<<(std::ostream& out, const InFlightRow& row) { return out << row.title; }
};

const auto poolLimit = Policy {}.maxStartsInFlight;
const auto upstreamLimit = Policy {}.maxStartsInFlightPerUpstream;
const auto enoughUpstreams = poolLimit / upstreamLimit + 1;

const std::vector<InFlightRow> inFlightRows {
    { "few tasks start at once", enoughUpstreams, upstreamLimit, upstreamLimit },
    { "one upstream is at its limit", 1, upstreamLimit + 1, upstreamLimit },
    { "two upstreams are at their limits", 2, 3 * upstreamLimit, 2 * upstreamLimit },
    { "the pool is at its limit", enoughUpstreams, 3 * poolLimit, poolLimit },
};

/** Guards against ordering a whole backlog at once, so that its start orders delay each other. */
BOOST_DATA_TEST_CASE(starts_in_flight_are_limited, data::make(inFlightRows), row)
{
    SchedulerFixture fixture { makeUpstreams(row.upstreams) };
    fixture.apply(JobAdded { makeSmallTasks("j", row.tasks) }, 10);
    BOOST_TEST(fixture.starts.size() == row.starts);
    // Each answer allows one more start.
    for (std::size_t index = 0; index < row.tasks && index < fixture.starts.size(); ++index) {
        const auto start = fixture.starts[index];
        fixture.apply(StartAnswered { start.upstream, start.task, start.run, StartResult::Started }, 20);
        BOOST_TEST(fixture.starts.size() == std::min(row.tasks, row.starts + index + 1));
    }
    BOOST_TEST(fixture.starts.size() == row.tasks);
}

/** Events after which a start is no longer in flight. */
struct SettledRow {
    const char* title;
    const std::function<void(SchedulerFixture&, const StartTask&)> settle;

    friend std::ostream& operator<<(std::ostream& out, const SettledRow& row) { return out << row.title; }
};

std::function<void(SchedulerFixture&, const StartTask&)> answered(StartResult result)
{
    return [result](SchedulerFixture& fixture, const StartTask& start) {
        fixture.apply(StartAnswered { start.upstream, start.task, start.run, result }, 20);
    };
}

const std::vector<SettledRow> settledRows {
    { "started", answered(StartResult::Started) },
    { "not sent", answered(StartResult::NotSent) },
    { "not tried", answered(StartResult::NotTried) },
    { "no answer", answered(StartResult::Unknown) },
    { "listed before it is answered",
        [](SchedulerFixture& fixture, const StartTask& start) {
            fixture.applyTaskList(start.upstream.text(), { { start.task, start.run, "", 1 } }, {}, 20);
        } },
    { "listed as ended before it is answered",
        [](SchedulerFixture& fixture, const StartTask& start) {
            fixture.applyTaskList(
                start.upstream.text(), {}, { { 1, start.task, start.run, EndKind::Done, "" } }, 20);
        } },
    { "upstream replaced",
        [](SchedulerFixture& fixture, const StartTask& start) {
            fixture.apply(UpstreamReplaced { start.upstream }, 20);
        } },
};

/** Guards against a backlog that was submitted early starting before a more urgent task. */
BOOST_DATA_TEST_CASE(urgent_task_is_the_next_start_at_the_limit, data::make(settledRows), row)
{
    SchedulerFixture fixture { makeUpstreams(enoughUpstreams + 1) };
    fixture.apply(JobAdded { makeSmallTasks("backlog", 3 * poolLimit) }, 10);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), poolLimit);
    fixture.apply(JobAdded { makeSmallTasks("urgent", 1, 0) }, 15);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), poolLimit);
    row.settle(fixture, StartTask { fixture.starts.front() });
    BOOST_REQUIRE_GT(fixture.starts.size(), poolLimit);
    BOOST_TEST(fixture.starts[poolLimit].task.job.text() == "urgent");
}

/** Guards against a gang that is wider than the limit of starts in flight and never starts. */
BOOST_AUTO_TEST_CASE(gang_wider_than_the_limit_starts)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    const jobs::Step gang { .count = static_cast<std::uint32_t>(upstreamLimit + 1),
        .resources = { 1, 1, 0 },
        .estimate = { 500 },
        .gang = true };
    fixture.apply(JobAdded { makeJob("j", { gang }) }, 10);
    BOOST_TEST(fixture.starts.size() == upstreamLimit + 1);
}

/** Guards against a second run after an unanswered start, before a list sent after the answered stop shows
 * that the first does not run. */
BOOST_AUTO_TEST_CASE(unanswered_start_is_resolved_by_a_stop_and_a_later_list)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Unknown }, 900);
    fixture.applyTaskList("u1", {}, {}, 950);
    BOOST_TEST(fixture.starts.size() == 1);
    fixture.apply(StopAnswered { first.upstream, first.task, first.run, true }, 1000);
    // A list requested before the stop was answered does not prove that the run has ended.
    fixture.apply(TasksListed { first.upstream, { 1 }, { 990 }, {}, {} }, 1010);
    BOOST_TEST(fixture.starts.size() == 1);
    fixture.applyTaskList("u1", {}, {}, 1300);
    BOOST_TEST(fixture.starts.size() == 2);
}

/** Guards against reuse of resources while a run that is no longer needed is still stopping. */
BOOST_AUTO_TEST_CASE(stopping_run_of_a_completed_task_occupies_its_resources)
{
    SchedulerFixture fixture { { makeUpstream("u1", 1000), makeUpstream("u2", 1000) } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1, 1000) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Started }, 20);
    fixture.apply(UpstreamUnresponsive { first.upstream, { 20 } }, 30);
    fixture.apply(Tick {}, 20 + Policy {}.maxLeaseDuration.milliseconds + 1000);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 2);
    const auto second = fixture.starts.back();
    BOOST_TEST((second.upstream != first.upstream));
    fixture.apply(JobAdded { makeJob("k", { makeStep(2, 1000) }) }, 8000);
    fixture.applyTaskList(
        first.upstream.text(), {}, { { 1, first.task, first.run, EndKind::Done, "" } }, 8100);
    BOOST_TEST(fixture.stops.size() == 1);
    // One task of the other job fits on the upstream that is free again, none next to the stopping run.
    BOOST_TEST(fixture.starts.size() == 3);
    fixture.applyTaskList(
        second.upstream.text(), {}, { { 1, second.task, second.run, EndKind::Stopped, "" } }, 8300);
    BOOST_TEST(fixture.starts.size() == 4);
}

/** End of a run, and the resulting state of its job. */
struct EndRow {
    const EndKind kind;
    const JobState state;
    const std::size_t starts;
    const std::uint32_t failures;

    friend std::ostream& operator<<(std::ostream& out, const EndRow& row) { return out << name(row.kind); }
};

const std::vector<EndRow> endRows {
    { EndKind::Done, JobState::Completed, 1, 0 },
    { EndKind::Failed, JobState::Running, 2, 1 },
    { EndKind::Stopped, JobState::Running, 2, 0 },
    { EndKind::LeaseExpired, JobState::Running, 2, 0 },
    { EndKind::PeerEnded, JobState::Running, 2, 0 },
    { EndKind::GangIncomplete, JobState::Running, 2, 0 },
};

/** Guards against counting an attempt for an end that the task did not cause. */
BOOST_DATA_TEST_CASE(end_determines_state_and_attempts, data::make(endRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1"), makeUpstream("u2") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Started }, 20);
    fixture.applyTaskList(first.upstream.text(), {}, { { 1, first.task, first.run, row.kind, "" } }, 500);
    // An end is listed again until it is acknowledged.
    fixture.applyTaskList(first.upstream.text(), {}, { { 1, first.task, first.run, row.kind, "" } }, 520);
    BOOST_TEST(fixture.starts.size() == row.starts);
    const auto changes = fixture.scheduler.takeChanges();
    BOOST_REQUIRE_EQUAL(changes.size(), 1);
    BOOST_TEST((changes.front().record.state == row.state));
    const auto& tasks = changes.front().record.tasks;
    BOOST_TEST((tasks.empty() ? 0U : tasks.front().failedRuns.size()) == row.failures);
}

/** Guards against a final state that callers see before it is stored. */
BOOST_AUTO_TEST_CASE(final_state_is_visible_once_it_is_written)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.applyTaskList("u1", {}, { { 1, first.task, first.run, EndKind::Done, "" } }, 500);
    BOOST_TEST(fixture.scheduler.hasUrgentChange());
    BOOST_TEST((fixture.scheduler.stateOf(jobs::JobId { "j" }) == JobState::Running));
    fixture.scheduler.recordWritten(jobs::JobId { "j" });
    BOOST_TEST(!fixture.scheduler.stateOf(jobs::JobId { "j" }).has_value());
}

/** Guards against more attempts than allowed when the owner changes between attempts. */
BOOST_DATA_TEST_CASE(attempts_are_limited_across_owners, data::make({ 1U, 2U, 4U }), attempts)
{
    jobs::Record record {};
    std::optional<jobs::Record> current { record };
    for (std::uint32_t attempt = 1; attempt <= attempts; ++attempt) {
        SchedulerFixture fixture { { makeUpstream("u1"), makeUpstream("u2") }, 5 + attempt };
        fixture.apply(JobAdded { makeJob("j", { makeStep(1) }, attempts), *current }, 10);
        BOOST_REQUIRE_EQUAL(fixture.starts.size(), 1);
        const auto start = fixture.starts.front();
        fixture.applyTaskList(
            start.upstream.text(), {}, { { 1, start.task, start.run, EndKind::Failed, "" } }, 500);
        const auto changes = fixture.scheduler.takeChanges();
        BOOST_REQUIRE_EQUAL(changes.size(), 1);
        current.emplace(changes.front().record);
        BOOST_TEST(fixture.starts.size() == (attempt < attempts ? 2 : 1));
        BOOST_TEST((current->state == (attempt < attempts ? JobState::Running : JobState::Failed)));
    }
}

/** Guards against counting a failure twice when the owner changes before its end is acknowledged. */
BOOST_AUTO_TEST_CASE(failure_recorded_by_a_previous_owner_counts_once)
{
    SchedulerFixture fixture { { makeUpstream("u1") }, 9 };
    const jobs::Run run { 77 };
    const jobs::TaskId task { jobs::JobId { "j" }, {} };
    const jobs::Record record { JobState::Running, { { {}, false, { run }, "" } } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }, 2), record }, 10);
    fixture.applyTaskList("u1", {}, { { 1, task, run, EndKind::Failed, "" } }, 20);
    BOOST_TEST((fixture.scheduler.stateOf(task.job) == JobState::Running));
}

/** Guards against not counting an attempt whose run fails while it is being stopped. */
BOOST_AUTO_TEST_CASE(failure_of_a_run_that_is_being_stopped_counts)
{
    SchedulerFixture fixture { { makeUpstream("u1"), makeUpstream("u2") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }, 2) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Unknown }, 900);
    BOOST_REQUIRE_EQUAL(fixture.stops.size(), 1);
    fixture.applyTaskList(
        first.upstream.text(), {}, { { 1, first.task, first.run, EndKind::Failed, "" } }, 1000);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 2);
    const auto second = fixture.starts.back();
    fixture.applyTaskList(second.upstream.text(), {},
        { { second.upstream == first.upstream ? 2U : 1U, second.task, second.run, EndKind::Failed, "" } },
        2000);
    BOOST_TEST(fixture.starts.size() == 2);
    BOOST_TEST(fixture.scheduler.hasUrgentChange());
}

/** Guards against not counting an attempt when the end of a later run is listed first. */
BOOST_AUTO_TEST_CASE(failures_count_in_any_order)
{
    SchedulerFixture fixture { { makeUpstream("u1"), makeUpstream("u2") } };
    const jobs::TaskId task { jobs::JobId { "j" }, {} };
    const jobs::Record record { JobState::Running, { { {}, false, { { 9 } }, "" } } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }, 2), record }, 10);
    fixture.applyTaskList("u1", {}, { { 1, task, { 5 }, EndKind::Failed, "" } }, 20);
    BOOST_TEST(fixture.scheduler.hasUrgentChange());
    BOOST_TEST((fixture.scheduler.takeChanges().front().record.state == JobState::Failed));
}

/** Answers of two upstreams used by a previous owner, and the starts of the new owner. */
struct TakeoverRow {
    const char* title;
    const bool listsTask;
    const bool secondAnswers;
    const std::int64_t time;
    const std::size_t starts;

    friend std::ostream& operator<<(std::ostream& out, const TakeoverRow& row) { return out << row.title; }
};

const std::vector<TakeoverRow> takeoverRows {
    { "running task is adopted", true, true, 100, 0 },
    { "task that no upstream runs is started", false, true, 100, 1 },
    { "task waits while an upstream is unreconciled", false, false, 100, 0 },
    { "task is started once its leases have expired", false, false, 12000, 1 },
};

/** Guards against a second run of a task that a previous owner started. */
BOOST_DATA_TEST_CASE(new_owner_starts_only_tasks_that_do_not_run, data::make(takeoverRows), row)
{
    PoolScheduler scheduler { Policy {}, 9, at(0), { UpstreamId { "u1" }, UpstreamId { "u2" } } };
    const jobs::TaskId task { jobs::JobId { "j" }, {} };
    std::size_t starts = 0;
    const auto apply = [&](const Event& event, std::int64_t time) {
        for (const auto& order : scheduler.apply(event, at(time))) {
            starts += std::holds_alternative<StartTask>(order) ? 1 : 0;
        }
    };
    apply(JobAdded { makeJob("j", { makeStep(1) }), { JobState::Running }, true }, 0);
    apply(MembersListed { { makeUpstream("u1"), makeUpstream("u2") } }, 1);
    std::vector<RunningTask> running;
    if (row.listsTask) {
        running.push_back({ task, { 3 }, "", 10 });
    }
    apply(TasksListed { UpstreamId { "u1" }, { 1 }, { 2 }, running, {} }, 5);
    if (row.secondAnswers) {
        apply(TasksListed { UpstreamId { "u2" }, { 1 }, { 2 }, {}, {} }, 6);
    }
    apply(Tick {}, row.time);
    BOOST_TEST(starts == row.starts);
}

/** Answers of an upstream of a previous owner after a truncated list of ends, and the starts by then. */
struct TruncationRow {
    const char* title;
    /** @brief The rest of the ends is listed. */
    const bool listsRest;
    /** @brief The upstream stops answering after the truncated list. */
    const bool isLost;
    const std::int64_t time;
    const std::size_t starts;

    friend std::ostream& operator<<(std::ostream& out, const TruncationRow& row) { return out << row.title; }
};

const std::vector<TruncationRow> truncationRows {
    { "the rest is awaited", false, false, 100, 0 },
    { "the rest is awaited while the upstream answers", false, false, 60000, 0 },
    { "the rest is listed", true, false, 100, 1 },
    { "the upstream is lost, its lease may last", false, true, 6000, 0 },
    { "the upstream is lost, its lease has expired", false, true, 60000, 2 },
};

/** Guards against starting tasks again whose ends are missing from a truncated list. */
BOOST_DATA_TEST_CASE(new_owner_awaits_all_ends, data::make(truncationRows), row)
{
    const UpstreamId upstream { "u1" };
    PoolScheduler scheduler { Policy {}, 9, at(0), { upstream } };
    const auto task = [](std::uint32_t index) {
        return jobs::TaskId { jobs::JobId { "j" }, { 0, 0, index } };
    };
    std::size_t starts = 0;
    const auto apply = [&](const Event& event, std::int64_t time) {
        for (const auto& order : scheduler.apply(event, at(time))) {
            starts += std::holds_alternative<StartTask>(order) ? 1 : 0;
        }
    };
    apply(JobAdded { makeJob("j", { makeStep(3) }), { JobState::Running }, true }, 0);
    apply(MembersListed { { makeUpstream("u1"), makeUpstream("u2") } }, 1);
    apply(TasksListed { UpstreamId { "u2" }, { 1 }, { 2 } }, 2);
    const EndedTask first { 1, task(0), { 3 }, EndKind::Done, "" };
    const EndedTask second { 2, task(1), { 4 }, EndKind::Done, "" };
    const std::int64_t truncatedAt = 6000;
    apply(TasksListed { upstream, { 1 }, { truncatedAt }, {}, { first }, true }, truncatedAt);
    if (row.listsRest) {
        apply(TasksListed { upstream, { 1 }, { truncatedAt + 10 }, {}, { second } }, truncatedAt + 10);
    }
    if (row.isLost) {
        apply(UpstreamUnresponsive { upstream, { truncatedAt } }, truncatedAt + 20);
    }
    BOOST_TEST(scheduler.isUnreconciled(upstream) == !row.listsRest);
    apply(Tick {}, truncatedAt + row.time);
    BOOST_TEST(starts == row.starts);
}

/** Guards against a second run of a task that ended before it was stopped, and is missing from a truncated
 * list. */
BOOST_DATA_TEST_CASE(stopped_task_is_released_by_a_complete_list_only, data::make({ true, false }), truncated)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Unknown }, 900);
    fixture.apply(StopAnswered { first.upstream, first.task, first.run, true }, 910);
    fixture.apply(TasksListed { first.upstream, { 1 }, { 920 }, {}, {}, truncated }, 930);
    fixture.apply(Tick {}, 2000);
    BOOST_TEST(fixture.starts.size() == (truncated ? 1 : 2));
}

/** Guards against tasks of a cancelled job that keep running or are started. */
BOOST_AUTO_TEST_CASE(cancelled_job_is_stopped_and_erased)
{
    SchedulerFixture fixture { { makeUpstream("u1", 1000) } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(2) }) }, 10);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 1);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Started }, 20);
    fixture.apply(JobCancelled { first.task.job }, 100);
    BOOST_TEST(fixture.stops.size() == 1);
    fixture.applyTaskList("u1", {}, { { 1, first.task, first.run, EndKind::Stopped, "" } }, 400);
    BOOST_TEST(fixture.starts.size() == 1);
    BOOST_TEST(fixture.scheduler.jobCount() == 0);
    BOOST_TEST(fixture.scheduler.takeChanges().empty());
}

/** Guards against a step that starts before the steps it depends on are done. */
BOOST_AUTO_TEST_CASE(step_waits_for_all_tasks_of_earlier_steps)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    const jobs::Step second {
        .count = 1, .resources = { 1000, 100, 0 }, .estimate = { 500 }, .after = { 0 }
    };
    fixture.apply(JobAdded { makeJob("j", { makeStep(2), second }) }, 10);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 2);
    fixture.applyTaskList("u1", { { fixture.starts[1].task, fixture.starts[1].run, "", 50 } },
        { { 1, fixture.starts[0].task, fixture.starts[0].run, EndKind::Done, "" } }, 500);
    BOOST_TEST(fixture.starts.size() == 2);
    fixture.applyTaskList(
        "u1", {}, { { 2, fixture.starts[1].task, fixture.starts[1].run, EndKind::Done, "" } }, 600);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 3);
    BOOST_TEST(fixture.starts[2].task.position.step == 1);
}

/** Guards against an occurrence that starts before its scheduled time. */
BOOST_AUTO_TEST_CASE(occurrence_waits_for_its_scheduled_time)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    const jobs::Job job { .id = jobs::JobId { "j" },
        .service = service,
        .steps = { makeStep(1) },
        .occurrences = 2,
        .firstDue = at(1000).wall,
        .interval = { 500 },
        .accepted = at(0).wall };
    fixture.apply(JobAdded { job }, 10);
    fixture.apply(Tick {}, 999);
    BOOST_TEST(fixture.starts.empty());
    fixture.apply(Tick {}, 1000);
    BOOST_TEST(fixture.starts.size() == 1);
    fixture.apply(Tick {}, 1499);
    BOOST_TEST(fixture.starts.size() == 1);
    fixture.apply(Tick {}, 1500);
    BOOST_TEST(fixture.starts.size() == 2);
}

/** Guards against tasks that count as running on an upstream that was restarted with the same id. */
BOOST_AUTO_TEST_CASE(tasks_of_a_restarted_upstream_are_started_again)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Started }, 20);
    fixture.apply(TasksListed { first.upstream, { 2 }, { 500 }, {}, {} }, 500);
    fixture.applyIncarnation("u1", 2, 510);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 2);
    BOOST_TEST((fixture.starts[1].run > first.run));
}

/** Guards against a start that one incarnation did not answer and the next one carries out. */
BOOST_AUTO_TEST_CASE(unanswered_start_is_stopped_on_the_next_incarnation)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(TasksListed { first.upstream, { 2 }, { 500 }, {}, {} }, 500);
    fixture.applyIncarnation("u1", 2, 510);
    BOOST_TEST(fixture.stops.size() == 1);
    BOOST_TEST(fixture.starts.size() == 1);
    fixture.apply(StopAnswered { first.upstream, first.task, first.run, true, { 500 } }, 600);
    fixture.apply(TasksListed { first.upstream, { 2 }, { 700 }, {}, {} }, 710);
    BOOST_TEST(fixture.starts.size() == 2);
}

/** Tasks of a step that may be unavailable at once, and the tasks that a drain stops. */
struct MaxUnavailableRow {
    const std::uint32_t maxUnavailable;
    /** @brief Time since the other upstream listed its two tasks. */
    const std::int64_t listAgeMs;
    const std::size_t stops;

    friend std::ostream& operator<<(std::ostream& out, const MaxUnavailableRow& row)
    {
        return out << row.maxUnavailable
                   << " may be unavailable, age in ms of the list of the other upstream: " << row.listAgeMs;
    }
};

const std::vector<MaxUnavailableRow> maxUnavailableRows {
    { 1, 100, 1 },
    { 2, 100, 2 },
    { 3, 100, 2 },
    { 2, 1600, 2 },
    { 1, 2500, 0 },
    { 2, 2500, 0 },
    { 3, 2500, 1 },
};

/** Guards against a drain that stops more tasks at once than the step allows, or relies on outdated lists. */
BOOST_DATA_TEST_CASE(drain_stops_no_more_tasks_than_may_be_unavailable, data::make(maxUnavailableRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1", 2000), makeUpstream("u2", 2000) } };
    const jobs::Step step {
        .count = 4, .resources = { 1000, 100, 0 }, .longRunning = true, .maxUnavailable = row.maxUnavailable
    };
    fixture.apply(JobAdded { makeJob("j", { step }) }, 10);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 4);
    for (const auto& [id, time] :
        { std::pair { "u2", std::int64_t { 1000 } }, { "u1", 1000 + row.listAgeMs } }) {
        std::vector<RunningTask> running;
        for (const auto& start : fixture.starts) {
            if (start.upstream.text() == id) {
                running.push_back({ start.task, start.run, "", 100 });
            }
        }
        fixture.applyTaskList(id, running, {}, time);
    }
    fixture.apply(DrainsChanged { { { UpstreamId { "u1" }, true } } }, 1000 + row.listAgeMs);
    BOOST_TEST(fixture.stops.size() == row.stops);
    BOOST_TEST(!fixture.scheduler.isDrained(UpstreamId { "u1" }));
}

/** Guards against an upstream that counts as drained before it has listed its tasks to a new owner. */
BOOST_AUTO_TEST_CASE(upstream_of_a_previous_owner_is_not_drained_until_it_lists_its_tasks)
{
    const UpstreamId upstream { "u1" };
    PoolScheduler scheduler { Policy {}, 9, at(0), { upstream } };
    scheduler.apply(DrainsChanged { { { upstream, true } } }, at(0));
    BOOST_TEST(!scheduler.isDrained(upstream));
    scheduler.apply(TasksListed { .upstream = upstream, .born = { 1 } }, at(10));
    BOOST_TEST(scheduler.isDrained(upstream));
}

/** Guards against a task that hangs on a responsive upstream. */
BOOST_AUTO_TEST_CASE(task_without_progress_is_started_elsewhere)
{
    SchedulerFixture fixture { { makeUpstream("u1"), makeUpstream("u2") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    for (std::int64_t time = 500; time <= 4000; time += 500) {
        fixture.applyTaskList(first.upstream.text(), { { first.task, first.run, "", 7 } }, {}, time);
        fixture.apply(Tick {}, time);
    }
    BOOST_TEST(fixture.stops.size() == 1);
    fixture.applyTaskList(
        first.upstream.text(), {}, { { 1, first.task, first.run, EndKind::Stopped, "" } }, 4300);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 2);
    BOOST_TEST((fixture.starts[1].upstream != first.upstream));
}

} // namespace

} // namespace wasabiroad::scheduling::test
