#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/agent/site.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

/** Writes the state of a job to the store as its owner does. */
void writeState(Site& site, const std::string& name, jobs::JobState state)
{
    const jobs::JobId job { name };
    const auto text = jobs::encode(jobs::Record { state });
    std::vector<store::Put> puts { { keys::record(service, job), text } };
    std::vector<std::string> removals;
    if (jobs::isFinal(state)) {
        removals = { keys::job(service, job), keys::progress(service, job) };
    } else {
        puts.push_back({ keys::progress(service, job), text });
    }
    const auto connection = site.store.connect(std::make_shared<standin::StoreFaults>());
    const auto outcome = site.await<store::ChangeOutcome>([&](auto callback) {
        connection.change({ {}, std::move(puts), std::move(removals) }, std::move(callback));
    });
    BOOST_REQUIRE(std::holds_alternative<store::Committed>(outcome));
}

/** Content of the store in place of a report of the current owner. */
struct ReportRow {
    const char* title;
    const std::optional<std::string> report;

    friend std::ostream& operator<<(std::ostream& out, const ReportRow& row) { return out << row.title; }
};

const std::vector<ReportRow> reports {
    // The last report has revision 0, which is never current.
    { "no report", std::nullopt },
    { "a report that cannot be read", "\xff\xff" },
    { "a report of a previous owner", jobs::encode(jobs::PoolReport { { { queue, 0 } } }) },
};

/** Guards against a count from an outdated report, and against a count of 0 without a report. */
BOOST_DATA_TEST_CASE(jobs_are_counted_while_the_owner_is_unresponsive, data::make(reports), row)
{
    Site site { 2 };
    site.store.put(keys::poolOwner(service), "entry-9#9");
    if (row.report) {
        site.store.put(keys::report(service), *row.report);
    }
    for (const auto* const id : { "a", "b", "begun", "ended" }) {
        BOOST_REQUIRE((site.submit(makeJob(id)) == SubmitOutcome { Accepted {} }));
    }
    writeState(site, "begun", jobs::JobState::Running);
    writeState(site, "ended", jobs::JobState::Completed);
    BOOST_TEST((site.pending(1) == std::optional<std::uint64_t> { 2 }));
}

/** Guards against a count from the outdated view of an owner whose watch is not answered. */
BOOST_AUTO_TEST_CASE(owner_without_a_watch_does_not_count_from_its_own_view)
{
    Site site { 2 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(300);
    const auto owner = *site.owner();
    site.daemons[owner]->storeFaults->silentWatches = true;
    site.submit(makeJob("a"), 1 - owner);
    site.submit(makeJob("b"), 1 - owner);
    // Counts may be 2 s old.
    site.runFor(2100);
    for (const auto daemon : { owner, 1 - owner }) {
        BOOST_TEST((site.pending(daemon) == std::optional<std::uint64_t> { 2 }));
    }
}

/** Guards against a count from a daemon that cannot read the store. */
BOOST_AUTO_TEST_CASE(daemon_without_the_store_gives_no_count)
{
    Site site { 2 };
    site.store.put(keys::poolOwner(service), "entry-9#9");
    site.submit(makeJob("a"));
    site.daemons[1]->storeFaults->silent = true;
    BOOST_TEST((site.pending(1) == std::nullopt));
}

/** Guards against listing the pool once per caller. */
BOOST_AUTO_TEST_CASE(callers_that_ask_together_share_a_count)
{
    Site site { 2 };
    site.store.put(keys::poolOwner(service), "entry-9#9");
    site.submit(makeJob("a"));
    site.runFor(100);
    const auto before = site.daemons[1]->storeFaults->lists;
    std::vector<std::optional<std::uint64_t>> counts;
    for (int caller = 0; caller < 20; ++caller) {
        site.daemons[1]->jobApi.pending(
            service, queue, [&](const std::optional<std::uint64_t>& counted) { counts.push_back(counted); });
    }
    BOOST_REQUIRE(site.runUntil([&] { return counts.size() == 20; }));
    BOOST_TEST(std::ranges::count(counts, std::optional<std::uint64_t> { 1 }) == 20);
    // One list of the progress records and one of the jobs.
    BOOST_TEST(site.daemons[1]->storeFaults->lists - before <= 2);
}

} // namespace

} // namespace wasabiroad::agent::test
