#include "wasabiroad/scheduling/fixture.hpp"

#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

/** A step, and the number of its tasks that start on two upstreams with 4 cores each. */
struct PlacementRow {
    const char* title;
    const jobs::Step step;
    const std::size_t starts;
    const std::size_t upstreams;

    friend std::ostream& operator<<(std::ostream& out, const PlacementRow& row) { return out << row.title; }
};

const std::vector<PlacementRow> rows {
    { "one VM is filled before the next", makeStep(4), 4, 1 },
    { "long-running tasks are spread", { .count = 2, .resources = { 1000, 100, 0 }, .longRunning = true }, 2,
        2 },
    { "as many as fit", makeStep(20), 8, 2 },
    { "cpu of fillers is not counted", { .count = 20, .resources = { 1000, 100, 0 }, .filler = true }, 20,
        2 },
    { "memory of fillers is counted", { .count = 20, .resources = { 1000, 4000, 0 }, .filler = true }, 4, 2 },
    { "limit on one upstream", { .count = 6, .resources = { 100, 100, 0 }, .maxPerUpstream = 2 }, 4, 2 },
    { "label of one upstream", { .count = 2, .resources = { 100, 100, 0 }, .label = "r2" }, 2, 1 },
    { "label that no upstream has", { .count = 2, .resources = { 100, 100, 0 }, .label = "x" }, 0, 0 },
    { "rack of the data", { .count = 2, .resources = { 100, 100, 0 }, .estimate = { 500 }, .dataRack = "r2" },
        2, 1 },
    { "gang that fits", { .count = 8, .resources = { 1000, 100, 0 }, .gang = true }, 8, 2 },
    { "gang that does not fit", { .count = 9, .resources = { 1000, 100, 0 }, .gang = true }, 0, 0 },
    { "gang on one rack", { .count = 4, .resources = { 1000, 100, 0 }, .gang = true, .sameRack = true }, 4,
        1 },
    { "gang with a limit on one upstream",
        { .count = 4, .resources = { 1000, 100, 0 }, .gang = true, .maxPerUpstream = 2 }, 4, 2 },
    { "gang with one task on each upstream",
        { .count = 2, .resources = { 1000, 100, 0 }, .gang = true, .maxPerUpstream = 1 }, 2, 2 },
    { "gang above the limit of all upstreams",
        { .count = 3, .resources = { 1000, 100, 0 }, .gang = true, .maxPerUpstream = 1 }, 0, 0 },
    { "gang on one rack, above the limit of its upstreams",
        { .count = 4, .resources = { 1000, 100, 0 }, .gang = true, .sameRack = true, .maxPerUpstream = 2 }, 4,
        2 },
    { "long-running gang with a limit on one upstream",
        { .count = 4, .resources = { 1000, 100, 0 }, .gang = true, .maxPerUpstream = 3, .longRunning = true },
        4, 2 },
    { "accelerators that no upstream has", { .count = 1, .resources = { 100, 100, 1 } }, 0, 0 },
};

/** Guards against starts that violate a placement limit, and against steps that wait although they fit. */
BOOST_DATA_TEST_CASE(tasks_start_where_they_may, data::make(rows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1", 4000, "r1"), makeUpstream("u2", 4000, "r2") } };
    fixture.apply(JobAdded { makeJob("j", { row.step }) }, 10);
    BOOST_TEST(fixture.starts.size() == row.starts);
    std::map<UpstreamId, std::uint32_t> used;
    std::set<jobs::Run> runs;
    for (const auto& start : fixture.starts) {
        ++used[start.upstream];
        runs.insert(start.run);
    }
    BOOST_TEST(used.size() == row.upstreams);
    for (const auto& [upstream, count] : used) {
        BOOST_TEST((row.step.maxPerUpstream == 0 || count <= row.step.maxPerUpstream));
    }
    BOOST_TEST(runs.size() == (row.step.gang && row.starts > 0 ? 1 : row.starts));
}

/** Events after which an upstream must not get tasks. */
struct UnusableRow {
    const char* title;
    const std::vector<Event> events;

    friend std::ostream& operator<<(std::ostream& out, const UnusableRow& row) { return out << row.title; }
};

UpstreamFacts draining()
{
    const auto facts = makeUpstream("u1");
    return { facts.id, facts.service, facts.address, facts.zone, facts.rack, facts.labels, facts.capacity,
        true, facts.born };
}

const std::vector<UnusableRow> unusableRows {
    { "unresponsive", { UpstreamUnresponsive { UpstreamId { "u1" }, {} } } },
    { "leaving", { MembersListed { { draining() } } } },
    { "not a member", { MembersListed {} } },
    { "to be drained", { DrainsChanged { { { UpstreamId { "u1" }, true } } } } },
    { "to be drained before it is a member",
        { MembersListed {}, DrainsChanged { { { UpstreamId { "u1" }, true } } },
            MembersListed { { makeUpstream("u1") } },
            TasksListed { .upstream = UpstreamId { "u1" }, .born = { 1 } } } },
    { "runs a task of an unknown job",
        { TasksListed { .upstream = UpstreamId { "u1" },
            .born = { 1 },
            .running = { { { jobs::JobId { "foreign" }, {} }, { 1 } } } } } },
    { "replaced by another", { UpstreamReplaced { UpstreamId { "u1" } } } },
};

/** Guards against starts on upstreams that leave, are unreachable or have unknown free resources. */
BOOST_DATA_TEST_CASE(upstream_gets_no_tasks, data::make(unusableRows), row)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    for (const auto& event : row.events) {
        fixture.apply(event, 5);
    }
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    BOOST_TEST(fixture.starts.empty());
}

