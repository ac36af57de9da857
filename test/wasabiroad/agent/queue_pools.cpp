#include "wasabiroad/agent/queue_pools.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::agent::test {

namespace {

namespace data = boost::unit_test::data;

const jobs::QueueId queue { "queue" };
const model::ServiceId first { "first" };
const model::ServiceId second { "second" };

constexpr kernel::Instant early { 1000 };
/** Within the time for which a pool is remembered, and beyond it. */
constexpr kernel::Instant soon { 100'000 };
constexpr kernel::Instant late { 300'000 };

std::vector<jobs::Queue> sentTo(const model::ServiceId& pool)
{
    return { { .id = queue, .host = "h", .prefix = "/", .service = pool } };
}

/** What becomes known of the pools of a queue, and those that may hold its jobs then. */
struct PoolsRow {
    const char* title;
    const std::function<void(QueuePools&)> change;
    const std::set<model::ServiceId> pools;

    friend std::ostream& operator<<(std::ostream& out, const PoolsRow& row) { return out << row.title; }
};

const std::vector<PoolsRow> rows {
    { "unknown queue", [](QueuePools&) {}, {} },
    { "routed", [](QueuePools& pools) { pools.addRoutes(sentTo(first), early); }, { first } },
    { "moved",
        [](QueuePools& pools) {
            pools.addRoutes(sentTo(first), early);
            pools.addRoutes(sentTo(second), soon);
            pools.forgetUnused(soon);
        },
        { first, second } },
    { "moved long ago",
        [](QueuePools& pools) {
            pools.addRoutes(sentTo(first), early);
            pools.addRoutes(sentTo(second), late);
            pools.forgetUnused(late);
        },
        { second } },
    { "moved long ago, with jobs that have not ended",
        [](QueuePools& pools) {
            pools.addRoutes(sentTo(first), early);
            pools.addRoutes(sentTo(second), late);
            pools.addReport(first, { { queue, 0 } }, late);
            pools.forgetUnused(late);
        },
        { first, second } },
    { "removed, with jobs that have not ended",
        [](QueuePools& pools) {
            pools.addReport(first, { { queue, 3 } }, early);
            pools.forgetUnused(soon);
        },
        { first } },
    { "reports of other queues",
        [](QueuePools& pools) {
            pools.addReport(first, { { jobs::QueueId { "another" }, 3 } }, early);
        },
        {} },
};

/** Guards against jobs that are not counted after their queue has moved, and against a list of pools that
 * grows with each move. */
BOOST_DATA_TEST_CASE(pools_that_may_hold_jobs_are_remembered, data::make(rows), row)
{
    QueuePools pools;
    row.change(pools);
    BOOST_TEST((pools.poolsOf(queue) == row.pools));
}

} // namespace

} // namespace wasabiroad::agent::test
