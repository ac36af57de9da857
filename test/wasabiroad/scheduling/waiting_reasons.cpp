#include "wasabiroad/scheduling/waiting_reasons.hpp"

#include "wasabiroad/scheduling/fixture.hpp"

#include <functional>
#include <map>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

const UpstreamId upstreamId { "u1" };

/** @brief A scheduler and the starts that it ordered. */
class Situation {
public:
    explicit Situation(const Policy& policy = {}, const std::vector<UpstreamId>& used = {})
        : scheduler(policy, 5, at(0), used)
    {
    }

    Situation& apply(const Event& event, std::int64_t time)
    {
        for (const auto& order : this->scheduler.apply(event, at(time))) {
            if (const auto* const start = std::get_if<StartTask>(&order)) {
                this->starts.push_back(*start);
            }
        }
        return *this;
    }

    /** @brief Adds a member that has listed its tasks, if it is to. */
    Situation& addUpstream(const UpstreamFacts& facts = makeUpstream(upstreamId.text()), bool lists = true)
    {
        apply(MembersListed { { facts } }, 0);
        return lists ? apply(TasksListed { .upstream = facts.id, .born = facts.born }, 0) : *this;
    }

    /** @brief Adds a job with one step, which a previous owner may have started. */
    Situation& addJob(const jobs::Step& step, bool mayHaveStarted = false)
    {
        return apply(JobAdded { makeJob("j", { step }), {}, mayHaveStarted }, 10);
    }

    /** @brief Answers a start that was ordered. */
    Situation& answer(std::size_t start, StartResult result, std::int64_t time)
    {
        const auto answered = this->starts.at(start);
        return apply(StartAnswered { answered.upstream, answered.task, answered.run, result }, time);
    }

    PoolScheduler scheduler;
    std::vector<StartTask> starts {};
};

jobs::Step makeGang(std::uint32_t count)
{
    return { .count = count, .resources = { 1000, 100, 0 }, .estimate = { 500 }, .gang = true };
}

jobs::Step makeLabelled(const std::string& label)
{
    return { .count = 1, .resources = { 1000, 100, 0 }, .estimate = { 500 }, .label = label };
}

UpstreamFacts makeDraining()
{
    const auto facts = makeUpstream(upstreamId.text());
    return { .id = facts.id,
        .service = facts.service,
        .address = facts.address,
        .zone = facts.zone,
        .rack = facts.rack,
        .labels = facts.labels,
        .capacity = facts.capacity,
        .draining = true,
        .born = facts.born };
}

using TaskCounts = std::map<WaitReason, std::size_t>;

/** A situation, and the tasks that wait in it by reason. */
struct TaskRow {
    const char* title;
    const std::function<void(Situation&)> arrange;
    const TaskCounts waiting;
    const std::size_t fitting;
    const Policy policy {};
    const std::vector<UpstreamId> used {};

    friend std::ostream& operator<<(std::ostream& out, const TaskRow& row) { return out << row.title; }
};

