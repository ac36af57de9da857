#include "platform/orders.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::platform {

namespace {

namespace data = boost::unit_test::data;
using scheduling::EndKind;

const jobs::TaskId task { jobs::JobId { "5c0e7a21d94b36f8" }, { 0, 1, 17 } };

/** Task name and whether it is valid. */
struct TaskRow {
    const char* name;
    const bool valid;

    friend std::ostream& operator<<(std::ostream& out, const TaskRow& row) { return out << row.name; }
};

const std::vector<TaskRow> taskRows { { "5c0e7a21d94b36f8.0.1.17", true }, { "5c0e.0.1", false },
    { "5c0e.0.1.2.3", false }, { "5c0e.a.1.2", false }, { ".0.1.2", false }, { "", false },
    { "5c0e.0.1.", false } };

/** Guards against malformed names that are decoded as a task. */
BOOST_DATA_TEST_CASE(only_valid_task_names_are_decoded, data::make(taskRows), row)
{
    const auto decoded = decodeTask(row.name);
    BOOST_TEST(decoded.has_value() == row.valid);
    BOOST_TEST((!decoded || encodeTask(*decoded) == row.name));
}

/** Guards against orders that lack the fencing token, the run number or the end of the lease. */
BOOST_AUTO_TEST_CASE(orders_contain_all_fields_that_upstreams_check)
{
    const scheduling::UpstreamId upstream { "i-1" };
    BOOST_TEST(encodeStart({ upstream, task, { 2 }, "text", "" }, { 7 }, { 486000 })
        == R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"text","untilMs":486000,"fencingToken":7})");
    BOOST_TEST(encodeStart({ upstream, task, { 2 }, "text", "c" }, { 7 }, { 486000 })
                   .ends_with(R"("fencingToken":7,"checkpoint":"c"})"));
    BOOST_TEST(encodeStop({ upstream, task, { 2 }, "" }, { 7 })
        == R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"fencingToken":7})");
    BOOST_TEST(encodePace({ upstream, task, { 2 }, 40 }, { 7 })
        == R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"percent":40,"fencingToken":7})");
    BOOST_TEST(encodeLook({ { 7 }, 57, {}, {} }) == R"({"fencingToken":7,"ackedUpto":57})");
    BOOST_TEST(encodeLook({ { 7 }, 57, ports::UpstreamTime { 486000 }, { 1000 } })
        == R"({"fencingToken":7,"ackedUpto":57,"untilMs":486000,"waitMs":1000})");
}

/** Guards against running or ended tasks that are lost or decoded wrongly. */
BOOST_AUTO_TEST_CASE(tasks_are_decoded)
{
    const Document answer {
        R"({"clockMs":482113,"born":9,"runningTasks":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,12.7],["odd",1,"",0,0],7],
        "ended":[[58,"5c0e7a21d94b36f8.0.1.17",1,"lapsed",""],[59,"5c0e7a21d94b36f8.0.1.17",1,"odd",""]]})"
    };
    const auto tasks = decodeTasks(answer);
    const ports::Tasks expected { { 9 }, { { task, { 2 }, "c", 41, 12 } },
        { { 58, task, { 1 }, EndKind::LeaseExpired, "" } }, false, ports::UpstreamTime { 482113 } };
    BOOST_REQUIRE(tasks.has_value());
    BOOST_TEST((*tasks == expected));
    BOOST_TEST((decodeClock(answer) == ports::UpstreamTime { 482113 }));
    BOOST_TEST(!decodeTasks(Document { "odd" }).has_value());
    BOOST_TEST((decodeClock(Document { R"({"clockMs":482113})" }) == ports::UpstreamTime { 482113 }));
    BOOST_TEST(!decodeClock(Document { "{}" }).has_value());
    BOOST_TEST(!decodeClock(Document { R"({"clockMs":9223372036854775807})" }).has_value());
    BOOST_TEST(!decodeClock(Document { R"({"clockMs":-1})" }).has_value());
}

/** Rows of running and ended tasks, and how many of them are used. */
struct OddRow {
    const std::string running;
    const std::string ended;
    const std::size_t runs;
    const std::size_t ends;

    friend std::ostream& operator<<(std::ostream& out, const OddRow& row)
    {
        return out << row.running << " " << row.ended;
    }
};

const std::vector<OddRow> oddRows {
    { R"(["5c0e.0.1.17",1,"",41,12.7])", R"([1,"5c0e.0.1.17",1,"done",""])", 1, 1 },
    { R"(["5c0e.0.1.17",1e300,"",0,0])", R"([1e300,"5c0e.0.1.17",1,"done",""])", 0, 0 },
    { R"(["5c0e.0.1.17",-1,"",0,0])", R"([-1,"5c0e.0.1.17",1,"done",""])", 0, 0 },
    { R"(["5c0e.0.1.17","1","",0,0])", R"([1,"5c0e.0.1.17","1","done",""])", 0, 0 },
    { R"(["5c0e.0.1.17",1e400,"",0,0])", R"([1,"5c0e.0.1.17",-1e400,"done",""])", 0, 0 },
    { R"(["5c0e.0.1.17",1,"",1e300,-1e300])", R"([1,"5c0e.0.1.17",1,"done",7])", 1, 1 },
    { R"(["5c0e.0.1.17"])", R"([1])", 0, 0 },
    { "[]", "{}", 0, 0 },
    // Runs contain the revision of the store at which the owner's term began.
    { R"(["5c0e.0.1.17",1258291200000005,"",0,0])", R"([1,"5c0e.0.1.17",1258291200000005,"done",""])", 1, 1 },
    { R"(["5c0e.0.1.17",9223372036854775807,"",0,0])", R"([1,"5c0e.0.1.17",9223372036854775807,"done",""])",
        1, 1 },
    { R"(["5c0e.0.1.17",18446744073709551615,"",0,0])", R"([1000000000000001,"5c0e.0.1.17",1,"done",""])", 0,
        0 },
    { R"(["5c0e.0.1.17",1.5,"",0,0])", R"([1.5,"5c0e.0.1.17",1,"done",""])", 0, 0 },
};

