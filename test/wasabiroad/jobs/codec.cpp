#include "wasabiroad/jobs/codec.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::jobs {

namespace {

namespace data = boost::unit_test::data;

const Step fullStep { 3, { 500, 256, 1 }, { 900 }, {}, true, true, true, "kind", "r1", 2, true, true, "image",
    { 50 }, true, 1 };
const Step dependent { .count = 2, .after = { 0 } };

const std::vector<Job> jobRows {
    { .id = JobId { "a" }, .steps = { Step {} } },
    { JobId { "5c0e7a21d94b36f8" }, QueueId { "q" }, model::ServiceId { "s" },
        std::string { "\0\xff text", 7 }, { fullStep, dependent }, 4, { 1000 }, { 50 }, { 77 }, 1, 4, 1.6,
        { 600 } },
};

/** Guards against a job that is decoded differently from how it was encoded. */
BOOST_DATA_TEST_CASE(job_survives_the_store, data::xrange(jobRows.size()), index)
{
    const auto decoded = decodeJob(encode(jobRows[index]));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == jobRows[index]));
}

const std::vector<Record> recordRows {
    {},
    { JobState::Running,
        { { { 1, 2, 3 }, true }, { { 0, 0, 1 }, false, { { 7 }, { 1ULL << 40U } }, "checkpoint" } } },
    { JobState::Failed, {}, { 123456 } },
    { JobState::Running, {}, {}, { { 0, 6 }, { 8, 8 } } },
};

/** Guards against a record that is decoded differently from how it was encoded. */
BOOST_DATA_TEST_CASE(record_survives_the_store, data::xrange(recordRows.size()), index)
{
    const auto decoded = decodeRecord(encode(recordRows[index]));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == recordRows[index]));
}

const std::vector<std::string> invalidBytes { "\xff\xff\xff", "{}", std::string(3, '\0') };

/** Guards against invalid bytes that are accepted as a job. */
BOOST_DATA_TEST_CASE(invalid_job_is_rejected, data::make(invalidBytes), bytes)
{
    BOOST_TEST(!decodeJob(bytes).has_value());
}

/** Guards against accepting a job state with an undefined value. */
BOOST_AUTO_TEST_CASE(record_with_unknown_state_is_rejected)
{
    // Field 1, varint 9.
    BOOST_TEST(!decodeRecord("\x08\x09").has_value());
}

/** Guards against accepting a step that depends on a later one: it would never run. */
BOOST_AUTO_TEST_CASE(dependency_on_a_later_step_is_rejected)
{
    const Job job { .id = JobId { "a" }, .steps = { { .after = { 1 } }, {} } };
    BOOST_TEST(!decodeJob(encode(job)).has_value());
}

/** Guards against upstream lists, reports and drain requests that lose content in the store. */
BOOST_AUTO_TEST_CASE(lists_and_counts_survive_the_store)
{
    const std::vector<std::string> upstreams { "u1", "u2" };
    BOOST_TEST((decodeUpstreams(encode(upstreams)) == upstreams));
    const PoolReport report { { { QueueId { "q" }, 7 }, { QueueId { "r" }, 0 } }, { 1, 2, 3 }, { 1, 1 }, 4,
        { "u1" }, 5, 6 };
    BOOST_TEST((decodePoolReport(encode(report)) == report));
    const UsedUpstreams used { { "u1", "u2" }, { { "u2", { 700 } } } };
    BOOST_TEST((decodeUsedUpstreams(encode(used)) == used));
    BOOST_TEST((decodeUpstreams(encode(used)) == upstreams));
    BOOST_TEST((decodeUsedUpstreams(encode(upstreams)) == UsedUpstreams { upstreams }));
    const Drain drain { "u1", true };
    BOOST_TEST((decodeDrain(encode(drain)) == drain));
    BOOST_TEST(!decodeDrain("").has_value());
}

} // namespace

} // namespace wasabiroad::jobs
