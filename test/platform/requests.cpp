#include "platform/requests.hpp"

#include <limits>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::platform {

namespace {

namespace data = boost::unit_test::data;

const jobs::Queue queue { jobs::QueueId { "q" }, "h", "/p/", model::ServiceId { "s" }, 1, 4, 1.6, { 600 },
    { 3000 } };
const jobs::JobId id { "5c0e7a21d94b36f8" };

/** Guards against fields of a job or step that are decoded into the wrong member. */
BOOST_AUTO_TEST_CASE(job_is_decoded)
{
    const auto job = decodeJob(id, queue,
        R"({"spec":"text","runCount":3,"startMs":5000,"intervalMs":100,"steps":[{"count":4,"cpu":500,"memMb":256,
        "gpu":1,"estimateMs":900,"affinity":"r1-3","maxPerServer":2,"image":"i","targetMs":50,"mayMiss":1,
        "longRunning":true},{"count":20,"after":[0],"savesProgress":true,"gang":true,"sameRack":true,
        "requires":"a","speculative":true,"fills":true}]})",
        { 77 });
    const jobs::Job expected { .id = id,
        .queue = queue.id,
        .service = queue.service,
        .payload = "text",
        .steps = { { .count = 4,
                       .resources = { 500, 256, 1 },
                       .estimate = { 900 },
                       .dataRack = "r1-3",
                       .maxPerUpstream = 2,
                       .longRunning = true,
                       .image = "i",
                       .tailLatencyTarget = { 50 },
                       .maxUnavailable = 1 },
            { .count = 20,
                .after = { 0 },
                .savesProgress = true,
                .gang = true,
                .sameRack = true,
                .label = "a",
                .speculative = true,
                .filler = true } },
        .occurrences = 3,
        .firstDue = { 5000 },
        .interval = { 100 },
        .accepted = { 77 },
        .priority = 1,
        .maxAttempts = 4,
        .stretch = 1.6,
        .allowance = { 600 } };
    BOOST_REQUIRE(job.has_value());
    BOOST_TEST((*job == expected));
}

const std::vector<std::string> malformed { "", "[]", R"({"spec":"x"})", R"({"steps":[]})", R"({"steps":[1]})",
    R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[{"count":1,"after":["a"]}]})",
    R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":1000000}]})",
    R"({"steps":[{"count":1}],"runCount":100000000})", "\xff",
    R"({"steps":[{"count":10000},{"count":10000},{"count":1}]})", R"({"steps":[{"count":1,"cpu":-1}]})",
    R"({"steps":[{"count":1,"memMb":-1e300}]})", R"({"steps":[{"count":1,"maxPerServer":-1}]})",
    R"({"steps":[{"count":1}],"runCount":2,"intervalMs":-5})",
    R"({"steps":[{"count":1}],"runCount":2,"startMs":-9223372036854775808})" };

/** Guards against bodies that crash the daemon or are stored as a job that never ends. */
BOOST_DATA_TEST_CASE(malformed_job_is_rejected, data::make(malformed), body)
{
    BOOST_TEST(!decodeJob(id, queue, body, {}).has_value());
}

/** A first step, and whether a job with it is admitted. */
struct OddStepRow {
    const char* body;
    const bool admitted;

    friend std::ostream& operator<<(std::ostream& out, const OddStepRow& row) { return out << row.body; }
};

// A field that is omitted is 0, so a step may have no tasks; no page sets a least count.
const std::vector<OddStepRow> oddSteps { { R"({})", true }, { R"({"count":0})", true },
    { R"({"gang":true})", true }, { R"({"count":0,"gang":true,"sameRack":true})", true },
    { R"({"longRunning":true})", true }, { R"({"count":2,"maxPerServer":3})", true },
    { R"({"count":2,"longRunning":true,"mayMiss":3})", true }, { R"({"count":10000,"gang":true})", true },
    { R"({"count":1,"cpu":900000000000})", true }, { R"({"count":-1,"gang":true})", false },
    { R"({"count":10001,"gang":true})", false }, { R"({"after":[0]})", false },
    { R"({"gang":true,"after":[0]})", false }, { R"({"gang":true,"after":[1]})", false },
    { R"({"gang":true,"after":[-1]})", false } };