/** @return Facts of the upstream "u1" with another start time and label. */
UpstreamFacts makeIncarnation(std::int64_t born, const std::string& label, std::int64_t cpu = 4000)
{
    const auto facts = makeUpstream("u1", cpu);
    return { .id = facts.id,
        .service = facts.service,
        .address = facts.address,
        .zone = facts.zone,
        .rack = facts.rack,
        .labels = { label },
        .capacity = facts.capacity,
        .born = { born } };
}

TasksListed makeList(std::int64_t born, std::int64_t sent)
{
    return { .upstream = UpstreamId { "u1" }, .born = { born }, .sent = { sent } };
}

/** What becomes known of an upstream that restarts, and the tasks that start on it. */
struct IncarnationRow {
    const char* title;
    const std::vector<Event> events;
    const std::size_t starts;

    friend std::ostream& operator<<(std::ostream& out, const IncarnationRow& row) { return out << row.title; }
};

const std::vector<IncarnationRow> incarnations {
    { "the same incarnation", { makeList(1, 20) }, 2 },
    { "its list first", { makeList(2, 20) }, 0 },
    { "its facts first", { MembersListed { { makeIncarnation(2, "kind") } } }, 0 },
    { "the same kind", { makeList(2, 20), MembersListed { { makeIncarnation(2, "kind") } } }, 2 },
    { "another kind", { makeList(2, 20), MembersListed { { makeIncarnation(2, "other") } } }, 0 },
    { "another capacity", { makeList(2, 20), MembersListed { { makeIncarnation(2, "kind", 1000) } } }, 1 },
    { "its facts first, the same kind", { MembersListed { { makeIncarnation(2, "kind") } }, makeList(2, 20) },
        2 },
    { "facts of an earlier one, after its own",
        { makeList(2, 20), MembersListed { { makeIncarnation(2, "kind") } },
            MembersListed { { makeIncarnation(1, "kind") } } },
        0 },
    { "facts without a start time", { MembersListed { { makeIncarnation(0, "kind") } }, makeList(2, 20) },
        2 },
    { "a list without a start time", { makeList(0, 20) }, 2 },
};

/** Guards against starts on a restarted upstream by the labels and the capacity of its earlier incarnation.
 */
BOOST_DATA_TEST_CASE(restarted_upstream_gets_tasks_by_its_own_facts, data::make(incarnations), row)
{
    SchedulerFixture fixture { { makeIncarnation(1, "kind") } };
    for (const auto& event : row.events) {
        fixture.apply(event, 20);
    }
    const jobs::Step step { .count = 2, .resources = { 1000, 100, 0 }, .estimate = { 500 }, .label = "kind" };
    fixture.apply(JobAdded { makeJob("j", { step }) }, 30);
    BOOST_TEST(fixture.starts.size() == row.starts);
}

/** Guards against a job that can still meet its due time waiting behind one that cannot. */
BOOST_AUTO_TEST_CASE(late_job_waits_behind_one_in_time)
{
    SchedulerFixture fixture { { makeUpstream("u1", 1000) } };
    fixture.apply(JobAdded { makeJob("busy", { makeStep(1) }) }, 0);
    const auto first = fixture.starts.front();
    fixture.apply(JobAdded { makeJob("a-late", { makeStep(1) }) }, 10);
    const auto late = makeJob("b-new", { makeStep(1) });
    const jobs::Job fresh { .id = late.id,
        .queue = late.queue,
        .service = service,
        .steps = late.steps,
        .accepted = at(9000).wall,
        .maxAttempts = 3,
        .stretch = 2,
        .allowance = { 1000 } };
    fixture.apply(JobAdded { fresh }, 9000);
    fixture.applyTaskList("u1", {}, { { 1, first.task, first.run, EndKind::Done, "" } }, 9100);
    BOOST_REQUIRE_EQUAL(fixture.starts.size(), 2);
    BOOST_TEST(fixture.starts[1].task.job.text() == "b-new");
}

/** Guards against starts by an owner that may have been replaced. */
BOOST_AUTO_TEST_CASE(inactive_owner_starts_nothing)
{
    SchedulerFixture fixture { { makeUpstream("u1") } };
    fixture.scheduler.setActive(false);
    fixture.apply(JobAdded { makeJob("j", { makeStep(1) }) }, 10);
    BOOST_TEST(fixture.starts.empty());
    fixture.scheduler.setActive(true);
    fixture.apply(Tick {}, 20);
    BOOST_TEST(fixture.starts.size() == 1);
}

} // namespace

} // namespace wasabiroad::scheduling::test
