#include "wasabiroad/scheduling/room_index.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling::test {

namespace {

namespace data = boost::unit_test::data;

/** Required cpu, and the number of groups with it among two upstreams with 500 free and one with 900. */
struct NeedRow {
    const std::int64_t cpu;
    const std::size_t groups;

    friend std::ostream& operator<<(std::ostream& out, const NeedRow& row) { return out << row.cpu; }
};

const std::vector<NeedRow> needRows { { 0, 2 }, { 500, 2 }, { 501, 1 }, { 900, 1 }, { 901, 0 } };

/** Guards against visits of full upstreams, and against upstreams with just enough cpu being skipped. */
BOOST_DATA_TEST_CASE(only_groups_with_enough_cpu_are_visited, data::make(needRows), row)
{
    RoomIndex index;
    const auto kind = index.kindNumber({ .capacity = { 4000, 8000, 0 } });
    index.insert(UpstreamId { "a" }, { { 500, 8000, 0 }, kind });
    index.insert(UpstreamId { "b" }, { { 500, 8000, 0 }, kind });
    index.insert(UpstreamId { "c" }, { { 900, 0, 0 }, kind });
    BOOST_TEST(
        static_cast<std::size_t>(std::distance(index.firstWithCpu(row.cpu), index.end())) == row.groups);
}

/** Guards against upstreams that are returned after their removal. */
BOOST_AUTO_TEST_CASE(group_is_removed_with_its_last_upstream)
{
    RoomIndex index;
    const Room room { { 500, 8000, 0 }, index.kindNumber({ .rack = model::RackId { "r1" } }) };
    index.insert(UpstreamId { "a" }, room);
    index.insert(UpstreamId { "b" }, room);
    index.erase(UpstreamId { "a" }, room);
    BOOST_TEST(index.firstWithCpu(0)->second.size() == 1);
    index.erase(UpstreamId { "b" }, room);
    BOOST_TEST((index.firstWithCpu(0) == index.end()));
}

/** Guards against different upstreams that are treated as equivalent. */
BOOST_AUTO_TEST_CASE(kinds_differ_by_rack_labels_and_capacity)
{
    RoomIndex index;
    const auto plain = index.kindNumber({});
    BOOST_TEST(index.kindNumber({}) == plain);
    BOOST_TEST(index.kindNumber({ .capacity = { 1, 0, 0 } }) != plain);
    BOOST_TEST(index.kindNumber({ .rack = model::RackId { "r1" } }) != plain);
    BOOST_TEST(index.kindNumber({ .labels = { "l" } }) != plain);
}

} // namespace

} // namespace wasabiroad::scheduling::test