/** Guards against a step that is admitted by its position or kind and cannot be scheduled, and against the
 * rejection of one that can. */
BOOST_DATA_TEST_CASE(odd_step_is_admitted_or_rejected, data::make(oddSteps), row)
{
    const auto job = decodeJob(
        id, queue, R"({"steps":[)" + std::string { row.body } + R"(,{"count":1,"after":[0,0]}]})", {});
    BOOST_TEST(job.has_value() == row.admitted);
}

/** Guards against a job with more steps than its owner can hold. */
BOOST_DATA_TEST_CASE(number_of_steps_is_limited, data::make({ 1000, 1001 }), count)
{
    std::string steps;
    for (int number = 0; number < count; ++number) {
        steps += number == 0 ? R"({"count":1})" : R"(,{"count":1})";
    }
    BOOST_TEST(decodeJob(id, queue, R"({"steps":[)" + steps + "]}", {}).has_value() == (count <= 1000));
}

/** Guards against numbers so large that sums over tasks or occurrences overflow, or wrap to small ones. */
BOOST_DATA_TEST_CASE(large_amounts_are_reduced,
    data::make({ "9223372036854775807", "18446744073709551615", "4294967296", "1e300" }), amount)
{
    const std::string number { amount };
    const auto job = decodeJob(id, queue,
        R"({"steps":[{"count":10000,"cpu":)" + number + R"(,"memMb":)" + number + R"(,"gpu":)" + number
            + R"(,"estimateMs":)" + number + R"(,"maxPerServer":)" + number + R"(,"mayMiss":)" + number
            + R"(}],"runCount":10000,"startMs":)" + number + R"(,"intervalMs":)" + number + "}",
        {});
    BOOST_REQUIRE(job.has_value());
    const auto& step = job->steps.front();
    for (const auto reduced : { step.resources.cpu, step.resources.memory, step.resources.accelerators,
             step.estimate.milliseconds, job->firstDue.milliseconds, job->interval.milliseconds }) {
        BOOST_TEST(reduced >= 1'000'000);
        BOOST_TEST(reduced <= 100'000'000'000'000);
    }
    constexpr auto mostTasks = std::numeric_limits<std::uint32_t>::max();
    BOOST_TEST(step.maxPerUpstream == mostTasks);
    BOOST_TEST(step.maxUnavailable == mostTasks);
    const auto limit = std::numeric_limits<std::int64_t>::max();
    BOOST_TEST(step.count * step.resources.cpu <= limit / step.estimate.milliseconds);
    BOOST_TEST(job->interval.milliseconds <= (limit - job->firstDue.milliseconds) / job->occurrences);
}

struct IdRow {
    const char* text;
    const bool valid;

    friend std::ostream& operator<<(std::ostream& out, const IdRow& row) { return out << row.text; }
};

const std::vector<IdRow> ids { { "5c0e7a21d94b36f8", true }, { "5c0e7a21d94b36f", false },
    { "5C0e7a21d94b36f8", false }, { "5c0e7a21d94b36f8/", false }, { "../../../../../..", false },
    { "", false } };

/** Guards against request paths that give access to other keys of the store. */
BOOST_DATA_TEST_CASE(job_id_is_16_hexadecimal_digits, data::make(ids), row)
{
    BOOST_TEST(isJobId(row.text) == row.valid);
}

/** Guards against response bodies that callers cannot decode. */
BOOST_AUTO_TEST_CASE(answers_are_encoded)
{
    BOOST_TEST(encodeState(jobs::JobState::Completed) == R"({"state":"completed"})");
    BOOST_TEST(encodePending(12) == R"({"pendingCount":12})");
}

} // namespace

} // namespace wasabiroad::platform
