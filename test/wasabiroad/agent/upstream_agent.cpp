#include "wasabiroad/agent/upstream_agent.hpp"

#include <ostream>
#include <stdexcept>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

const scheduling::UpstreamId upstream { "u" };

/** Time limit of the test; only reached when it fails. */
constexpr std::chrono::seconds testTimeout { 30 };

ports::LookOutcome makeTasks(std::int64_t born, std::uint64_t ends)
{
    std::vector<scheduling::EndedTask> ended;
    for (std::uint64_t number = 1; number <= ends; ++number) {
        ended.push_back({ number, { jobs::JobId { "a" }, { 0, 0, static_cast<std::uint32_t>(number) } },
            { number }, scheduling::EndKind::Done, "" });
    }
    return ports::Tasks { { born }, {}, std::move(ended) };
}

const ports::LookOutcome noAnswer { kernel::Error { kernel::ResultCode::PlatformTimeout, "u", "no answer" } };

/** Answers to polls, the ends that are recorded after some of them, and what the next poll acknowledges. */
struct Row {
    const char* title;
    const std::vector<ports::LookOutcome> answers;
    const kernel::Instant recordedIncarnation;
    const std::uint64_t recordedEnd;
    /** @brief Number of answers before the ends are recorded. */
    const std::size_t answersBefore;
    const std::uint64_t acknowledged;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "ends of this incarnation", { makeTasks(1, 40) }, { 1 }, 40, 1, 40 },
    { "more ends than were listed", { makeTasks(1, 3) }, { 1 }, 40, 1, 3 },
    { "ends of an earlier incarnation", { makeTasks(1, 40), makeTasks(2, 3) }, { 1 }, 40, 2, 0 },
    { "a missing answer may mean a new incarnation", { makeTasks(1, 40), noAnswer }, { 1 }, 40, 1, 0 },
    { "the same incarnation after a missing answer", { makeTasks(1, 40), noAnswer, makeTasks(1, 0) }, { 1 },
        40, 1, 40 },
    { "an acknowledgement that was answered is not repeated", { makeTasks(1, 40), makeTasks(1, 0) }, { 1 },
        40, 1, 0 },
};

/** Guards against acknowledging ends before they are recorded: an upstream drops acknowledged ends, and their
 * tasks would run again. */
BOOST_DATA_TEST_CASE(only_recorded_ends_are_acknowledged, data::make(rows), row)
{
    boost::asio::io_context context { 1 };
    std::vector<std::uint64_t> acknowledgements;
    std::shared_ptr<UpstreamAgent> agent;
    std::size_t answered = 0;
    const auto link = std::make_shared<const ports::UpstreamLink>(ports::UpstreamLink {
        .look =
            [&](const ports::Look& look, const store::Callback<ports::LookOutcome>& callback) {
                acknowledgements.push_back(look.acknowledged);
                if (acknowledgements.size() <= row.answers.size()) {
                    boost::asio::post(
                        context, [&, callback, outcome = row.answers[acknowledgements.size() - 1]] {
                            callback(outcome);
                            if (++answered == row.answersBefore) {
                                agent->acknowledge(row.recordedIncarnation, row.recordedEnd);
                            }
                        });
                }
            },
        .start = {},
        .stop = {},
        .pace = {},
    });
    agent = std::make_shared<UpstreamAgent>(context, link, scheduling::UpstreamFacts { .id = upstream },
        kernel::Duration { 4000 },
        UpstreamCallbacks {
            .onTasks = [](const auto&, const auto&, auto, auto) {},
            .onUnresponsive = [](const auto&, auto) {},
            .onReplaced = [](const auto&) {},
            .onSuperseded = [] {},
            .mayRenewLeases = [] { return true; },
            .needsFrequentPolling = [](const auto&) { return false; },
            .latestFence = [] { return ports::Term { 1 }; },
        });
    agent->start();
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (acknowledgements.size() <= row.answers.size() && std::chrono::steady_clock::now() < end) {
        context.run_for(std::chrono::milliseconds { 5 });
    }
    BOOST_REQUIRE(acknowledgements.size() == row.answers.size() + 1);
    BOOST_TEST(acknowledgements.back() == row.acknowledged);
    agent->close();
}

