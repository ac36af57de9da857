#include "wasabiroad/agent/site.hpp"

#include "wasabiroad/agent/keys.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;
using jobs::JobState;

/** Number of daemons, and which of them the job is submitted to and queried from. */
struct PathRow {
    const std::size_t daemons;
    const std::size_t submittedAt;
    const std::size_t queriedAt;

    friend std::ostream& operator<<(std::ostream& out, const PathRow& row)
    {
        return out << row.daemons << " daemons, " << row.submittedAt << " queried at " << row.queriedAt;
    }
};

const std::vector<PathRow> paths { { 1, 0, 0 }, { 3, 0, 1 }, { 3, 2, 0 } };

/** Guards against a job that does not run, or whose state only one daemon can return. */
BOOST_DATA_TEST_CASE(job_runs_and_every_daemon_returns_its_state, data::make(paths), row)
{
    Site site { row.daemons };
    BOOST_REQUIRE(site.waitForOwner());
    BOOST_TEST((site.submit(makeJob("a"), row.submittedAt) == SubmitOutcome { Accepted {} }));
    BOOST_TEST(site.reaches("a", JobState::Completed, row.queriedAt));
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 2);
    BOOST_TEST(site.workers.broken().empty());
    BOOST_TEST((site.state("unknown", row.queriedAt) == StateOutcome { NoSuchJob {} }));
}

/** Guards against a job that runs twice because its id reaches two daemons, at the same time or later. */
BOOST_DATA_TEST_CASE(same_id_is_one_job, data::make({ 0, 300 }), delay)
{
    Site site { 2 };
    BOOST_REQUIRE(site.waitForOwner());
    std::vector<SubmitOutcome> outcomes;
    const auto submit = [&](std::size_t daemon) {
        site.daemons[daemon]->jobApi.submit(
            makeJob("a"), { 3000 }, [&](const SubmitOutcome& outcome) { outcomes.push_back(outcome); });
    };
    submit(0);
    site.runFor(delay);
    submit(1);
    submit(1);
    BOOST_REQUIRE(site.runUntil([&] { return outcomes.size() == 3; }));
    for (const auto& outcome : outcomes) {
        BOOST_TEST((outcome == SubmitOutcome { Accepted {} }));
    }
    BOOST_TEST(site.reaches("a", JobState::Completed));
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 2);
}

/** How the owner of the pool learns of a cancellation, and how many tasks have started by then. */
struct CancelRow {
    const char* title;
    const bool watchesAreUnanswered;
    const bool historyIsDropped;
    const std::size_t starts;

    friend std::ostream& operator<<(std::ostream& out, const CancelRow& row) { return out << row.title; }
};

const std::vector<CancelRow> cancels {
    { "job is seen first", false, false, 2 },
    { "job and cancellation arrive together after the watch was unanswered", true, false, 0 },
    { "history was dropped meanwhile", true, true, 0 },
};

/** Guards against tasks of a cancelled job that are started or keep running. */
BOOST_DATA_TEST_CASE(cancelled_job_ends, data::make(cancels), row)
{
    Site site { 2 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(300);
    const auto owner = *site.owner();
    const auto other = 1 - owner;
    site.daemons[owner]->storeFaults->silentWatches = row.watchesAreUnanswered;
    BOOST_TEST((site.submit(makeJob("a", 20000), other) == SubmitOutcome { Accepted {} }));
    if (!row.watchesAreUnanswered) {
        BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 2; }));
    }
    BOOST_TEST((site.cancel("a", other) == StateOutcome { JobState::Cancelled }));
    if (row.historyIsDropped) {
        site.store.dropHistory();
    }
    site.daemons[owner]->storeFaults->silentWatches = false;
    BOOST_TEST(site.runUntil([&] { return site.workers.runningCount() == 0; }));
    site.submit(makeJob("b"), other);
    BOOST_TEST(site.reaches("b", JobState::Completed));
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == row.starts);
    BOOST_TEST((site.state("a", owner) == StateOutcome { JobState::Cancelled }));
}