const std::vector<TaskRow> taskRows {
    { "no task", [](Situation& now) { now.addUpstream(); }, {}, 0 },
    { "tasks that run", [](Situation& now) { now.addUpstream().addJob(makeStep(2)); }, {}, 0 },
    { "no upstream", [](Situation& now) { now.addJob(makeStep(3)); }, { { WaitReason::Blocked, 3 } }, 0 },
    { "a full upstream", [](Situation& now) { now.addUpstream().addJob(makeStep(6)); },
        { { WaitReason::Blocked, 2 } }, 0 },
    { "no upstream with the label", [](Situation& now) { now.addUpstream().addJob(makeLabelled("other")); },
        { { WaitReason::Blocked, 1 } }, 0 },
    { "a limit of tasks per upstream",
        [](Situation& now) {
            now.addUpstream().addJob(
                { .count = 3, .resources = { 1000, 100, 0 }, .estimate = { 500 }, .maxPerUpstream = 1 });
        },
        { { WaitReason::Blocked, 2 } }, 1 },
    { "starts of a previous owner", [](Situation& now) { now.addUpstream().addJob(makeStep(2), true); },
        { { WaitReason::Unresolved, 2 } }, 1, {}, { UpstreamId { "u2" } } },
    { "a start that was not carried out",
        [](Situation& now) { now.addUpstream().addJob(makeStep(2)).answer(0, StartResult::NotTried, 190); },
        { { WaitReason::Delayed, 1 } }, 1 },
    { "a gang with a start that was not carried out",
        [](Situation& now) {
            now.addUpstream()
                .addJob(makeGang(2))
                .answer(0, StartResult::NotTried, 20)
                .answer(1, StartResult::NotTried, 190);
        },
        { { WaitReason::Gang, 1 }, { WaitReason::Delayed, 1 } }, 1 },
    { "starts that are held",
        [](Situation& now) {
            now.addUpstream();
            now.scheduler.setActive(false);
            now.addJob(makeStep(2));
        },
        { { WaitReason::Startable, 2 } }, 1 },
    { "the maximum number of unanswered starts",
        [](Situation& now) { now.addUpstream().addJob(makeStep(3)); }, { { WaitReason::Startable, 1 } }, 1,
        Policy { .maxStartsInFlight = 2 } },
    { "a cancelled job",
        [](Situation& now) { now.addJob(makeStep(2)).apply(JobCancelled { jobs::JobId { "j" } }, 20); }, {},
        0 },
};

/** Guards against a waiting task whose log does not tell why it waits. */
BOOST_DATA_TEST_CASE(each_waiting_task_is_counted_by_its_reason, data::make(taskRows), row)
{
    Situation situation { row.policy, row.used };
    row.arrange(situation);
    const auto reasons = situation.scheduler.waitingReasons(at(230));
    TaskCounts counts;
    std::size_t total = 0;
    std::size_t fitting = 0;
    for (const auto& [reason, tasks] : reasons.tasks) {
        counts.emplace(reason, tasks.count);
        total += tasks.count;
        fitting = std::max(fitting, tasks.fitting);
    }
    BOOST_TEST((counts == row.waiting));
    BOOST_TEST(fitting == row.fitting);
    BOOST_TEST(reasons.readyCount() == total);
    BOOST_TEST(reasons.unreconciled == row.used.size());
    BOOST_TEST(reasons.atStartLimit == (row.policy.maxStartsInFlight == 2));
    BOOST_TEST((reasons == situation.scheduler.waitingReasons(at(230))));
}

/** A situation with one upstream, and its condition. */
struct UpstreamRow {
    const char* title;
    const std::function<void(Situation&)> arrange;
    const UpstreamCondition condition;
    const Policy policy {};

    friend std::ostream& operator<<(std::ostream& out, const UpstreamRow& row) { return out << row.title; }
};

const std::vector<UpstreamRow> upstreamRows {
    { "it may get tasks", [](Situation& now) { now.addUpstream(); }, UpstreamCondition::Indexed },
    { "it is full", [](Situation& now) { now.addUpstream().addJob(makeStep(4)); },
        UpstreamCondition::Indexed },
    { "it has left", [](Situation& now) { now.addUpstream().apply(MembersListed {}, 20); },
        UpstreamCondition::NotMember },
    { "it has not answered", [](Situation& now) { now.addUpstream(makeUpstream(upstreamId.text()), false); },
        UpstreamCondition::Unlisted },
    { "it does not answer any more",
        [](Situation& now) { now.addUpstream().apply(UpstreamUnresponsive { upstreamId }, 20); },
        UpstreamCondition::Unlisted },
    { "it runs an unknown task",
        [](Situation& now) {
            const RunningTask unknown { .task = { jobs::JobId { "other" }, {} }, .run = { 1 } };
            now.addUpstream().apply(
                TasksListed { .upstream = upstreamId, .born = { 1 }, .running = { unknown } }, 20);
        },
        UpstreamCondition::UnknownTasks },
    { "it is to be drained",
        [](Situation& now) { now.addUpstream().apply(DrainsChanged { { { upstreamId } } }, 20); },
        UpstreamCondition::Drained },
    { "it is to be drained and not a member any more",
        [](Situation& now) {
            now.addUpstream().apply(DrainsChanged { { { upstreamId } } }, 20).apply(MembersListed {}, 25);
        },
        UpstreamCondition::Drained },
    { "it has restarted",
        [](Situation& now) {
            now.addUpstream().apply(TasksListed { .upstream = upstreamId, .born = { 2 } }, 20);
        },
        UpstreamCondition::OutdatedFacts },
    { "it is draining", [](Situation& now) { now.addUpstream(makeDraining()); },
        UpstreamCondition::Draining },
    { "it refused a start",
        [](Situation& now) { now.addUpstream().addJob(makeStep(1)).answer(0, StartResult::Refused, 20); },
        UpstreamCondition::Suspect },
    { "it has too many unanswered starts", [](Situation& now) { now.addUpstream().addJob(makeStep(4)); },
        UpstreamCondition::StartLimit, Policy { .maxStartsInFlightPerUpstream = 2 } },
    { "it has answered while starts were held",
        [](Situation& now) {
            now.scheduler.setActive(false);
            now.addUpstream();
        },
        UpstreamCondition::Unindexed },
};

