#include "platform/requests.hpp"

#include "wasabiroad/agent/site.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::platform {

namespace {

namespace data = boost::unit_test::data;
namespace json = boost::json;
using jobs::JobState;

/** Time in s after which daemons that do not return count as hanging, also with sanitizers and load. */
constexpr unsigned hangTimeout = 240;

/** A label that each upstream lacks. */
constexpr auto unknownLabel = "unknown";

/** Payloads: the run times of tasks that end and of tasks that last, in ms. */
constexpr auto shortPayload = "50";
constexpr auto endlessPayload = "100000000";

/** Run time of tasks in ms, as their caller estimates it. */
constexpr std::int64_t estimate = 50;

/** Time in ms until a job with a start time is due. */
constexpr std::int64_t dueDelay = 1000;

/** @brief Fields of a job that differ from those of a usual one. */
struct Part {
    std::string title;
    /** @brief Members of the first step. */
    json::object step {};
    /** @brief Members of the first step or of the job that are omitted. */
    std::vector<std::string> omitted {};
    /** @brief Members of the job. */
    json::object job {};
};

std::vector<Part> makeParts()
{
    const auto now = kernel::now(kernel::WallClock {}).milliseconds;
    return {
        { "no count", {}, { "count" } },
        { "no cpu", {}, { "cpu" } },
        { "no memory", {}, { "memMb" } },
        { "no estimate", {}, { "estimateMs" } },
        { "no payload", {}, { "spec" } },
        { "gang", { { "gang", true } } },
        { "on one rack", { { "sameRack", true } } },
        { "accelerator", { { "gpu", 1 } } },
        { "label", { { "requires", unknownLabel } } },
        { "rack of the data", { { "affinity", "r1" } } },
        { "unknown rack of the data", { { "affinity", "nowhere" } } },
        { "one on each upstream", { { "maxPerServer", 1 } } },
        { "speculative", { { "speculative", true } } },
        { "long-running", { { "longRunning", true } } },
        { "filler", { { "fills", true } } },
        { "one may be unavailable", { { "mayMiss", 1 } } },
        { "checkpoints", { { "savesProgress", true } } },
        { "target without an image", { { "targetMs", 50 } } },
        { "image and target", { { "image", "i" }, { "targetMs", 50 } } },
        { "null members", { { "after", nullptr }, { "image", nullptr } } },
        { "occurrences without times", {}, {}, { { "runCount", 3 } } },
        { "occurrences in the past", {}, {}, { { "runCount", 2 }, { "startMs", now - dueDelay } } },
        { "occurrences due soon", {}, {},
            { { "runCount", 2 }, { "startMs", now + dueDelay }, { "intervalMs", 100 } } },
        { "start time only", {}, {}, { { "startMs", now + dueDelay } } },
        { "interval only", {}, {}, { { "intervalMs", 100 } } },
    };
}

/** @return The body of a job of two steps, the first of which has the fields of the parts. */
std::string makeBody(const std::vector<Part>& parts)
{
    json::object step { { "count", 3 }, { "cpu", 1000 }, { "memMb", 100 }, { "estimateMs", estimate } };
    json::object job { { "spec", shortPayload } };
    for (const auto& part : parts) {
        for (const auto& member : part.step) {
            step.insert_or_assign(member.key(), member.value());
        }
        for (const auto& member : part.job) {
            job.insert_or_assign(member.key(), member.value());
        }
    }
    for (const auto& part : parts) {
        for (const auto& name : part.omitted) {
            step.erase(name);
            job.erase(name);
        }
    }
    if (step.contains("longRunning") && step.contains("count")) {
        job["spec"] = endlessPayload;
    }
    const json::object next { { "count", 2 }, { "cpu", 500 }, { "estimateMs", estimate },
        { "after", json::array { 0 } } };
    job["steps"] = json::array { std::move(step), next };
    return json::serialize(job);
}

/** @return The state that a job of makeBody() must reach. */
JobState expectedState(const jobs::Job& job)
{
    const auto& first = job.steps.front();
    if (first.count == 0) {
        return JobState::Completed;
    }
    if (first.resources.accelerators > 0 || !first.label.empty()) {
        return JobState::Pending;
    }
    return first.longRunning ? JobState::Running : JobState::Completed;
}

struct SubmittedJob {
    const std::string title;
    const jobs::Job job;
};

/** @return Jobs with each pair of parts and each part alone, beside the parts that all of them have. */
std::vector<SubmittedJob> makeJobs(const std::vector<Part>& shared)
{
    constexpr std::size_t idLength = 16;
    const jobs::Queue queue { .id = agent::test::queue,
        .service = agent::test::service,
        .maxAttempts = 3,
        .stretch = 1.6,
        .allowance = { 600 } };
    const auto parts = makeParts();
    std::vector<SubmittedJob> submitted;
    for (auto first = parts.begin(); first != parts.end(); ++first) {
        for (auto second = first; second != parts.end(); ++second) {
            auto all = shared;
            all.push_back(*first);
            all.push_back(*second);
            auto id = std::to_string(submitted.size());
            id.insert(0, idLength - id.size(), '0');
            const auto job
                = decodeJob(jobs::JobId { id }, queue, makeBody(all), kernel::now(kernel::WallClock {}));
            BOOST_REQUIRE_MESSAGE(job.has_value(), first->title << ", " << second->title);
            submitted.push_back({ first->title + ", " + second->title, *job });
        }
    }
    return submitted;
}

/** @brief A daemon's answers about all jobs. */
std::vector<agent::StateOutcome> readStates(
    agent::test::Site& site, const std::vector<SubmittedJob>& submitted, std::size_t daemon)
{
    const auto states = std::make_shared<std::vector<agent::StateOutcome>>(
        submitted.size(), agent::StateOutcome { agent::Unavailable {} });
    const auto answers = std::make_shared<std::size_t>(0);
    for (std::size_t index = 0; index < submitted.size(); ++index) {
        site.daemons[daemon]->jobApi.state(agent::test::service, submitted[index].job.id,
            [states, answers, index](const agent::StateOutcome& outcome) {
                (*states)[index] = outcome;
                ++*answers;
            });
    }
    site.runUntil([&] { return *answers == submitted.size(); });
    return *states;
}

/** @brief Waits until a daemon gives the expected states and checks each. */
void checkStates(agent::test::Site& site, const std::vector<SubmittedJob>& submitted, std::size_t daemon)
{
    const auto hasExpected = [&](const std::vector<agent::StateOutcome>& states, std::size_t index) {
        return states[index] == agent::StateOutcome { expectedState(submitted[index].job) };
    };
    std::vector<agent::StateOutcome> states;
    const auto end = kernel::now(kernel::SteadyClock {}) + agent::test::waitTimeout;
    std::size_t expected = 0;
    while (expected < submitted.size() && kernel::now(kernel::SteadyClock {}) < end) {
        site.runFor(100);
        states = readStates(site, submitted, daemon);
        expected = 0;
        for (std::size_t index = 0; index < submitted.size(); ++index) {
            expected += hasExpected(states, index) ? 1 : 0;
        }
    }
    for (std::size_t index = 0; index < submitted.size(); ++index) {
        BOOST_TEST(hasExpected(states, index), submitted[index].title);
    }
}

/** Parts that all jobs of a run have. */
struct Row {
    const char* title;
    const std::vector<Part> shared;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "three tasks", {} },
    { "gang without tasks", { { "gang without tasks", { { "gang", true } }, { "count" } } } },
};

