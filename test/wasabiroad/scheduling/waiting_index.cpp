#include "wasabiroad/scheduling/waiting_index.hpp"

#include <optional>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

constexpr std::int64_t memory = 100;

Requirements requiring(std::int64_t cpu) { return { .resources = { cpu, memory, 0 } }; }

/** @return A step that goes before those with a later letter. */
Rank rankOf(const std::string& job) { return { .step = { jobs::JobId { job } } }; }

/** Room that appears once nothing fitted, and the step that goes first then: a needs 300, b 100, c 300. */
struct RoomRow {
    const jobs::Resources room;
    const std::optional<std::string> first;
    const std::size_t compared;

    friend std::ostream& operator<<(std::ostream& out, const RoomRow& row)
    {
        return out << row.room.cpu << " of cpu and " << row.room.memory << " of memory";
    }
};

const std::vector<RoomRow> roomRows {
    { { 50, memory, 0 }, std::nullopt, 0 },
    { { 100, memory, 0 }, "b", 1 },
    { { 299, memory, 0 }, "b", 1 },
    { { 300, memory, 0 }, "a", 2 },
    { { 300, memory - 1, 0 }, std::nullopt, 2 },
};

/** Guards against steps that wait though room for them has appeared. */
BOOST_DATA_TEST_CASE(needs_come_back_with_room_that_may_hold_them, data::make(roomRows), row)
{
    WaitingIndex index;
    index.insert(rankOf("a"), requiring(300));
    index.insert(rankOf("b"), requiring(100));
    index.insert(rankOf("c"), requiring(300));
    index.block(requiring(100));
    index.block(requiring(300));
    BOOST_TEST((index.first() == nullptr));
    BOOST_TEST(index.unblock(row.room) == row.compared);
    const auto* const first = index.first();
    BOOST_TEST(((first != nullptr ? std::optional { first->job.text() } : std::nullopt) == row.first));
}

/** Guards against steps with needs that found no room being looked at one by one. */
BOOST_AUTO_TEST_CASE(step_with_needs_that_are_set_aside_is_not_first)
{
    WaitingIndex index;
    index.insert(rankOf("b"), requiring(300));
    index.block(requiring(300));
    index.insert(rankOf("a"), requiring(300));
    BOOST_TEST((index.first() == nullptr));
    index.insert(rankOf("c"), requiring(100));
    BOOST_TEST(index.first()->job.text() == "c");
}

/** Guards against needs that stay set aside after the last step with them has gone. */
BOOST_AUTO_TEST_CASE(needs_without_steps_are_forgotten)
{
    WaitingIndex index;
    index.insert(rankOf("a"), requiring(300));
    index.block(requiring(300));
    index.erase(rankOf("a"), requiring(300));
    BOOST_TEST(index.unblock({ 300, memory, 0 }) == 0);
    index.insert(rankOf("a"), requiring(300));
    BOOST_TEST(index.first()->job.text() == "a");
}

} // namespace

} // namespace wasabiroad::scheduling::test
