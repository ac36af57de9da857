#include "wasabiroad/fleet/layout.hpp"

#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace {

using namespace wasabiroad;
using ZoneCounts = std::map<model::ZoneId, std::uint32_t>;

const model::ZoneId a { "a" };
const model::ZoneId b { "b" };
const model::ZoneId c { "c" };

struct Row {
    const std::string label;
    const std::uint32_t total;
    const ZoneCounts weights;
    const ZoneCounts parts;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "even", 3, { { a, 4 }, { b, 4 }, { c, 4 } }, { { a, 1 }, { b, 1 }, { c, 1 } } },
    Row { "total less than the number of zones", 2, { { a, 4 }, { b, 4 }, { c, 4 } },
        { { a, 1 }, { b, 1 }, { c, 0 } } },
    Row { "largest remainder wins", 2, { { a, 2 }, { b, 3 }, { c, 3 } }, { { a, 0 }, { b, 1 }, { c, 1 } } },
    Row { "zone without VMs", 2, { { a, 0 }, { b, 5 }, { c, 1 } }, { { a, 0 }, { b, 2 }, { c, 0 } } },
    Row { "no VMs", 2, { { a, 0 } }, {} },
};

/** Guards against zones that derive different shares from the same manifest. */
BOOST_DATA_TEST_CASE(splits_by_largest_remainder, boost::unit_test::data::make(rows), row)
{
    BOOST_TEST((fleet::splitByLargestRemainder(row.total, row.weights) == row.parts));
}

/** Guards against shares that do not add up to the budget. */
BOOST_AUTO_TEST_CASE(shares_sum_to_the_budget)
{
    BOOST_TEST(rc::check([](std::uint16_t total, const std::map<std::string, std::uint16_t>& weights) {
        ZoneCounts typed;
        std::uint64_t sum = 0;
        for (const auto& [zone, weight] : weights) {
            typed.emplace(model::ZoneId { zone }, weight);
            sum += weight;
        }
        std::uint64_t shared = 0;
        for (const auto& [zone, part] : fleet::splitByLargestRemainder(total, typed)) {
            shared += part;
        }
        RC_ASSERT(shared == (sum == 0 ? 0U : total));
    }));
}

} // namespace
