#include "wasabiroad/agent/upstream_agent.hpp"

#include <ostream>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

const scheduling::UpstreamId upstream { "u" };

/** Longest wait for a look; it only ends a test that fails. */
constexpr std::chrono::seconds patience { 30 };

ports::LookOutcome listOf(std::int64_t born, std::uint64_t ends)
{
    std::vector<scheduling::EndedTask> ended;
    for (std::uint64_t number = 1; number <= ends; ++number) {
        ended.push_back({ number, { jobs::JobId { "a" }, { 0, 0, static_cast<std::uint32_t>(number) } },
            { number }, scheduling::EndKind::Done, "" });
    }
    return ports::Tasks { { born }, {}, std::move(ended) };
}

const ports::LookOutcome silence { kernel::Error { kernel::ResultCode::PlatformTimeout, "u", "no answer" } };

/** Answers to looks; the ends of a life that were recorded then; and what the next look acknowledges. */
struct Row {
    const char* title;
    const std::vector<ports::LookOutcome> answers;
    const kernel::Instant recordedLife;
    const std::uint64_t recordedEnd;
    /** @brief Answers that come before the records are written. */
    const std::size_t answersBefore;
    const std::uint64_t acknowledged;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "ends of this life", { listOf(1, 40) }, { 1 }, 40, 1, 40 },
    { "more than was listed", { listOf(1, 3) }, { 1 }, 40, 1, 3 },
    { "ends of a former life", { listOf(1, 40), listOf(2, 3) }, { 1 }, 40, 2, 0 },
    { "silence may hide a new life", { listOf(1, 40), silence }, { 1 }, 40, 1, 0 },
    { "the same life after a silence", { listOf(1, 40), silence, listOf(1, 0) }, { 1 }, 40, 1, 40 },
};

/** Guards against ends that an upstream forgets before they are recorded: their tasks would run again. */
BOOST_DATA_TEST_CASE(only_recorded_ends_are_acknowledged, data::make(rows), row)
{
    boost::asio::io_context context { 1 };
    std::vector<std::uint64_t> looks;
    std::shared_ptr<UpstreamAgent> agent;
    std::size_t answered = 0;
    const auto link = std::make_shared<const ports::UpstreamLink>(ports::UpstreamLink {
        .look =
            [&](const ports::Look& look, const store::Callback<ports::LookOutcome>& callback) {
                looks.push_back(look.acknowledged);
                if (looks.size() <= row.answers.size()) {
                    boost::asio::post(context, [&, callback, outcome = row.answers[looks.size() - 1]] {
                        callback(outcome);
                        if (++answered == row.answersBefore) {
                            agent->acknowledge(row.recordedLife, row.recordedEnd);
                        }
                    });
                }
            },
        .start = {},
        .stop = {},
        .pace = {},
    });
    agent = std::make_shared<UpstreamAgent>(context, link, scheduling::UpstreamFacts { .id = upstream },
        ports::Term { 1 }, kernel::Duration { 4000 },
        UpstreamEvents {
            .tasks = [](const auto&, const auto&, auto) {},
            .silent = [](const auto&, auto) {},
            .replaced = [](const auto&) {},
            .superseded = [] {},
            .mayRenewLeases = [] { return true; },
            .frequent = [](const auto&) { return false; },
        });
    agent->start();
    const auto end = std::chrono::steady_clock::now() + patience;
    while (looks.size() <= row.answers.size() && std::chrono::steady_clock::now() < end) {
        context.run_for(std::chrono::milliseconds { 5 });
    }
    BOOST_REQUIRE(looks.size() == row.answers.size() + 1);
    BOOST_TEST(looks.back() == row.acknowledged);
    agent->close();
}

} // namespace

} // namespace wasabiroad::agent::test
