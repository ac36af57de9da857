#include "wasabiroad/admission/queue_order.hpp"

#include <ostream>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using admission::QueueCandidate;
using admission::WorkClass;

const model::QueuePolicy firstCome { model::FirstComeFirstServed {} };
const model::QueuePolicy shortFirst { model::ShortFirst { 12, 64 } };

struct OrderRow {
    const char* const failure;
    const model::QueuePolicy policy;
    const QueueCandidate first;
    const QueueCandidate second;
};

std::ostream& operator<<(std::ostream& stream, const OrderRow& row) { return stream << row.failure; }

const std::vector<OrderRow> orderRows {
    { "short first ignores the class", shortFirst, { WorkClass::Short, false, 0, 2 },
        { WorkClass::Long, false, 63, 1 } },
    { "the overtake bound is ignored", shortFirst, { WorkClass::Long, false, 64, 2 },
        { WorkClass::Short, false, 0, 1 } },
    { "a team at its share goes first", shortFirst, { WorkClass::Long, false, 0, 2 },
        { WorkClass::Short, true, 0, 1 } },
    { "a long request at its overtake bound goes before teams below their share", shortFirst,
        { WorkClass::Short, false, 0, 2 }, { WorkClass::Long, true, 99, 1 } },
    { "the order of arrival is ignored", firstCome, { WorkClass::Long, false, 0, 1 },
        { WorkClass::Short, false, 0, 2 } },
};

BOOST_DATA_TEST_CASE(ranks, boost::unit_test::data::make(orderRows), row)
{
    BOOST_TEST((rank(row.policy, row.first) < rank(row.policy, row.second)));
}

struct LimitRow {
    const char* const failure;
    const model::QueuePolicy policy;
    const std::uint32_t slots;
    const bool shortExpected;
    const std::uint32_t limit;
};

std::ostream& operator<<(std::ostream& stream, const LimitRow& row) { return stream << row.failure; }

const std::vector<LimitRow> limitRows {
    { "no slot is reserved for short work", shortFirst, 80, true, 71 },
    { "a small pool reserves no slot", shortFirst, 4, true, 3 },
    { "the only slot is reserved", shortFirst, 1, true, 1 },
    { "an empty pool underflows", shortFirst, 0, true, 0 },
    { "slots stay reserved without short work", shortFirst, 80, false, 80 },
    { "a reserve of 0 % reserves a slot", model::ShortFirst { 0, 64 }, 80, true, 80 },
    { "a reserve of 100 % leaves no slot for long work", model::ShortFirst { 100, 64 }, 80, true, 1 },
    { "first come, first served reserves slots", firstCome, 80, true, 80 },
};

BOOST_DATA_TEST_CASE(limits, boost::unit_test::data::make(limitRows), row)
{
    BOOST_TEST(admission::longLimit(row.policy, row.slots, row.shortExpected) == row.limit);
}

} // namespace