/** Guards against an upstream that is never polled again because a handler threw once. */
BOOST_DATA_TEST_CASE(polls_go_on_after_a_handler_has_thrown, data::make({ true, false }), answers)
{
    constexpr std::size_t polls = 3;
    boost::asio::io_context context { 1 };
    std::size_t polled = 0;
    const auto link = std::make_shared<const ports::UpstreamLink>(ports::UpstreamLink {
        .look =
            [&](const ports::Look&, const store::Callback<ports::LookOutcome>& callback) {
                ++polled;
                boost::asio::post(
                    context, [callback, answers] { callback(answers ? makeTasks(1, 0) : noAnswer); });
            },
        .start = {},
        .stop = {},
        .pace = {},
    });
    const auto agent = std::make_shared<UpstreamAgent>(context, link,
        scheduling::UpstreamFacts { .id = upstream }, kernel::Duration { 4000 },
        UpstreamCallbacks {
            .onTasks
            = [](const auto&, const auto&, auto, auto) { throw std::runtime_error { "unexpected task" }; },
            .onUnresponsive = [](const auto&, auto) { throw std::runtime_error { "unexpected upstream" }; },
            .onReplaced = [](const auto&) {},
            .onSuperseded = [] {},
            .mayRenewLeases = [] { return true; },
            .needsFrequentPolling = [](const auto&) { return false; },
            .latestFence = [] { return ports::Term { 1 }; },
        });
    agent->start();
    for (int step = 0; step < 400 && polled < polls; ++step) {
        try {
            context.run_for(std::chrono::milliseconds { 5 });
        } catch (const std::runtime_error& error) {
            BOOST_TEST_MESSAGE(error.what());
        }
    }
    BOOST_TEST(polled >= polls);
    agent->close();
}

const jobs::TaskId task { jobs::JobId { "a" }, { 0, 0, 0 } };

/** An answer to a start, and what the agent does then. */
struct StartRow {
    const char* title;
    const ports::StartAnswer answer;
    const bool restarted;

    friend std::ostream& operator<<(std::ostream& out, const StartRow& row) { return out << row.title; }
};

const std::vector<StartRow> startRows {
    { "the same incarnation", { scheduling::StartResult::Started, ports::UpstreamTime { 50100 } }, false },
    { "the next incarnation", { scheduling::StartResult::Started, ports::UpstreamTime { 100 } }, true },
    { "the next incarnation rejects it", { scheduling::StartResult::NoRoom, ports::UpstreamTime { 100 } },
        true },
    { "no answer", { scheduling::StartResult::Unknown }, false },
};

/** Guards against leases, acknowledgements and starts that are meant for an earlier incarnation of an
 * upstream, and against a list of that incarnation which arrives after an answer of the next one. */
