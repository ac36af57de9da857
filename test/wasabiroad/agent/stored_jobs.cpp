#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/agent/site.hpp"

#include <limits>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;
using jobs::JobState;

/** Time in s after which daemons that do not return count as hanging, also with sanitizers and load. */
constexpr unsigned hangTimeout = 120;

/** A first step that an earlier version has accepted. */
struct StoredRow {
    const char* title;
    const jobs::Step first;
    const std::size_t starts;

    friend std::ostream& operator<<(std::ostream& out, const StoredRow& row) { return out << row.title; }
};

const std::vector<StoredRow> storedRows {
    { "gang without tasks", { .count = 0, .gang = true }, 2 },
    { "gang without tasks on one rack", { .count = 0, .gang = true, .sameRack = true, .dataRack = "r1" }, 2 },
    { "step without tasks", { .count = 0 }, 2 },
    { "limit above the number of tasks",
        { .count = 2,
            .resources = { 1000, 100, 0 },
            .maxPerUpstream = std::numeric_limits<std::uint32_t>::max() },
        4 },
};

/** Guards against a job in the store that hangs each daemon which takes over its pool. */
BOOST_TEST_DECORATOR(*boost::unit_test::timeout(hangTimeout))
BOOST_DATA_TEST_CASE(stored_job_leaves_its_owners_working, data::make(storedRows), row)
{
    Site site { 0 };
    const auto usual = makeJob("stored");
    const auto& step = usual.steps.front();
    const jobs::Job stored { .id = usual.id,
        .queue = usual.queue,
        .service = usual.service,
        .payload = usual.payload,
        .steps = { row.first,
            { .count = step.count, .resources = step.resources, .estimate = step.estimate, .after = { 0 } } },
        .accepted = usual.accepted,
        .maxAttempts = usual.maxAttempts,
        .stretch = usual.stretch,
        .allowance = usual.allowance };
    site.store.put(keys::acceptance(stored.id), service.text());
    site.store.put(keys::record(service, stored.id), jobs::encode(jobs::Record {}));
    site.store.put(keys::job(service, stored.id), jobs::encode(stored));
    site.addDaemon();
    site.addDaemon();
    BOOST_REQUIRE(site.waitForOwner());
    site.submit(makeJob("other"));
    BOOST_TEST(site.reaches("other", JobState::Completed));
    BOOST_TEST(site.reaches("stored", JobState::Completed, 1));
    BOOST_TEST(site.workers.startsOf(stored.id) == row.starts);
    BOOST_TEST(site.workers.broken().empty(), boost::test_tools::per_element());
}

} // namespace

} // namespace wasabiroad::agent::test
