#include "wasabiroad/scheduling/move_plan.hpp"

#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace wasabiroad::scheduling {

namespace {

namespace data = boost::unit_test::data;

const jobs::Resources capacity { 16000, 65536, 0 };
const model::ServiceId checks { "checks" };
const model::ServiceId sims { "sims" };
const model::ServiceId reserve { "reserve" };

/** A pool and its demand. */
struct Pool {
    const model::ServiceId id {};
    const std::uint32_t vms { 0 };
    /** @brief VMs whose tasks end soon. */
    const std::uint32_t releasable { 0 };
    const std::int64_t wanted { 0 };
    const std::int64_t taken { 0 };
    const std::int64_t surplusMs { 0 };
    const std::int64_t arriving { 0 };
    /** @brief VMs that are drained for maintenance. */
    const std::uint32_t leaving { 0 };
    /** @brief Upstreams required by the widest long-running step. */
    const std::uint32_t spread { 0 };
    /** @brief Capacity of the upstreams that accept tasks. */
    const std::int64_t room { 0 };
};

struct Row {
    const char* title;
    const std::vector<Pool> pools;
    /** @brief Moves as "from>to", in order. */
    const std::vector<std::string> moves;

    friend std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.title; }
};

const std::vector<Row> rows {
    { "no need and no surplus", { { checks, 3 }, { sims, 3 }, { reserve, 2 } }, {} },
    { "a pool in need gets VMs of the spare pool",
        { { checks, 3, 0, 80000, 48000 }, { sims, 3 }, { reserve, 2 } },
        { "reserve>checks", "reserve>checks" } },
    { "a pool in need gets VMs of a surplus first",
        { { checks, 3, 0, 60000, 48000 }, { sims, 9, 9, 0, 0, 1000 }, { reserve, 2 } },
        { "sims>checks", "sims>checks" } },
    { "a pool whose waiting tasks would fill a VM keeps its VMs",
        { { checks, 3, 0, 80000, 48000 }, { sims, 9, 9, 21000, 5000, 1000 }, { reserve, 0 } }, {} },
    { "a pool with little free room beside its waiting tasks keeps its VMs",
        { { checks, 3, 0, 80000, 48000 }, { sims, 9, 9, 37000, 21000, 1000, 0, 0, 0, 85000 },
            { reserve, 0 } },
        {} },
    { "tasks that wait beside much free room do not keep a surplus",
        { { checks, 3, 0, 60000, 48000 }, { sims, 9, 9, 37000, 21000, 1000, 0, 0, 0, 144000 },
            { reserve, 0 } },
        { "sims>checks", "sims>checks" } },
    { "fewer waiting tasks than would fill a VM do not keep a surplus",
        { { checks, 3, 0, 60000, 48000 }, { sims, 9, 9, 10000, 5000, 1000 }, { reserve, 0 } },
        { "sims>checks", "sims>checks" } },
    { "arriving work adds VMs before its tasks wait",
        { { checks, 3, 0, 40000, 40000, 0, 50000 }, { sims, 3 }, { reserve, 2 } },
        { "reserve>checks", "reserve>checks" } },
    { "a short surplus is kept",
        { { checks, 3, 0, 80000, 48000 }, { sims, 9, 9, 0, 0, 100 }, { reserve, 0 } }, {} },
    { "a lasting surplus returns to the spare pool", { { checks, 5, 5, 0, 0, 3000 }, { reserve, 0 } },
        { "checks>reserve", "checks>reserve" } },
    { "VMs that are drained for maintenance are replaced",
        { { checks, 8, 0, 0, 0, 0, 0, 3, 6 }, { reserve, 4 } },
        { "reserve>checks", "reserve>checks", "reserve>checks" } },
    { "VMs that are drained for maintenance are not a surplus",
        { { checks, 8, 5, 0, 0, 3000, 0, 3, 3 }, { reserve, 0 } }, {} },
    { "VMs with tasks stay", { { checks, 5, 1, 0, 0, 3000 }, { reserve, 0 } }, { "checks>reserve" } },
};

/** Guards against VMs taken from a pool that needs them, and against idle VMs that stay in a pool. */
BOOST_DATA_TEST_CASE(vms_follow_the_demand, data::make(rows), row)
{
    std::vector<PoolView> views;
    std::vector<MovableVm> vms;
    for (const auto& pool : row.pools) {
        std::vector<UpstreamId> releasable;
        for (std::uint32_t index = 0; index < pool.vms; ++index) {
            const auto name = pool.id.text() + std::to_string(index);
            const bool leaving = index >= pool.vms - pool.leaving;
            vms.push_back({ model::VmId { name }, pool.id, UpstreamId { name }, capacity, leaving, leaving });
            if (index < pool.releasable) {
                releasable.emplace_back(name);
            }
        }
        views.push_back({ pool.id, pool.id == reserve,
            { { pool.wanted, 0, 0 }, { pool.room, 0, 0 }, { pool.taken, 0, 0 }, pool.spread, releasable,
                pool.arriving },
            0, { pool.surplusMs } });
    }
    std::vector<std::string> moves;
    for (const auto& move : planMoves(views, vms)) {
        moves.push_back(move.from.text() + ">" + move.to.text());
    }
    BOOST_TEST(moves == row.moves, boost::test_tools::per_element());
}

} // namespace

} // namespace wasabiroad::scheduling