/** @return A job with a second step that waits for the first. */
jobs::Job makeChain(const std::string& id, std::int64_t runMs)
{
    const auto job = makeJob(id, runMs, 1);
    const auto& step = job.steps.front();
    return { .id = job.id,
        .queue = job.queue,
        .service = job.service,
        .payload = job.payload,
        .steps
        = { step, { .count = 2, .resources = step.resources, .estimate = step.estimate, .after = { 0 } } },
        .accepted = job.accepted,
        .maxAttempts = job.maxAttempts,
        .stretch = job.stretch,
        .allowance = job.allowance };
}

/** Guards against later steps of a cancelled job if neither watch nor write reveals the cancellation. */
BOOST_AUTO_TEST_CASE(owner_without_a_watch_starts_no_later_step)
{
    Site site { 2 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(300);
    const auto owner = *site.owner();
    const auto other = 1 - owner;
    const auto job = makeChain("a", 3000);
    site.submit(job, other);
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 1; }));
    // The start must be recorded by then: a later write would reveal the cancellation to the owner.
    site.runFor(300);
    site.daemons[owner]->storeFaults->silentWatches = true;
    BOOST_TEST((site.cancel("a", other) == StateOutcome { JobState::Cancelled }));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 0; }));
    site.runFor(500);
    BOOST_TEST(site.workers.startsOf(job.id) == 1);
    site.daemons[owner]->storeFaults->silentWatches = false;
    site.submit(makeJob("b"), other);
    BOOST_TEST(site.reaches("b", JobState::Completed));
    BOOST_TEST(site.workers.startsOf(job.id) == 1);
}

/** Guards against an open job that is lost or treated as cancelled when a dropped history forces a list. */
BOOST_AUTO_TEST_CASE(jobs_survive_a_dropped_history)
{
    Site site { 1 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(200);
    site.submit(makeJob("a", 400));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 2; }));
    site.daemons[0]->storeFaults->silentWatches = true;
    site.submit(makeJob("b"));
    site.store.dropHistory();
    site.daemons[0]->storeFaults->silentWatches = false;
    BOOST_TEST(site.reaches("a", JobState::Completed));
    BOOST_TEST(site.reaches("b", JobState::Completed));
    BOOST_TEST(site.workers.broken().empty());
}

/** Guards against a completed job whose tasks run again when a dropped history forces a new list. */
BOOST_AUTO_TEST_CASE(ended_jobs_are_not_started_again_after_a_dropped_history)
{
    Site site { 1 };
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(makeJob("a"));
    BOOST_REQUIRE(site.reaches("a", JobState::Completed));
    site.store.dropHistory();
    site.runFor(1500);
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 2);
    BOOST_TEST((site.state("a") == StateOutcome { JobState::Completed }));
}

/** Guards against a job that runs twice because it ended while a list with its old records was in flight. */
BOOST_AUTO_TEST_CASE(job_that_ends_while_it_is_listed_again_runs_once)
{
    Site site { 1 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(300);
    site.submit(makeJob("a", 450));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 2; }));
    site.daemons[0]->storeFaults->listDelay = { 300 };
    site.store.dropHistory();
    // The job is still open when it is listed, 300 ms from now, and has ended when the delayed list arrives.
    BOOST_REQUIRE(site.reaches("a", jobs::JobState::Completed));
    site.runFor(1500);
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 2);
    BOOST_TEST(site.workers.broken().empty());
}

/** How a job ends, and the state that callers get then. */
struct EndRow {
    const char* title;
    const std::int64_t runMs;
    const bool isCancelled;
    const bool answersAreLost;
    const JobState state;

    friend std::ostream& operator<<(std::ostream& out, const EndRow& row) { return out << row.title; }
};

const std::vector<EndRow> ends {
    { "it completes", 100, false, false, JobState::Completed },
    { "it completes while answers of the store are lost", 400, false, true, JobState::Completed },
    { "a caller cancels it", 20000, true, false, JobState::Cancelled },
};