/** Guards against an upstream without new tasks whose log does not tell why. */
BOOST_DATA_TEST_CASE(each_upstream_is_counted_by_its_condition, data::make(upstreamRows), row)
{
    Situation situation { row.policy };
    row.arrange(situation);
    const auto reasons = situation.scheduler.waitingReasons(at(30));
    BOOST_TEST(reasons.upstreams.size() == 1);
    BOOST_TEST(reasons.count(row.condition) == 1);
    BOOST_TEST(reasons.unansweredStarts == reasons.phases.starting);
}

/** A situation, and the longest wait 1 s after its begin. */
struct WaitRow {
    const char* title;
    const std::function<void(Situation&)> arrange;
    const std::int64_t waited;

    friend std::ostream& operator<<(std::ostream& out, const WaitRow& row) { return out << row.title; }
};

const std::vector<WaitRow> waitRows {
    { "since the job was added", [](Situation& now) { now.addJob(makeStep(1)); }, 990 },
    { "since the start failed",
        [](Situation& now) { now.addUpstream().addJob(makeStep(1)).answer(0, StartResult::NoRoom, 300); },
        700 },
    { "since the step before was completed",
        [](Situation& now) {
            const jobs::Step second {
                .count = 1, .resources = { 9000, 100, 0 }, .estimate = { 500 }, .after = { 0 }
            };
            now.addUpstream().apply(JobAdded { makeJob("j", { makeStep(1), second }) }, 10);
            const auto start = now.starts.at(0);
            now.apply(TasksListed { .upstream = upstreamId,
                          .born = { 1 },
                          .sent = { 600 },
                          .ended = { { 1, start.task, start.run, EndKind::Done, "" } } },
                600);
        },
        400 },
    { "since the occurrence was due",
        [](Situation& now) {
            now.apply(JobAdded { makePeriodicJob("j", { makeStep(1) }, 2, at(800).wall, { 5000 }) }, 10)
                .apply(Tick {}, 850);
        },
        150 },
    { "not due yet",
        [](Situation& now) {
            now.apply(JobAdded { makePeriodicJob("j", { makeStep(1) }, 2, at(1800).wall, { 5000 }) }, 10);
        },
        0 },
};

/** Guards against stalls that are reported for tasks whose turn has only just come. */
BOOST_DATA_TEST_CASE(wait_begins_when_the_task_is_ready, data::make(waitRows), row)
{
    Situation situation;
    row.arrange(situation);
    const auto waited = situation.scheduler.waitingReasons(at(1000)).longestWait().milliseconds;
    // An occurrence is opened at a tick.
    constexpr std::int64_t tolerance = 50;
    BOOST_TEST(waited <= row.waited);
    BOOST_TEST(waited >= row.waited - tolerance);
}

} // namespace

} // namespace wasabiroad::scheduling::test
