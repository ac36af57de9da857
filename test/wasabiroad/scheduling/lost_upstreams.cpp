#include "wasabiroad/scheduling/fixture.hpp"

#include <functional>
#include <optional>
#include <utility>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

/** State of a task as the VM of its upstream is found to be down, and whether it starts elsewhere at once. */
struct DownRow {
    const char* title;
    const bool isAnswered;
    const bool isAnswering;
    const std::size_t starts;

    friend std::ostream& operator<<(std::ostream& out, const DownRow& row) { return out << row.title; }
};

const std::vector<DownRow> downRows {
    { "it runs", true, false, 2 },
    { "its start is not answered and may still be carried out", false, false, 1 },
    { "its upstream answers", true, true, 1 },
};

/** Guards against tasks that wait for the lease of an upstream that does not exist any more. */
BOOST_DATA_TEST_CASE(task_of_an_upstream_that_is_down_starts_elsewhere, data::make(downRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    if (row.isAnswered) {
        fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Started }, 20);
    }
    fixture.apply(MembersListed { { makeUpstream("u1"), makeUpstream("u2") } }, 30);
    fixture.applyTaskList("u2", {}, {}, 40);
    if (!row.isAnswering) {
        fixture.apply(UpstreamUnresponsive { first.upstream, { 20 } }, 50);
    }
    fixture.apply(UpstreamDown { first.upstream }, 1100);
    BOOST_TEST(fixture.starts.size() == row.starts);
}

/** Guards against takeovers that wait for the leases of an upstream that is down. */
BOOST_AUTO_TEST_CASE(takeover_does_not_wait_for_an_upstream_that_is_down)
{
    const UpstreamId down { "u1" };
    PoolScheduler scheduler { Policy {}, 5, at(0), { down, UpstreamId { "u2" } } };
    scheduler.apply(MembersListed { { makeUpstream("u2") } }, at(0));
    scheduler.apply(JobAdded { makeJob("j", { makeStep(1) }), {}, true }, at(10));
    scheduler.apply(TasksListed { UpstreamId { "u2" }, { 1 }, { 20 } }, at(30));
    BOOST_TEST((scheduler.unheardUpstreams() == std::vector { down }));
    BOOST_TEST(scheduler.apply(Tick {}, at(1000)).empty());
    BOOST_TEST(scheduler.apply(UpstreamDown { down }, at(1100)).size() == 1);
    BOOST_TEST(scheduler.unheardUpstreams().empty());
}

/** What is known of a start on an upstream as it becomes unresponsive, and until when its lease may last. */
struct LeaseRow {
    const char* title;
    const std::function<void(SchedulerFixture&, const StartTask&)> learn;
    /** @brief Last time, in ms, at which the task may still run there. */
    const std::int64_t leaseEnd;

    friend std::ostream& operator<<(std::ostream& out, const LeaseRow& row) { return out << row.title; }
};

const Policy leasePolicy { .maxLeaseDuration = { 4480 }, .maxGrantedLease = { 7320 } };

/** When the last call that renews leases was sent, in ms. */
constexpr std::int64_t renewed = 60;

void answer(SchedulerFixture& fixture, const StartTask& start, StartResult result, bool restarted)
{
    fixture.apply(StartAnswered { start.upstream, start.task, start.run, result, restarted }, 20);
}

void list(SchedulerFixture& fixture, const StartTask& start, std::int64_t born)
{
    fixture.apply(TasksListed { start.upstream, { born }, { 40 }, { { start.task, start.run, "", 1 } } }, 50);
}

const std::vector<LeaseRow> leaseRows {
    { "it was answered",
        [](auto& fixture, const auto& start) { answer(fixture, start, StartResult::Started, false); },
        renewed + 4480 },
    { "it was not answered",
        [](auto& fixture, const auto& start) { answer(fixture, start, StartResult::Unknown, false); },
        renewed + 7320 },
    { "it was not answered, and is listed",
        [](auto& fixture, const auto& start) {
            answer(fixture, start, StartResult::Unknown, false);
            list(fixture, start, 1);
        },
        renewed + 4480 },
    { "another incarnation has answered",
        [](auto& fixture, const auto& start) { answer(fixture, start, StartResult::Started, true); },
        renewed + 7320 },
    { "another incarnation has answered and lists it",
        [](auto& fixture, const auto& start) {
            answer(fixture, start, StartResult::Started, true);
            list(fixture, start, 2);
        },
        50 + 7320 },
};