BOOST_DATA_TEST_CASE(
    restart_that_a_start_shows_ends_all_that_was_meant_for_the_former_incarnation, data::make(startRows), row)
{
    boost::asio::io_context context { 1 };
    std::vector<ports::Look> looks;
    std::vector<store::Callback<ports::LookOutcome>> waiting;
    std::vector<ports::UpstreamTime> leaseEnds;
    std::size_t unresponsive = 0;
    std::size_t lists = 0;
    const auto link = std::make_shared<const ports::UpstreamLink>(ports::UpstreamLink {
        .look =
            [&](const ports::Look& look, const store::Callback<ports::LookOutcome>& callback) {
                looks.push_back(look);
                waiting.push_back(callback);
            },
        .start =
            [&](const scheduling::StartTask&, ports::Term, ports::UpstreamTime leaseEnd,
                const ports::Permission&, const store::Callback<ports::StartOutcome>& callback) {
                leaseEnds.push_back(leaseEnd);
                callback(row.answer);
            },
        .stop = {},
        .pace = {},
    });
    const auto agent = std::make_shared<UpstreamAgent>(context, link,
        scheduling::UpstreamFacts { .id = upstream }, kernel::Duration { 4000 },
        UpstreamCallbacks {
            .onTasks = [&](const auto&, const auto&, auto, auto) { ++lists; },
            .onUnresponsive = [&](const auto&, auto) { ++unresponsive; },
            .onReplaced = [](const auto&) {},
            .onSuperseded = [] {},
            .mayRenewLeases = [] { return true; },
            .needsFrequentPolling = [](const auto&) { return false; },
            .latestFence = [] { return ports::Term { 1 }; },
        });
    std::vector<StartReport> reports;
    const scheduling::StartTask order { .upstream = upstream, .task = task, .run = { 1 } };
    const auto startTask = [&] {
        agent->startTask(
            order, [] { return true; }, [&](const StartReport& report) { reports.push_back(report); });
    };
    const auto tasksOf = [](std::int64_t born, std::int64_t clock) {
        return ports::Tasks { { born }, {}, {}, false, ports::UpstreamTime { clock } };
    };
    const auto work = boost::asio::make_work_guard(context);
    const auto pass = [&] { context.run_for(std::chrono::milliseconds { 5 }); };
    const auto runUntilPolls = [&](std::size_t count) {
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (looks.size() < count && std::chrono::steady_clock::now() < end) {
            pass();
        }
        BOOST_REQUIRE(looks.size() == count);
    };

    agent->start();
    startTask();
    BOOST_TEST(leaseEnds.empty());
    waiting[0](tasksOf(1, 50000));
    runUntilPolls(2);
    BOOST_TEST(looks.back().leaseEnd.has_value());
    startTask();
    BOOST_REQUIRE(leaseEnds.size() == 1);
    BOOST_TEST(leaseEnds.front().milliseconds >= 54000);
    BOOST_REQUIRE(reports.size() == 2);
    BOOST_TEST(reports.back().restarted == row.restarted);
    BOOST_TEST(agent->isAnswering() != row.restarted);
    BOOST_TEST(unresponsive == (row.restarted ? 1U : 0U));
    startTask();
    BOOST_TEST(leaseEnds.size() == (row.restarted ? 1U : 2U));
    // The poll that was sent before the restart is answered late by the former incarnation.
    waiting[1](tasksOf(1, 50100));
    runUntilPolls(3);
    BOOST_TEST(lists == (row.restarted ? 1U : 2U));
    BOOST_TEST(looks.back().leaseEnd.has_value() != row.restarted);
    BOOST_TEST(looks.back().wait.milliseconds > 0 != row.restarted);
    const auto reached = agent->reachedAt();
    pass();
    waiting[2](tasksOf(row.restarted ? 2 : 1, row.restarted ? 200 : 50200));
    BOOST_TEST(agent->isAnswering());
    BOOST_TEST((agent->reachedAt() > reached) == row.restarted);
    runUntilPolls(4);
    BOOST_TEST(looks.back().leaseEnd.has_value());
    BOOST_TEST((looks.back().leaseEnd->milliseconds < 50000) == row.restarted);
    agent->close();
}

/** What shows a restart of the upstream, and the fencing tokens of the calls after it. */
struct FenceRow {
    const char* title;
    const bool listShowsRestart;
    const bool startShowsRestart;
    /** @brief The last start before it has no answer. */
    const bool losesAnswer;
    /** @brief Highest token of the owner after the restart; it was 1 before. */
    const std::uint64_t latest;
    /** @brief Token of the next start; nothing if it must not be sent. */
    const std::optional<std::uint64_t> expected;

    friend std::ostream& operator<<(std::ostream& out, const FenceRow& row) { return out << row.title; }
};

