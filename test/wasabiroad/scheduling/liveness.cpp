#include "wasabiroad/scheduling/fixture.hpp"

#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

/** A list that does not contain a run, and the stops ordered after it. */
struct UnlistedRow {
    const char* title;
    const bool longRunning;
    /** @brief When the call for the list was sent; the start is answered at 1000 ms. */
    const std::int64_t sent;
    const bool moreEnds;
    const std::size_t stops;

    friend std::ostream& operator<<(std::ostream& out, const UnlistedRow& row) { return out << row.title; }
};

const std::vector<UnlistedRow> unlistedRows {
    { "list requested after the answer", false, 1100, false, 1 },
    { "list of a long-running task", true, 1100, false, 1 },
    { "list requested before the answer", true, 900, false, 0 },
    { "truncated list", true, 1100, true, 0 },
};

/** Guards against a run that no upstream lists any more and that counts as running forever. */
BOOST_DATA_TEST_CASE(run_that_is_not_listed_any_more_is_started_again, data::make(unlistedRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    const jobs::Step step { .count = 1, .resources = { 1000, 100, 0 }, .longRunning = row.longRunning };
    fixture.apply(JobAdded { makeJob("j", { step }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Started }, 1000);
    fixture.apply(TasksListed { first.upstream, { 1 }, { row.sent }, {}, {}, row.moreEnds }, 1200);
    BOOST_TEST(fixture.stops.size() == row.stops);
    // The run may still be carried out until its stop is answered.
    BOOST_TEST(fixture.starts.size() == 1);
    fixture.apply(StopAnswered { first.upstream, first.task, first.run, true }, 1300);
    fixture.apply(TasksListed { first.upstream, { 1 }, { 1400 }, {}, {}, row.moreEnds }, 1500);
    BOOST_TEST(fixture.starts.size() == 1 + row.stops);
}

/** Guards against a second run of a task whose start was answered by an incarnation of its upstream that had
 * not listed its tasks yet. */
BOOST_DATA_TEST_CASE(run_on_an_unnoticed_incarnation_goes_on, data::make({ true, false }), runs)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Started }, 100);
    fixture.apply(TasksListed { first.upstream, { 2 }, { 50 }, {}, {} }, 110);
    fixture.applyIncarnation("u1", 2, 115);
    BOOST_TEST(fixture.starts.size() == 1);
    std::vector<RunningTask> running;
    if (runs) {
        running.push_back({ first.task, first.run, "", 10 });
    }
    fixture.apply(TasksListed { first.upstream, { 2 }, { 200 }, running, {} }, 210);
    BOOST_TEST(fixture.stops.size() == (runs ? 0 : 1));
    fixture.apply(StopAnswered { first.upstream, first.task, first.run, true, { 290 } }, 300);
    fixture.apply(TasksListed { first.upstream, { 2 }, { 400 }, running, {} }, 410);
    BOOST_TEST(fixture.starts.size() == (runs ? 1 : 2));
}

/** Guards against a start that is never answered and occupies its upstream forever. */
BOOST_DATA_TEST_CASE(start_without_any_answer_is_resolved, data::make({ true, false }), listsTasks)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    // The other upstream joins later, so the task starts on the one that does not answer.
    fixture.apply(MembersListed { { makeUpstream("u1"), makeUpstream("u2") } }, 20);
    constexpr std::int64_t end = 15000;
    for (std::int64_t time = 500; time < end; time += 500) {
        if (listsTasks) {
            fixture.applyTaskList("u1", {}, {}, time);
        }
        fixture.applyTaskList("u2", {}, {}, time);
        if (!fixture.stops.empty() && listsTasks) {
            const auto& stop = fixture.stops.back();
            fixture.apply(StopAnswered { stop.upstream, stop.task, stop.run, true }, time + 10);
        }
        fixture.apply(Tick {}, time + 20);
        BOOST_TEST((fixture.starts.size() == 1 || !listsTasks || !fixture.stops.empty()));
    }
    BOOST_REQUIRE_GE(fixture.starts.size(), 2);
    BOOST_TEST((fixture.starts[1].run > first.run));
}

/** Guards against a task that waits forever for the answer to a stop, and against one that is started while
 * its first start may still be carried out. */
BOOST_AUTO_TEST_CASE(rejected_stop_of_an_unanswered_start_is_resolved_when_the_start_has_expired)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Unknown }, 810);
    const auto expired = 10 + Policy {}.maxLeaseDuration.milliseconds;
    for (std::int64_t time = 1000; time < 2 * expired; time += 500) {
        fixture.apply(StopAnswered { first.upstream, first.task, first.run, false }, time);
        fixture.applyTaskList("u1", {}, {}, time);
        fixture.apply(Tick {}, time + 10);
        BOOST_TEST((time > expired || fixture.starts.size() == 1));
    }
    BOOST_TEST(fixture.starts.size() == 2);
}

/** Guards against a time at which an occurrence begins that is forgotten when a previous owner, whose clock
 * is ahead, has started a task of it. */
BOOST_AUTO_TEST_CASE(occurrence_that_was_started_early_continues_on_time)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makePeriodicJob("j", { makeStep(2) }, 1, at(1000).wall, { 500 }) }, 10);
    const jobs::TaskId early { jobs::JobId { "j" }, { 0, 0, 0 } };
    fixture.applyTaskList("u1", { { early, { 3 }, "", 10 } }, {}, 900);
    BOOST_TEST(fixture.starts.empty());
    fixture.apply(Tick {}, 1000);
    BOOST_TEST(fixture.starts.size() == 1);
}

/** Upstreams on which tasks of several jobs fail, and those that get tasks afterwards. */
struct FailuresRow {
    const std::size_t failing;
    const std::set<std::string> usable;

