#include "wasabiroad/agent/record_writer.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/agent/site.hpp"

#include <utility>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

/** Batches of one record each, given by job id; all batches are queued before the first change is answered.
 */
struct Row {
    const char* title;
    const std::vector<std::string> batches;
    /** @brief Batch that is reported after the first change has been written. */
    const std::uint64_t reportedAfterFirstWrite;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "one batch", { "a" }, 1 },
    { "more records wait", { "a", "b" }, 1 },
    { "the record changed meanwhile", { "a", "a" }, 1 },
    { "many records wait", { "a", "b", "c", "d" }, 1 },
};

/** Guards against task ends that are never acknowledged because the queue of records is never empty. */
BOOST_DATA_TEST_CASE(written_batches_are_reported_under_load, data::make(rows), row)
{
    boost::asio::io_context context { 1 };
    std::vector<store::Callback<store::ChangeOutcome>> changes;
    const auto store = std::make_shared<const store::Store>(store::Store {
        .read = {},
        .list = {},
        .watch = {},
        .change = [&](const store::Change&, auto callback) { changes.push_back(std::move(callback)); },
        .grant = {},
        .renew = {},
        .end = {},
    });
    std::uint64_t reported = 0;
    const auto ignore = [](const jobs::JobId&) {};
    const auto writer = std::make_shared<RecordWriter>(context, store, service, ports::Term { 5 },
        RecordCallbacks { ignore, ignore, [] {}, [&](std::uint64_t batch) { reported = batch; } });
    for (const auto& job : row.batches) {
        writer->write({ { jobs::JobId { job }, jobs::Record { jobs::JobState::Running } } });
    }
    BOOST_REQUIRE_EQUAL(changes.size(), 1);
    BOOST_TEST(reported == 0);
    changes.front()(store::Committed { { 7 } });
    BOOST_TEST(reported == row.reportedAfterFirstWrite);
    for (std::size_t next = 1; next < changes.size(); ++next) {
        changes[next](store::Committed { { 7 + next } });
    }
    BOOST_TEST(reported == row.batches.size());
}

/** States of jobs that change again with each write, and of a job that changes once. */
struct BusyRow {
    const char* title;
    const jobs::JobState busyState;
    const jobs::JobState state;

    friend std::ostream& operator<<(std::ostream& out, const BusyRow& row) { return out << row.title; }
};

const std::vector<BusyRow> busyRows {
    { "open jobs change all the time", jobs::JobState::Running, jobs::JobState::Running },
    { "jobs end all the time", jobs::JobState::Completed, jobs::JobState::Running },
};

/** Guards against a record that waits for as long as other jobs of the pool change. */
BOOST_DATA_TEST_CASE(no_record_waits_behind_later_ones, data::make(busyRows), row)
{
    constexpr int busyJobs = 40;
    constexpr std::size_t writeLimit = 8;
    boost::asio::io_context context { 1 };
    std::vector<store::Change> written;
    store::Callback<store::ChangeOutcome> answer;
    const auto store = std::make_shared<const store::Store>(store::Store {
        .read = {},
        .list = {},
        .watch = {},
        .change =
            [&](const store::Change& change, auto callback) {
                written.push_back(change);
                answer = std::move(callback);
            },
        .grant = {},
        .renew = {},
        .end = {},
    });
    const auto ignore = [](const jobs::JobId&) {};
    const auto writer = std::make_shared<RecordWriter>(context, store, service, ports::Term { 5 },
        RecordCallbacks { ignore, ignore, [] {}, [](std::uint64_t) {} });
    const auto changeBusyJobs = [&] {
        std::vector<scheduling::RecordChange> changes;
        for (int number = 0; number < busyJobs; ++number) {
            changes.push_back(
                { jobs::JobId { "a" + std::to_string(number) }, jobs::Record { row.busyState } });
        }
        writer->write(changes);
    };
    const auto key = keys::record(service, jobs::JobId { "z" });
    const auto isWritten = [&] {
        return std::ranges::any_of(written, [&](const store::Change& change) {
            return std::ranges::find(change.puts, key, &store::Put::key) != change.puts.end();
        });
    };
    changeBusyJobs();
    writer->write({ { jobs::JobId { "z" }, jobs::Record { row.state } } });
    while (!isWritten() && written.size() < writeLimit) {
        changeBusyJobs();
        std::exchange(answer, {})(store::Committed { { 7 + written.size() } });
    }
    BOOST_TEST(isWritten());
}

/** Guards against changes that repeat without a pause because a record that they expect is missing. */
BOOST_AUTO_TEST_CASE(missing_record_is_created_again)
{
    boost::asio::io_context context { 1 };
    std::vector<store::Change> changes;
    std::vector<store::Callback<store::ChangeOutcome>> answers;
    const auto store = std::make_shared<const store::Store>(store::Store {
        .read = {},
        .list = {},
        .watch = {},
        .change =
            [&](const store::Change& change, auto callback) {
                changes.push_back(change);
                answers.push_back(std::move(callback));
            },
        .grant = {},
        .renew = {},
        .end = {},
    });
    const auto ignore = [](const jobs::JobId&) {};
    const auto writer = std::make_shared<RecordWriter>(context, store, service, ports::Term { 5 },
        RecordCallbacks { ignore, ignore, [] {}, [](std::uint64_t) {} });
    const jobs::JobId job { "a" };
    const store::Entry owner { keys::poolOwner(service), "entry-0#1", { 5 }, { 5 } };
    writer->setRevision(job, { 9 });
    writer->write({ { job, jobs::Record { jobs::JobState::Running } } });
    BOOST_REQUIRE_EQUAL(changes.size(), 1);
    answers[0](store::Conflict { { owner } });
    BOOST_REQUIRE_EQUAL(changes.size(), 2);
    const auto condition
        = std::ranges::find(changes[1].conditions, keys::record(service, job), &store::Condition::key);
    BOOST_REQUIRE((condition != changes[1].conditions.end()));
    BOOST_TEST(condition->revision.value == 0);
    // Nothing new is known after the same answer, so the next attempt comes later.
    answers[1](store::Conflict { { owner } });
    BOOST_TEST(changes.size() == 2);
    context.run_for(std::chrono::milliseconds { 500 });
    BOOST_TEST(changes.size() == 3);
}

} // namespace

} // namespace wasabiroad::agent::test
