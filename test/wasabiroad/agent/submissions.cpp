#include "wasabiroad/agent/site.hpp"

#include <chrono>
#include <thread>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

std::string nameOf(const SubmitOutcome& outcome)
{
    constexpr std::array<const char*, 3> names { "accepted", "rejected", "undecided" };
    return names.at(outcome.index());
}

/** Faults of the store while a job is submitted, and the outcome for its caller. */
struct Row {
    const char* title;
    const standin::StoreFaults faults;
    const char* outcome;
    const bool stored;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "no fault", {}, "accepted", true },
    { "the store rejects requests", { .busy = true }, "rejected", false },
    { "the store does not answer", { .silent = true }, "undecided", false },
    { "answers are lost", { .losesAnswers = true }, "undecided", true },
};

/** Guards against "rejected" for a job that is stored, and "accepted" for one that is not. */
BOOST_DATA_TEST_CASE(submission_outcome_matches_the_store, data::make(rows), row)
{
    Site site { 1 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(100);
    *site.daemons[0]->storeFaults = row.faults;
    BOOST_TEST(nameOf(site.submit(makeJob("a"))) == row.outcome);
    BOOST_TEST(site.store.find("accepted/a").has_value() == row.stored);
    *site.daemons[0]->storeFaults = {};
    // A second submission with the same id does not create a second job.
    site.runFor(500);
    BOOST_TEST(nameOf(site.submit(makeJob("a"))) == "accepted");
    BOOST_TEST(site.reaches("a", jobs::JobState::Completed));
    BOOST_TEST(site.workers.startsOf(jobs::JobId { "a" }) == 2);
}

/** Guards against storing a job whose caller has left, as the process stood still after it read the request.
 */
BOOST_DATA_TEST_CASE(submission_is_not_stored_after_its_deadline, data::make({ false, true }), standsStill)
{
    Site site { 1 };
    BOOST_REQUIRE(site.waitForOwner());
    std::optional<SubmitOutcome> outcome;
    constexpr kernel::Duration deadline { 2000 };
    site.daemons[0]->jobApi.submit(
        makeJob("a"), deadline, [&](const SubmitOutcome& result) { outcome.emplace(result); });
    if (standsStill) {
        std::this_thread::sleep_for(std::chrono::milliseconds { deadline.milliseconds + 50 });
    }
    BOOST_REQUIRE(site.runUntil([&] { return outcome.has_value(); }));
    BOOST_TEST(nameOf(*outcome) == (standsStill ? "rejected" : "accepted"));
    site.runFor(300);
    BOOST_TEST(site.store.find("accepted/a").has_value() == !standsStill);
}

/** Guards against callers that wait for a store that is known to be unavailable. */
BOOST_AUTO_TEST_CASE(callers_are_rejected_at_once_while_the_store_is_unavailable)
{
    Site site { 1 };
    BOOST_REQUIRE(site.waitForOwner());
    site.daemons[0]->storeFaults->busy = true;
    site.submit(makeJob("a"));
    std::optional<SubmitOutcome> outcome;
    site.daemons[0]->jobApi.submit(
        makeJob("b"), { 3000 }, [&](const SubmitOutcome& result) { outcome.emplace(result); });
    BOOST_REQUIRE(outcome.has_value());
    const auto* const rejected = std::get_if<Rejected>(&*outcome);
    BOOST_REQUIRE(rejected != nullptr);
    BOOST_TEST(rejected->retryAfter.milliseconds > 0);
}

} // namespace

} // namespace wasabiroad::agent::test