    friend std::ostream& operator<<(std::ostream& out, const FailuresRow& row)
    {
        return out << row.failing << " of 4 upstreams fail tasks";
    }
};

const std::vector<FailuresRow> failuresRows {
    { 1, { "u1", "u2", "u3" } },
    { 2, { "u2", "u3" } },
    { 4, { "u2", "u3" } },
};

/** Guards against faulty jobs that make all upstreams of a pool suspect, so that no task starts. */
BOOST_DATA_TEST_CASE(faulty_jobs_leave_upstreams_usable, data::make(failuresRows), row)
{
    constexpr std::size_t count = 4;
    std::vector<UpstreamFacts> members;
    for (std::size_t index = 0; index < count; ++index) {
        members.push_back(makeUpstream("u" + std::to_string(index), 1000));
    }
    SchedulerFixture fixture { members };
    std::uint64_t number = 0;
    for (const auto* const name : { "a", "b" }) {
        fixture.apply(JobAdded { makeJob(name, { makeStep(count) }) }, 10);
        ++number;
        for (std::size_t index = 0; index < row.failing; ++index) {
            const jobs::TaskId task { jobs::JobId { name }, { 0, 0, static_cast<std::uint32_t>(index) } };
            fixture.applyTaskList(
                "u" + std::to_string(index), {}, { { number, task, { number }, EndKind::Failed, "" } }, 20);
        }
        fixture.apply(JobCancelled { jobs::JobId { name } }, 30);
    }
    const auto startedBefore = fixture.starts.size();
    for (std::size_t index = 0; index < startedBefore; ++index) {
        const auto start = fixture.starts[index];
        fixture.applyTaskList(
            start.upstream.text(), {}, { { 10 + index, start.task, start.run, EndKind::Stopped, "" } }, 50);
    }
    fixture.apply(JobAdded { makeJob("sound", { makeStep(count) }) }, 300);
    std::set<std::string> used;
    for (std::size_t index = startedBefore; index < fixture.starts.size(); ++index) {
        used.insert(fixture.starts[index].upstream.text());
    }
    BOOST_TEST(used == row.usable, boost::test_tools::per_element());
}

/** Estimate of a task whose data is on a rack without upstreams, and when it starts elsewhere. */
struct RackRow {
    const std::int64_t estimateTime;
    const std::int64_t startMs;

    friend std::ostream& operator<<(std::ostream& out, const RackRow& row)
    {
        return out << "estimate " << row.estimateTime << " ms";
    }
};

const std::vector<RackRow> rackRows { { 500, 500 }, { 2000, 2000 }, { 30000, 2000 } };

/** Guards against a long task that waits for the rack of its data although other racks have room. */
BOOST_DATA_TEST_CASE(task_waits_briefly_for_the_rack_of_its_data, data::make(rackRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1", 4000, "r1") } };
    const jobs::Step step {
        .count = 1, .resources = { 100, 100, 0 }, .estimate = { row.estimateTime }, .dataRack = "r2"
    };
    fixture.apply(JobAdded { makeJob("j", { step }) }, 0);
    fixture.apply(Tick {}, row.startMs - 1);
    BOOST_TEST(fixture.starts.empty());
    fixture.apply(Tick {}, row.startMs);
    BOOST_TEST(fixture.starts.size() == 1);
}

/** A long-running step of two tasks, one on each of two upstreams, and the stops of a drain of one. */
struct DestinationRow {
    const char* title;
    const std::uint32_t maxPerUpstream;
    const bool hasThirdUpstream;
    const bool stopsTasks;
    const std::size_t stopsAtOnce;
    const std::size_t stopsAfterTimeout;

    friend std::ostream& operator<<(std::ostream& out, const DestinationRow& row) { return out << row.title; }
};

const std::vector<DestinationRow> destinationRows {
    { "another upstream takes it", 1, true, false, 1, 1 },
    { "the other upstream takes it", 2, false, false, 1, 1 },
    { "no upstream takes it", 1, false, false, 0, 0 },
    { "no upstream takes it before maintenance", 1, false, true, 0, 1 },
};

/** Guards against a drain that stops a long-running task which no other upstream may run. */
BOOST_DATA_TEST_CASE(drain_stops_tasks_that_another_upstream_may_run, data::make(destinationRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1"), makeUpstream("u2") } };
    const jobs::Step step {
        .count = 2, .resources = { 1000, 100, 0 }, .maxPerUpstream = row.maxPerUpstream, .longRunning = true
    };
    fixture.apply(JobAdded { makeJob("j", { step }) }, 10);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 2);
    if (row.hasThirdUpstream) {
        fixture.apply(MembersListed { { makeUpstream("u1"), makeUpstream("u2"), makeUpstream("u3") } }, 20);
        fixture.applyTaskList("u3", {}, {}, 30);
    }
    const auto list = [&](std::int64_t time) {
        for (const auto& start : fixture.starts) {
            fixture.applyTaskList(start.upstream.text(), { { start.task, start.run, "", 100 } }, {}, time);
        }
    };
    list(100);
    fixture.apply(DrainsChanged { { { UpstreamId { "u1" }, row.stopsTasks } } }, 200);
    BOOST_TEST(fixture.stops.size() == row.stopsAtOnce);
    if (!fixture.stops.empty()) {
        const auto stop = fixture.stops.front();
        fixture.apply(StopAnswered { stop.upstream, stop.task, stop.run, true }, 300);
    }
    const auto timeout = 200 + Policy {}.drainTimeout.milliseconds;
    list(timeout);
    fixture.apply(Tick {}, timeout);
    BOOST_TEST(fixture.stops.size() == row.stopsAfterTimeout);
}

} // namespace

} // namespace wasabiroad::scheduling::test
