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

/** @return Rank of a step; jobs are ordered by name. */
Rank rankOf(const std::string& job) { return { .step = { jobs::JobId { job } } }; }

/** Resources that become free while all steps are blocked, and the first step afterwards: a requires 300, b
 * 100, c 300. */
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

/** Guards against steps that stay blocked although resources for them have become free. */
BOOST_DATA_TEST_CASE(requirements_are_unblocked_by_enough_free_resources, data::make(roomRows), row)
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

/** Guards against trying each step whose requirements no upstream meets. */
BOOST_AUTO_TEST_CASE(step_with_blocked_requirements_is_not_first)
{
    WaitingIndex index;
    index.insert(rankOf("b"), requiring(300));
    index.block(requiring(300));
    index.insert(rankOf("a"), requiring(300));
    BOOST_TEST((index.first() == nullptr));
    index.insert(rankOf("c"), requiring(100));
    BOOST_TEST(index.first()->job.text() == "c");
}

/** Guards against requirements that stay blocked after their last step was removed. */
BOOST_AUTO_TEST_CASE(requirements_without_steps_are_removed)
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
