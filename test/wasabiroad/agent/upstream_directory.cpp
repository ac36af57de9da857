#include "wasabiroad/agent/upstream_directory.hpp"

#include "wasabiroad/agent/site.hpp"

#include <stdexcept>
#include <utility>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;
using kernel::Duration;
using scheduling::UpstreamFacts;
using scheduling::UpstreamId;

UpstreamFacts makeFacts(const std::string& id, bool draining = false)
{
    return { .id = UpstreamId { id }, .service = service, .draining = draining };
}

/** Answer to a watch after a list of "a" and "b", and the resulting upstreams. */
struct Row {
    const char* title;
    const ports::UpstreamOutcome outcome;
    const std::vector<UpstreamFacts> known;
    /** @brief Number of calls of `onChange`, including the one for the list. */
    const std::size_t changes;
    const std::size_t lists;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<UpstreamFacts> both { makeFacts("a"), makeFacts("b") };

const std::vector<Row> rows {
    { "reports without a change", ports::UpstreamChanges { both, {}, { 2 } }, both, 1, 1 },
    { "one is removed", ports::UpstreamChanges { {}, { UpstreamId { "a" } }, { 2 } }, { makeFacts("b") }, 2,
        1 },
    { "one drains", ports::UpstreamChanges { { makeFacts("a", true) }, {}, { 2 } },
        { makeFacts("a", true), makeFacts("b") }, 2, 1 },
    { "one is added", ports::UpstreamChanges { { makeFacts("c") }, {}, { 2 } },
        { makeFacts("a"), makeFacts("b"), makeFacts("c") }, 2, 1 },
    { "the history is gone", store::HistoryGone {}, both, 2, 2 },
    { "no answer", kernel::Error { kernel::ResultCode::PlatformTimeout, "store", "" }, both, 1, 1 },
};

/** @brief A fake fleet that keeps the callbacks until a test calls them. */
struct DeferredFleet {
    std::size_t lists { 0 };
    std::size_t answered { 0 };
    std::vector<store::Callback<kernel::Expected<ports::UpstreamListing>>> listings {};
    std::vector<store::Callback<ports::UpstreamOutcome>> watches {};

    std::shared_ptr<const ports::Fleet> makeFleet()
    {
        return std::make_shared<const ports::Fleet>(ports::Fleet {
            .readOperator = {},
            .watchOperator = {},
            .listUpstreams =
                [this](auto callback) {
                    ++this->lists;
                    this->listings.push_back(std::move(callback));
                },
            .watchUpstreams = [this](store::Revision, kernel::Duration,
                                  auto callback) { this->watches.push_back(std::move(callback)); },
            .listVms = {},
            .maintain = {},
            .move = {},
            .waveStatus = {},
        });
    }
};

/** Guards against a directory that applies a change incorrectly. */
BOOST_DATA_TEST_CASE(directory_follows_changes, data::make(rows), row)
{
    boost::asio::io_context context { 1 };
    DeferredFleet calls;
    std::size_t changes = 0;
    const auto directory
        = std::make_shared<UpstreamDirectory>(context, calls.makeFleet(), [&] { ++changes; });
    directory->start();
    BOOST_REQUIRE_EQUAL(calls.listings.size(), 1);
    calls.listings.at(0)(ports::UpstreamListing { both, { 1 } });
    BOOST_REQUIRE_EQUAL(calls.watches.size(), 1);
    calls.watches.at(0)(row.outcome);
    if (calls.listings.size() > 1) {
        calls.listings.at(1)(ports::UpstreamListing { both, { 3 } });
    }
    BOOST_TEST((directory->upstreams() == row.known));
    BOOST_TEST(changes == row.changes);
    BOOST_TEST(calls.lists == row.lists);
    directory->stop();
}

/** Number of the call of `onChange` that throws, or the watch that is never answered. */
struct InterruptedRow {
    const char* title;
    const std::size_t throwing;
    const bool lostWatch;

    friend std::ostream& operator<<(std::ostream& out, const InterruptedRow& row) { return out << row.title; }
};

const std::vector<InterruptedRow> interruptions {
    { "the handler throws after the list", 1, false },
    { "the handler throws after a change", 2, false },
    { "a watch is never answered", 0, true },
};

/** Guards against a directory that stops following changes once a handler has thrown or a call was lost. */
BOOST_DATA_TEST_CASE(directory_goes_on_after_an_interruption, data::make(interruptions), row)
{
    boost::asio::io_context context { 1 };
    DeferredFleet calls;
    std::size_t changes = 0;
    const auto directory = std::make_shared<UpstreamDirectory>(context, calls.makeFleet(), [&] {
        if (++changes == row.throwing) {
            throw std::out_of_range { "map::at" };
        }
    });
    const auto answerAll = [&] {
        try {
            for (const auto& answer : std::exchange(calls.listings, {})) {
                ++calls.answered;
                answer(ports::UpstreamListing { both, { 1 } });
            }
            for (const auto& answer : std::exchange(calls.watches, {})) {
                ++calls.answered;
                answer(ports::UpstreamChanges { { makeFacts("c") }, {}, { 2 } });
            }
        } catch (const std::exception&) {
            // The threads of the daemon log what a handler throws and go on.
        }
    };
    directory->start();
    if (row.lostWatch) {
        std::exchange(calls.listings, {}).front()(ports::UpstreamListing { both, { 1 } });
        calls.watches.clear();
    }
    constexpr Duration interval { 50 };
    constexpr Duration limit { 8000 };
    const auto end = kernel::now(kernel::SteadyClock {}) + limit;
    while (calls.answered < 4 && kernel::now(kernel::SteadyClock {}) < end) {
        answerAll();
        context.restart();
        context.run_for(interval.chrono());
    }
    BOOST_TEST(calls.answered >= 4U);
    BOOST_TEST(directory->upstreams().size() == 3U);
    directory->stop();
}

/** Guards against a directory that goes on, beside its next start, when its handler has stopped it. */
BOOST_DATA_TEST_CASE(directory_can_be_stopped_by_its_handler, data::make({ 1, 2 }), call)
{
    boost::asio::io_context context { 1 };
    DeferredFleet calls;
    int changes = 0;
    std::shared_ptr<UpstreamDirectory> directory;
    directory = std::make_shared<UpstreamDirectory>(context, calls.makeFleet(), [&] {
        if (++changes == call) {
            directory->stop();
        }
    });
    directory->start();
    calls.listings.at(0)(ports::UpstreamListing { both, { 1 } });
    const auto watches = calls.watches.size();
    if (call == 2) {
        calls.watches.at(0)(ports::UpstreamChanges { { makeFacts("c") }, {}, { 2 } });
    }
    constexpr Duration beyondDelays { 500 };
    context.run_for(beyondDelays.chrono());
    BOOST_TEST(watches == static_cast<std::size_t>(call - 1));
    BOOST_TEST(calls.watches.size() == watches);
}

/** Guards against repeated reads of the list, which fill a slow link and delay the owner's lease renewals. */
BOOST_AUTO_TEST_CASE(upstreams_are_listed_once_and_then_watched)
{
    Site site { 3 };
    BOOST_REQUIRE(site.waitForOwner());
    site.runFor(2500);
    BOOST_TEST(site.upstreamLists == 1);
}

} // namespace

} // namespace wasabiroad::agent::test