/** Guards against ended jobs whose entries later owners read, or whose state callers do not find. */
BOOST_DATA_TEST_CASE(ended_job_leaves_its_state_only, data::make(ends), row)
{
    Site site { 2 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(300);
    const auto owner = *site.owner();
    site.submit(makeJob("a", row.runMs));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 2; }));
    site.daemons[owner]->storeFaults->losesAnswers = row.answersAreLost;
    if (row.isCancelled) {
        BOOST_TEST((site.cancel("a", 1 - owner) == StateOutcome { row.state }));
    }
    site.runFor(row.answersAreLost ? 1000 : 0);
    site.daemons[owner]->storeFaults->losesAnswers = false;
    BOOST_TEST(site.reaches("a", row.state, 1 - owner));
    BOOST_TEST(site.reaches("a", row.state, owner));
    BOOST_TEST(site.store.list(keys::pool(service)).entries.empty());
    BOOST_TEST(site.store.list("progress/").entries.empty());
    BOOST_TEST((site.submit(makeJob("a"), owner) == SubmitOutcome { Accepted {} }));
    site.runFor(300);
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 2);
}

/** Faults of the stores that the daemon of the submission and that of the cancellation see. */
struct EarlyCancelRow {
    const char* title;
    /** @brief The store carries out the submission this much later than the cancellation begins; negative if
     * it is submitted only after the cancellation. */
    const std::int64_t submissionDelay;
    const bool answersAreLost;

    friend std::ostream& operator<<(std::ostream& out, const EarlyCancelRow& row) { return out << row.title; }
};

const std::vector<EarlyCancelRow> earlyCancels {
    { "the submission waited in a machine that stood still", -1, false },
    { "the store carries out the submission late", 1200, false },
    { "the answer to the cancellation is lost", -1, true },
    { "the answer to the cancellation is lost and the submission is late", 2500, true },
};

/** Guards against a job that runs after a caller was told that there is none to cancel. */
BOOST_DATA_TEST_CASE(job_cancelled_before_it_is_stored_never_runs, data::make(earlyCancels), row)
{
    Site site { 2 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(300);
    std::optional<SubmitOutcome> outcome;
    const auto submit = [&] {
        site.daemons[0]->jobApi.submit(
            makeJob("a"), { 3000 }, [&](const SubmitOutcome& result) { outcome.emplace(result); });
    };
    if (row.submissionDelay >= 0) {
        site.daemons[0]->storeFaults->changeDelay = { row.submissionDelay };
        submit();
        site.runFor(300);
        site.daemons[0]->storeFaults->changeDelay = {};
    }
    site.daemons[1]->storeFaults->losesAnswers = row.answersAreLost;
    BOOST_TEST((site.cancel("a", 1) == StateOutcome { NoSuchJob {} }));
    site.daemons[1]->storeFaults->losesAnswers = false;
    if (row.submissionDelay < 0) {
        submit();
    }
    BOOST_REQUIRE(site.runUntil([&] { return outcome.has_value(); }));
    BOOST_TEST((*outcome == SubmitOutcome { Rejected { kernel::ResultCode::Cancelled } }));
    site.runFor(std::max<std::int64_t>(row.submissionDelay, 0) + 500);
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 0);
    for (const std::size_t daemon : { 0, 1 }) {
        BOOST_TEST((site.state("a", daemon) == StateOutcome { NoSuchJob {} }));
        BOOST_TEST((site.cancel("a", daemon) == StateOutcome { NoSuchJob {} }));
    }
}