/** Guards against a second run while the first has a longer lease than was asked for. */
BOOST_DATA_TEST_CASE(task_of_a_silent_upstream_waits_for_its_lease, data::make(leaseRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") }, 5, leasePolicy };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    row.learn(fixture, first);
    fixture.apply(MembersListed { { makeUpstream("u1"), makeUpstream("u2") } }, 50);
    fixture.apply(UpstreamUnresponsive { first.upstream, { renewed } }, 100);
    fixture.apply(TasksListed { UpstreamId { "u2" }, { 1 }, { row.leaseEnd - 10 } }, row.leaseEnd - 5);
    BOOST_TEST((fixture.scheduler.leaseLeft(first.upstream, { renewed }, at(1000))
        == kernel::Duration { row.leaseEnd - 1000 }));
    fixture.apply(Tick {}, row.leaseEnd);
    BOOST_TEST(fixture.starts.size() == 1);
    fixture.apply(Tick {}, row.leaseEnd + 1);
    BOOST_TEST(fixture.starts.size() == 2);
}

/** An incarnation that lists its tasks after a start was not answered, and the stop that is answered. */
struct StopRow {
    const char* title;
    const std::int64_t born;
    /** @brief When the stop was sent that is answered at 950 ms, after the list; nothing if none is. */
    const std::optional<std::int64_t> answeredStop;
    /** @brief Starts once a list has been requested after that answer, once the same incarnation would reject
     * the start as too late, and once no incarnation carries it out any more. */
    const std::size_t starts;
    const std::size_t startsLater;
    const std::size_t startsInTheEnd;

    friend std::ostream& operator<<(std::ostream& out, const StopRow& row) { return out << row.title; }
};

const std::vector<StopRow> stopRows {
    { "the same, and a stop was answered", 1, 820, 2, 2, 2 },
    { "the same", 1, std::nullopt, 1, 2, 2 },
    { "the next, and the former one has answered", 2, 820, 1, 1, 2 },
    { "the next, and it has answered", 2, 910, 2, 2, 2 },
    { "the next", 2, std::nullopt, 1, 1, 2 },
};

/** Guards against a start for an earlier incarnation that the next one carries out beside a second run. */
BOOST_DATA_TEST_CASE(unanswered_start_is_stopped_on_each_incarnation, data::make(stopRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") }, 5, leasePolicy };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Unknown }, 810);
    fixture.apply(TasksListed { first.upstream, { row.born }, { 900 } }, 910);
    fixture.applyIncarnation("u1", row.born, 915);
    fixture.apply(Tick {}, 920);
    BOOST_TEST(fixture.stops.size() == static_cast<std::size_t>(row.born));
    if (row.answeredStop) {
        fixture.apply(
            StopAnswered { first.upstream, first.task, first.run, true, { *row.answeredStop } }, 950);
    }
    fixture.apply(TasksListed { first.upstream, { row.born }, { 960 } }, 970);
    fixture.apply(Tick {}, 2000);
    BOOST_TEST(fixture.starts.size() == row.starts);
    for (const auto& [time, starts] :
        { std::pair { 8000, row.startsLater }, { 20100, row.startsInTheEnd } }) {
        std::vector<RunningTask> running;
        if (fixture.starts.size() == 2) {
            running.push_back({ first.task, fixture.starts.back().run, "", time / 1000 });
        }
        fixture.apply(TasksListed { first.upstream, { row.born }, { time }, running }, time + 10);
        BOOST_TEST(fixture.starts.size() == starts);
    }
}

/** Guards against a task that waits for ever since an upstream that has restarted answers no stop of a run
 * that ended with its earlier incarnation. */
BOOST_DATA_TEST_CASE(stopped_run_ends_with_its_incarnation, data::make({ true, false }), listed)
{
    SchedulerFixture fixture { { makeUpstream("u1") }, 5, leasePolicy };
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(StartAnswered { first.upstream, first.task, first.run, StartResult::Started }, 20);
    if (listed) {
        fixture.applyTaskList("u1", { { first.task, first.run, "", 1 } }, {}, 50);
    }
    fixture.applyTaskList("u1", {}, {}, 100);
    BOOST_REQUIRE_EQUAL(fixture.stops.size(), 1);
    BOOST_TEST(fixture.starts.size() == 1);
    fixture.apply(TasksListed { first.upstream, { 2 }, { 200 } }, 210);
    fixture.applyIncarnation("u1", 2, 220);
    BOOST_TEST(fixture.starts.size() == 2);
}

/** A list after a start of a step with limited unavailability that was not answered. */
struct FencedRow {
    const char* title;
    /** @brief Fencing tokens of the start and of the list; 0 if unknown. */
    const std::uint64_t startFence;
    const std::uint64_t listFence;
    const bool listsRun;
    const std::int64_t born;
    const std::size_t starts;
    const std::size_t stops;

    friend std::ostream& operator<<(std::ostream& out, const FencedRow& row) { return out << row.title; }
};

const std::vector<FencedRow> fencedRows {
    { "the upstream may still carry it out", 5, 5, false, 1, 1, 0 },
    { "the upstream rejects it", 5, 6, false, 1, 2, 0 },
    { "the upstream has carried it out", 5, 6, true, 1, 1, 0 },
    { "the next incarnation rejects it", 5, 6, false, 2, 2, 0 },
    { "its token is not known", 0, 6, false, 1, 1, 1 },
};

/** Guards against a stop that ends a task at work since its start is carried out after a list without it
 * (AVAIL). */
BOOST_DATA_TEST_CASE(unanswered_start_is_given_up_once_it_is_fenced, data::make(fencedRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    const jobs::Step step {
        .count = 1, .resources = { 1000, 100, 0 }, .longRunning = true, .maxUnavailable = 1
    };
    fixture.apply(JobAdded { makeJob("j", { step }) }, 10);
    const auto first = fixture.starts.front();
    fixture.apply(
        StartAnswered { first.upstream, first.task, first.run, StartResult::Unknown, false, row.startFence },
        810);
    std::vector<RunningTask> running;
    if (row.listsRun) {
        running.push_back({ first.task, first.run, "", 100 });
    }
    fixture.apply(
        TasksListed { first.upstream, { row.born }, { 900 }, running, {}, false, row.listFence }, 910);
    fixture.applyIncarnation("u1", row.born, 920);
    // The upstream is not used for a while after a start without an answer.
    fixture.apply(Tick {}, 810 + Policy {}.refusalRetryDelay.milliseconds + 100);
    BOOST_TEST(fixture.starts.size() == row.starts);
    BOOST_TEST(fixture.stops.size() == row.stops);
}

} // namespace

} // namespace wasabiroad::scheduling::test
