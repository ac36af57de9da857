#include "wasabiroad/fleet/moves.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wasabiroad;
using fleet::MoveRules;

struct Row {
    const std::string label;
    const model::Weights weights;
    /** Length of a burst in seconds. */
    const std::int64_t burst;
    /** Load over all pools as a fraction of all VMs. */
    const double load;
    /** Whether after half an hour the mean of the first pool doubles and that of the others drops. */
    const bool meanShifts;
};

std::ostream& operator<<(std::ostream& stream, const Row& row) { return stream << row.label; }

const std::array rows {
    Row { "Hallbach, bursts of 8 s", { 20, 15, 15, 50 }, 8, 0.6, false },
    Row { "Accord Labs, bursts of 8 s", { 40, 10, 15, 35 }, 8, 0.6, false },
    Row { "Hallbach, bursts of 20 s", { 20, 15, 15, 50 }, 20, 0.6, false },
    Row { "lasting change, bursts of 8 s", { 20, 15, 15, 50 }, 8, 0.6, true },
};

constexpr std::size_t poolCount = 5;
constexpr std::int64_t seconds = 3600;
const std::array<model::PoolId, poolCount> names { model::PoolId { "a" }, model::PoolId { "b" },
    model::PoolId { "c" }, model::PoolId { "d" }, model::PoolId { "e" } };

/** Simulates one second per step. Work arrives in VM seconds; the excess over a pool's VMs is queued. */
class Simulation {
public:
    explicit Simulation(const Row& simulated)
        : row(simulated)
    {
        this->vms.fill(10);
        this->forecastDemand.fill(simulated.load * 10);
    }

    /** Bursts of five times the mean for each pool in turn, and a twentieth of the mean in between. */
    double arrival(std::size_t pool, std::int64_t second) const
    {
        const bool late = this->row.meanShifts && second > seconds / 2;
        const double factor = !late ? 1 : pool == 0 ? 2 : 0.75;
        const bool bursts = static_cast<std::size_t>(second / this->row.burst) % poolCount == pool;
        return this->row.load * 10 * factor * (bursts ? 5 : 0.05);
    }

    void serve(std::int64_t second)
    {
        for (std::size_t pool = 0; pool < poolCount; ++pool) {
            this->offered[pool] = arrival(pool, second);
            this->queue[pool] = std::max(0.0, this->queue[pool] + this->offered[pool] - this->vms[pool]);
            this->waited += this->queue[pool];
        }
        std::erase_if(this->arriving, [&](const auto& one) {
            const bool arrived = one.first <= second;
            this->vms[one.second] += arrived ? 1 : 0;
            return arrived;
        });
    }

    /** Takes a VM out of a pool; it serves the other pool after the duration of a move. */
    void move(std::size_t from, std::size_t to, std::int64_t second)
    {
        --this->vms[from];
        this->arriving.emplace_back(second + MoveRules {}.moveDuration.milliseconds / 1000, to);
        ++this->moves;
    }

    /** Baseline: each second, the longest queue takes a VM from a pool without a queue. */
    void followQueues(std::int64_t second)
    {
        const auto longest = std::ranges::max_element(this->queue) - this->queue.begin();
        const auto shortest = std::ranges::min_element(this->queue) - this->queue.begin();
        if (this->queue[longest] > this->vms[longest] && this->queue[shortest] == 0
            && this->vms[shortest] > 1) {
            move(static_cast<std::size_t>(shortest), static_cast<std::size_t>(longest), second);
        }
    }

    void followForecast(std::int64_t second)
    {
        const MoveRules rules { .weights = this->row.weights };
        std::map<model::PoolId, fleet::PoolDemand> pools;
        for (std::size_t pool = 0; pool < poolCount; ++pool) {
            this->forecastDemand[pool]
                = fleet::forecast(this->forecastDemand[pool], this->offered[pool], { 1000 }, rules);
            pools.emplace(names[pool],
                fleet::PoolDemand { this->offered[pool], this->forecastDemand[pool],
                    static_cast<std::uint32_t>(this->vms[pool]) });
        }
        for (const auto& made : fleet::planMoves(pools, this->past, rules, { second * 1000 })) {
            this->past.emplace_back(fleet::PastMove { { second * 1000 }, made.from, made.to });
            move(indexOf(made.from), indexOf(made.to), second);
        }
    }

    std::size_t moveCount() const { return this->moves; }
    double waiting() const { return this->waited; }

private:
    static std::size_t indexOf(const model::PoolId& pool)
    {
        return static_cast<std::size_t>(std::ranges::find(names, pool) - names.begin());
    }

    const Row& row;
    std::array<int, poolCount> vms {};
    std::array<double, poolCount> queue {};
    std::array<double, poolCount> offered {};
    std::array<double, poolCount> forecastDemand {};
    std::vector<std::pair<std::int64_t, std::size_t>> arriving {};
    std::vector<fleet::PastMove> past {};
    std::size_t moves { 0 };
    double waited { 0 };
};

/** Guards against moves that follow bursts which end before the VM has moved. */
BOOST_DATA_TEST_CASE(makes_a_quarter_of_the_moves, boost::unit_test::data::make(rows), row)
{
    Simulation queues { row };
    Simulation forecasts { row };
    for (std::int64_t second = 0; second < seconds; ++second) {
        queues.serve(second);
        queues.followQueues(second);
        forecasts.serve(second);
        forecasts.followForecast(second);
    }
    std::cout << "moves: " << row << ": " << forecasts.moveCount() << " against " << queues.moveCount()
              << " by queue length; waiting " << forecasts.waiting() << " against " << queues.waiting()
              << " (sum over seconds of the queued VM seconds)\n";
    BOOST_TEST(forecasts.moveCount() * 4 <= queues.moveCount());
    BOOST_TEST((!row.meanShifts || forecasts.moveCount() > 0U));
}

} // namespace