const std::vector<FenceRow> fenceRows {
    { "no restart", false, false, false, 9, 1 },
    { "a list shows a restart", true, false, false, 9, 9 },
    { "a start shows a restart", false, true, false, 9, 9 },
    { "a list shows a restart, and there is no higher token yet", true, false, false, 1, {} },
    { "a start shows a restart, and there is no higher token yet", false, true, false, 1, {} },
    { "a start has no answer", false, false, true, 9, 9 },
    { "a start has no answer, and there is no higher token yet", false, false, true, 1, 1 },
};

/** Guards against calls to the former incarnation that the present one carries out, as it rejects only lower
 * fencing tokens than it has seen (TWICE). */
BOOST_DATA_TEST_CASE(restart_or_missing_answer_raises_the_fencing_token, data::make(fenceRows), row)
{
    boost::asio::io_context context { 1 };
    const auto work = boost::asio::make_work_guard(context);
    std::vector<ports::Look> looks;
    std::vector<store::Callback<ports::LookOutcome>> waiting;
    std::vector<ports::Term> startTerms;
    // The clock of the upstream began this long before the test.
    kernel::Duration age { 50000 };
    const auto begin = kernel::bootNow();
    const auto clock = [&] { return ports::UpstreamTime { (kernel::bootNow() - begin + age).milliseconds }; };
    ports::Term latest { 1 };
    bool isAnswered = !row.losesAnswer;
    const auto link = std::make_shared<const ports::UpstreamLink>(ports::UpstreamLink {
        .look =
            [&](const ports::Look& look, const store::Callback<ports::LookOutcome>& callback) {
                looks.push_back(look);
                waiting.push_back(callback);
            },
        .start =
            [&](const scheduling::StartTask&, ports::Term term, ports::UpstreamTime, const ports::Permission&,
                const store::Callback<ports::StartOutcome>& callback) {
                startTerms.push_back(term);
                callback(isAnswered ? ports::StartAnswer { scheduling::StartResult::Started, clock() }
                                    : ports::StartAnswer { scheduling::StartResult::Unknown });
            },
        .stop = {},
        .pace = {},
    });
    const auto agent = std::make_shared<UpstreamAgent>(context, link,
        scheduling::UpstreamFacts { .id = upstream }, kernel::Duration { 4000 },
        UpstreamCallbacks {
            .onTasks = [](const auto&, const auto&, auto, auto) {},
            .onUnresponsive = [](const auto&, auto) {},
            .onReplaced = [](const auto&) {},
            .onSuperseded = [] {},
            .mayRenewLeases = [] { return true; },
            .needsFrequentPolling = [](const auto&) { return false; },
            .latestFence = [&] { return latest; },
        });
    std::vector<StartReport> reports;
    const auto startTask = [&] {
        agent->startTask(
            { .upstream = upstream, .task = task, .run = { 1 } }, [] { return true; },
            [&](const StartReport& report) { reports.push_back(report); });
    };
    const auto answerPoll = [&](std::int64_t born) {
        const auto polls = looks.size();
        const auto answer = waiting.back();
        answer(ports::Tasks { { born }, {}, {}, false, clock() });
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (looks.size() == polls && std::chrono::steady_clock::now() < end) {
            context.run_for(std::chrono::milliseconds { 5 });
        }
        BOOST_REQUIRE(looks.size() == polls + 1);
    };

    agent->start();
    answerPoll(1);
    startTask();
    BOOST_REQUIRE(startTerms.size() == 1);
    BOOST_TEST(startTerms.back().value == 1);
    isAnswered = true;
    latest = { row.latest };
    const bool restarts = row.listShowsRestart || row.startShowsRestart;
    age = restarts ? kernel::Duration {} : age;
    if (row.startShowsRestart) {
        startTask();
        BOOST_TEST(reports.back().restarted);
    }
    answerPoll(restarts ? 2 : 1);
    if (row.startShowsRestart) {
        // The poll that was sent before the restart was seen is outdated.
        answerPoll(2);
    }
    startTerms.clear();
    startTask();
    const ports::StartAnswer notTried { scheduling::StartResult::NotTried };
    BOOST_TEST(startTerms.size() == (row.expected ? 1U : 0U));
    BOOST_TEST((reports.back().outcome == ports::StartOutcome { notTried }) == !row.expected);
    if (row.expected) {
        BOOST_TEST(startTerms.front().value == *row.expected);
        BOOST_TEST(looks.back().term.value == *row.expected);
    }
    agent->close();
}

