#include "wasabiroad/routing/placement.hpp"

#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using routing::FreeUpstreams;
using routing::GroupMember;

/** @brief Outstanding requests of each member; -1 for an unavailable one. */
using Loads = std::vector<int>;

struct Row {
    const char* const failure;
    const model::PlacementPolicy policy;
    const std::vector<Loads> groups;
    const std::vector<std::uint32_t> eligible;
    const std::optional<GroupMember> avoid;
    const std::vector<std::optional<GroupMember>> chosen;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.failure; }

const std::vector<Row> rows {
    { "a busier upstream is taken", model::LeastOutstanding {}, { { 3, 1, 2 } }, { 0 }, {},
        { GroupMember { 0, 1 } } },
    { "an unavailable upstream is taken", model::LeastOutstanding {}, { { -1, 5, -1 } }, { 0 }, {},
        { GroupMember { 0, 1 } } },
    { "the failed upstream is taken again", model::LeastOutstanding {}, { { 4, 0, 9 } }, { 0 },
        GroupMember { 0, 1 }, { GroupMember { 0, 0 } } },
    { "the only upstream is avoided", model::LeastOutstanding {}, { { 0 } }, { 0 }, GroupMember { 0, 0 },
        { GroupMember { 0, 0 } } },
    { "a better equipped upstream is taken at equal load", model::LeastOutstanding {}, { { 1 }, { 1 } },
        { 1, 0 }, {}, { GroupMember { 1, 0 } } },
    { "a group that is not eligible is used", model::LeastOutstanding {}, { { 0 }, { 7 } }, { 1 }, {},
        { GroupMember { 1, 0 } } },
    { "a full group is used", model::TwoChoices {}, { { -1 }, { -1, -1 } }, { 0, 1 }, {}, { std::nullopt } },
    { "the busier of two is taken", model::TwoChoices {}, { { 4, 2 } }, { 0 }, GroupMember { 0, 0 },
        { GroupMember { 0, 1 } } },
    { "round robin does not advance", model::RoundRobin {}, { { 0, -1, 9, 3 } }, { 0 }, {},
        { GroupMember { 0, 0 }, GroupMember { 0, 2 }, GroupMember { 0, 3 }, GroupMember { 0, 0 } } },
};

BOOST_DATA_TEST_CASE(places, boost::unit_test::data::make(rows), row)
{
    std::vector<FreeUpstreams> groups;
    for (const auto& loads : row.groups) {
        auto& group = groups.emplace_back();
        for (const auto load : loads) {
            const auto member = group.add();
            group.markFree(member, 0);
            if (load >= 0) {
                group.markFree(member, static_cast<std::uint32_t>(load));
            } else {
                group.markUnavailable(member);
            }
        }
    }
    for (const auto& expected : row.chosen) {
        BOOST_TEST((routing::chooseUpstream(row.policy, groups, row.eligible, 7, row.avoid) == expected));
    }
}

} // namespace