/** Guards against numbers out of range, of which one would acknowledge all ends to come. */
BOOST_DATA_TEST_CASE(rows_with_odd_numbers_are_skipped, data::make(oddRows), row)
{
    const auto tasks = decodeTasks(Document { R"({"runningTasks":[)" + row.running
        + R"(,["5c0e.0.1.18",3,"",41,5]],"ended":[)" + row.ended + R"(,[2,"5c0e.0.1.18",2,"done",""]]})" });
    BOOST_REQUIRE(tasks.has_value());
    BOOST_TEST(tasks->running.size() == row.runs + 1);
    BOOST_TEST(tasks->ended.size() == row.ends + 1);
    BOOST_TEST(tasks->running.back().run.value == 3U);
    BOOST_TEST(tasks->ended.back().number == 2U);
}

/** Run numbers, in ascending order, as owners assign them while the store's revision grows. */
const std::vector<std::uint64_t> runNumbers { 1, (5ULL << 20U) + 1, (1'200'000'000ULL << 20U) + 1,
    (1ULL << 53U) + 1, (1ULL << 62U) + 1 };

/** Guards against runs that are not recognized in the lists of upstreams, so that no task ever ends. */
BOOST_DATA_TEST_CASE(runs_are_listed_as_they_were_ordered, data::make(runNumbers), number)
{
    const auto start
        = encodeStart({ scheduling::UpstreamId { "i-1" }, task, { number }, "", "" }, { 7 }, { 486000 });
    const auto run = std::to_string(number);
    BOOST_TEST(start.find(R"("run":)" + run + ",") != std::string::npos);
    const auto tasks = decodeTasks(Document { R"({"runningTasks":[["5c0e.0.1.17",)" + run
        + R"(,"",0,0]],"ended":[[1,"5c0e.0.1.17",)" + run + R"(,"done",""]]})" });
    BOOST_REQUIRE(tasks.has_value());
    BOOST_REQUIRE(tasks->running.size() == 1 && tasks->ended.size() == 1);
    BOOST_TEST(tasks->running.front().run.value == number);
    BOOST_TEST(tasks->ended.front().run.value == number);
}

/** Number of listed ends, of which the first is invalid, and whether the list may be truncated. */
struct ListRow {
    const std::size_t ends;
    const bool moreEnds;

    friend std::ostream& operator<<(std::ostream& out, const ListRow& row) { return out << row.ends; }
};

const std::vector<ListRow> lists { { 0, false }, { 1, false }, { 499, false }, { 500, true }, { 501, true } };

/** Guards against a truncated list of ends that is taken for the whole. */
BOOST_DATA_TEST_CASE(list_of_ends_may_be_truncated, data::make(lists), row)
{
    std::string ends;
    for (std::size_t number = 1; number <= row.ends; ++number) {
        ends += (ends.empty() ? "[" : ",[") + std::to_string(number) + R"(,"5c0e7a21d94b36f8.0.1.17",1,")"
            + (number == 1 ? "odd" : "done") + R"(",""])";
    }
    const auto tasks = decodeTasks(Document { R"({"runningTasks":[],"ended":[)" + ends + "]}" });
    BOOST_REQUIRE(tasks.has_value());
    BOOST_TEST(tasks->moreEnds == row.moreEnds);
}

struct EndRow {
    const char* word;
    const EndKind kind;

    friend std::ostream& operator<<(std::ostream& out, const EndRow& row) { return out << row.word; }
};

const std::vector<EndRow> endRows { { "done", EndKind::Done }, { "failed", EndKind::Failed },
    { "stopped", EndKind::Stopped }, { "lapsed", EndKind::LeaseExpired }, { "broken", EndKind::PeerEnded },
    { "alone", EndKind::GangIncomplete } };

/** Guards against an end of a task that is decoded as the wrong kind. */
BOOST_DATA_TEST_CASE(end_is_decoded, data::make(endRows), row)
{
    const auto tasks
        = decodeTasks(Document { R"({"runningTasks":[],"ended":[[1,"5c0e7a21d94b36f8.0.1.17",1,")"
            + std::string { row.word } + R"(",""]]})" });
    BOOST_REQUIRE_EQUAL(tasks->ended.size(), 1);
    BOOST_TEST((tasks->ended.front().kind == row.kind));
}

struct RejectionRow {
    const char* body;
    const OrderRejection reason;

    friend std::ostream& operator<<(std::ostream& out, const RejectionRow& row) { return out << row.body; }
};

const std::vector<RejectionRow> rejections {
    { R"({"clockMs":1,"reason":"fence"})", OrderRejection::StaleFencingToken },
    { R"({"reason":"old"})", OrderRejection::StaleRun },
    { R"({"reason":"late"})", OrderRejection::LeaseTooLate },
    { R"({"reason":"room"})", OrderRejection::NoRoom },
    { R"({"reason":"ticket"})", OrderRejection::InvalidTicket },
    { R"({"reason":"new"})", OrderRejection::Other },
    { "", OrderRejection::Other },
};

/** Guards against a rejection that is decoded as the wrong reason, in particular one by the fencing token. */
BOOST_DATA_TEST_CASE(rejection_is_decoded, data::make(rejections), row)
{
    BOOST_TEST((decodeRejection(row.body) == row.reason));
}

} // namespace

} // namespace wasabiroad::platform