/** What an agent has done since it sent a stop whose fencing token is rejected, and whether that shows that
 * another owner has taken over. */
struct RejectionRow {
    const char* title;
    /** @brief It has raised its token, since a start had no answer. */
    const bool raisesFence;
    /** @brief Another agent has replaced it. */
    const bool closes;
    const bool superseded;

    friend std::ostream& operator<<(std::ostream& out, const RejectionRow& row) { return out << row.title; }
};

const std::vector<RejectionRow> rejectionRows {
    { "it still has the token", false, false, true },
    { "it has used a higher token", true, false, false },
    { "it is closed", false, true, false },
};

/** Guards against an owner that gives up its pool since it has overtaken itself with a higher token. */
BOOST_DATA_TEST_CASE(
    only_the_rejection_of_the_highest_token_shows_another_owner, data::make(rejectionRows), row)
{
    boost::asio::io_context context { 1 };
    std::vector<store::Callback<ports::LookOutcome>> polls;
    std::vector<store::Callback<ports::OrderOutcome>> stops;
    ports::Term latest { 1 };
    const auto link = std::make_shared<const ports::UpstreamLink>(ports::UpstreamLink {
        .look = [&](const ports::Look&,
                    const store::Callback<ports::LookOutcome>& callback) { polls.push_back(callback); },
        .start =
            [](const scheduling::StartTask&, ports::Term, ports::UpstreamTime, const ports::Permission&,
                const store::Callback<ports::StartOutcome>& callback) {
                callback(ports::StartAnswer { scheduling::StartResult::Unknown });
            },
        .stop = [&](const scheduling::StopTask&, ports::Term,
                    const store::Callback<ports::OrderOutcome>& callback) { stops.push_back(callback); },
        .pace = {},
    });
    const auto agent = std::make_shared<UpstreamAgent>(context, link,
        scheduling::UpstreamFacts { .id = upstream }, kernel::Duration { 4000 },
        UpstreamCallbacks {
            .onTasks = [](const auto&, const auto&, auto, auto) {},
            .onUnresponsive = [](const auto&, auto) {},
            .onReplaced = [](const auto&) {},
            .onSuperseded = [] {},
            .mayRenewLeases = [] { return true; },
            .needsFrequentPolling = [](const auto&) { return false; },
            .latestFence = [&] { return latest; },
        });
    std::vector<ports::OrderOutcome> outcomes;
    const auto stopTask = [&] {
        agent->stopTask({ .upstream = upstream, .task = task, .run = { 1 } },
            [&](const ports::OrderOutcome& outcome) { outcomes.push_back(outcome); });
    };
    agent->start();
    polls.front()(ports::Tasks { { 1 }, {}, {}, false, ports::UpstreamTime { 50000 } });
    stopTask();
    // The owner commits changes all the time; they alone say nothing about what the upstream has seen.
    latest = { 9 };
    if (row.raisesFence) {
        agent->startTask(
            { .upstream = upstream, .task = task, .run = { 1 } }, [] { return true; },
            [](const StartReport&) {});
        stopTask();
    }
    if (row.closes) {
        agent->close();
    }
    const auto answer = stops.front();
    answer(ports::Superseded {});
    BOOST_REQUIRE(outcomes.size() == 1);
    const ports::OrderOutcome superseded { ports::Superseded {} };
    BOOST_TEST((outcomes.front() == (row.superseded ? superseded : ports::OrderOutcome { false })));
    agent->close();
}

} // namespace

} // namespace wasabiroad::agent::test