/** Guards against a cancellation that finds no job as it is accepted at the same moment. */
BOOST_DATA_TEST_CASE(cancellation_races_the_acceptance, data::xrange(0, 16), delay)
{
    Site site { 2 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(300);
    std::optional<SubmitOutcome> submitted;
    site.daemons[0]->jobApi.submit(
        makeJob("a", 20000), { 3000 }, [&](const SubmitOutcome& result) { submitted.emplace(result); });
    site.runFor(delay);
    const auto cancelled = site.cancel("a", 1);
    BOOST_REQUIRE(site.runUntil([&] { return submitted.has_value(); }));
    const bool isAccepted = *submitted == SubmitOutcome { Accepted {} };
    BOOST_TEST(
        (cancelled == (isAccepted ? StateOutcome { JobState::Cancelled } : StateOutcome { NoSuchJob {} })));
    site.runFor(1500);
    BOOST_TEST(site.workers.runningCount() == 0);
    BOOST_TEST((site.state("a", 0) == cancelled));
}

/** Guards against counts of waiting jobs that only the owner can return. */
BOOST_AUTO_TEST_CASE(every_daemon_counts_the_jobs_that_wait)
{
    Site site { 2, 1 };
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(makeJob("long", 2500, 4));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 4; }));
    site.submit(makeJob("waits", 50, 1));
    for (const auto& daemon : site.daemons) {
        std::optional<std::uint64_t> count;
        BOOST_TEST(site.runUntil([&] {
            daemon->jobApi.pending(
                service, queue, [&](const std::optional<std::uint64_t>& counted) { count = counted; });
            site.runFor(20);
            return count == 1;
        }));
    }
}

/** Guards against later steps of a job with several tasks that is cancelled shortly after they start. */
BOOST_AUTO_TEST_CASE(owner_without_a_watch_starts_no_step_after_an_early_cancellation)
{
    Site site { 2 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(300);
    const auto owner = *site.owner();
    const auto other = 1 - owner;
    const jobs::Step later { .count = 2, .resources = { 1000, 100, 0 }, .estimate = { 50 }, .after = { 0 } };
    const auto first = makeJob("a", 4000);
    const jobs::Job twoSteps { .id = first.id,
        .queue = first.queue,
        .service = first.service,
        .payload = first.payload,
        .steps = { first.steps.front(), later },
        .accepted = first.accepted,
        .maxAttempts = first.maxAttempts,
        .stretch = first.stretch,
        .allowance = first.allowance };
    site.submit(twoSteps, other);
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 2; }));
    site.daemons[owner]->storeFaults->silentWatches = true;
    site.runFor(100);
    BOOST_TEST((site.cancel("a", other) == StateOutcome { JobState::Cancelled }));
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 0; }));
    site.runFor(500);
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 2);
    site.daemons[owner]->storeFaults->silentWatches = false;
    site.submit(makeJob("b"), other);
    BOOST_TEST(site.reaches("b", JobState::Completed, other));
}

/** Guards against a job that is reported as running for ever if it is cancelled before its end is stored. */
BOOST_AUTO_TEST_CASE(owner_reports_a_job_cancelled_before_its_end_is_stored)
{
    Site site { 2 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(300);
    const auto owner = *site.owner();
    const auto other = 1 - owner;
    site.submit(makeJob("a", 300), other);
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 2; }));
    site.daemons[owner]->storeFaults->busy = true;
    BOOST_REQUIRE(site.runUntil([&] { return site.workers.runningCount() == 0; }));
    site.runFor(100);
    BOOST_TEST((site.cancel("a", other) == StateOutcome { JobState::Cancelled }));
    site.daemons[owner]->storeFaults->busy = false;
    BOOST_TEST(site.reaches("a", JobState::Cancelled, owner));
    BOOST_TEST(site.reaches("a", JobState::Cancelled, other));
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 2);
}

/** Guards against an upstream that gets no more tasks after another one has answered at its address once. */
BOOST_AUTO_TEST_CASE(misdirected_upstream_gets_tasks_again)
{
    Site site { 1, 1 };
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(makeJob("before", 50, 1));
    BOOST_REQUIRE(site.reaches("before", jobs::JobState::Completed));
    auto& misdirected = site.daemons[0]->workerFaults->misdirected;
    misdirected.insert(site.workers.members().front().id);
    // Longer than a poll.
    site.runFor(2500);
    misdirected.clear();
    site.submit(makeJob("after", 50, 1));
    BOOST_TEST(site.reaches("after", jobs::JobState::Completed));
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

} // namespace

} // namespace wasabiroad::agent::test
