#include "wasabiroad/agent/record_writer.hpp"

#include "wasabiroad/agent/site.hpp"

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

} // namespace

} // namespace wasabiroad::agent::test