/** Guards against a combination of omitted fields whose job never ends, keeps the pool from other jobs, or
 * cannot be taken over. */
BOOST_TEST_DECORATOR(*boost::unit_test::timeout(hangTimeout))
BOOST_DATA_TEST_CASE(jobs_with_omitted_fields_end_or_wait, data::make(rows), row)
{
    using namespace agent::test;
    Site site { 2, 0 };
    for (const auto* const name : { "a", "b", "c", "d" }) {
        site.workers.add(name, service, 100000);
    }
    BOOST_REQUIRE(site.waitForOwner());
    const auto submitted = makeJobs(row.shared);
    std::size_t accepted = 0;
    for (const auto& [title, job] : submitted) {
        const bool isAccepted = site.submit(job, accepted % 2) == agent::SubmitOutcome { agent::Accepted {} };
        BOOST_TEST(isAccepted, title);
        ++accepted;
    }
    checkStates(site, submitted, 0);
    for (const auto& daemon : site.daemons) {
        daemon->agent->abandon();
    }
    site.addDaemon();
    site.addDaemon();
    BOOST_REQUIRE(site.runUntil([&] { return site.owner() && *site.owner() >= 2; }));
    site.submit(makeJob("other"), 3);
    BOOST_TEST(site.reaches("other", JobState::Completed, 3));
    checkStates(site, submitted, 2);
    for (const auto& [title, job] : submitted) {
        if (expectedState(job) != JobState::Completed) {
            const bool isCancelled
                = site.cancel(job.id.text(), 2) == agent::StateOutcome { JobState::Cancelled };
            BOOST_TEST(isCancelled, title);
        }
    }
    BOOST_TEST(site.runUntil([&] { return site.workers.runningCount() == 0; }));
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

} // namespace

} // namespace wasabiroad::platform
