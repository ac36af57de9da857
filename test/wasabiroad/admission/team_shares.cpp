#include "wasabiroad/admission/team_shares.hpp"

#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;

struct Row {
    const std::uint32_t quota;
    const std::uint32_t entries;
    const std::uint32_t share;
};

std::ostream& operator<<(std::ostream& stream, const Row& row)
{
    return stream << row.quota << " slots over " << row.entries << " entries";
}

const std::vector<Row> rows { { 16, 8, 2 }, { 17, 8, 3 }, { 1, 8, 1 }, { 0, 8, 0 }, { 5, 0, 5 } };

/** Guards against shares that are rounded down, which would leave part of a quota unused. */
BOOST_DATA_TEST_CASE(shares, boost::unit_test::data::make(rows), row)
{
    const model::Team team { model::TeamId { "team" }, row.quota };
    admission::TeamShares shares;
    shares.update(model::RoutingSnapshot { .teams = { { team.id, team } }, .entries = row.entries });
    const auto index = shares.indexOf(team.id);
    std::uint32_t taken = 0;
    while (!shares.isAtShare(index)) {
        shares.take(index);
        ++taken;
    }
    BOOST_TEST(taken == row.share);
    BOOST_TEST(!shares.isAtShare(shares.indexOf(model::TeamId { "unknown" })));
}

} // namespace
