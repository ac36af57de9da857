#include "wasabiroad/fleet/moves.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wasabiroad::fleet {

namespace {

constexpr kernel::Duration hour { 3600000 };

struct Balance {
    double wanted;
    double vms;
    double least;
    /** VMs that the pool lacks; negative when it has more than it needs. */
    double lack() const { return this->wanted - this->vms; }
};

/** VMs that a pool must lack before a move pays: half a VM at even weights, at most four. */
double price(const MoveRules& rules)
{
    const auto waiting = std::max(1U, rules.weights.waiting);
    return std::min(4.0, 0.5 + 0.5 * static_cast<double>(rules.weights.moves) / waiting);
}

bool rests(const std::vector<PastMove>& past, const model::PoolId& pool, bool gives, const MoveRules& rules,
    kernel::Instant now)
{
    return std::ranges::any_of(past, [&](const PastMove& move) {
        return now - move.at < rules.rest && (gives ? move.to : move.from) == pool;
    });
}

} // namespace

double forecast(double before, double demand, kernel::Duration interval, const MoveRules& rules)
{
    const auto ratio = static_cast<double>(interval.milliseconds)
        / static_cast<double>(std::max<std::int64_t>(1, rules.forecastTime.milliseconds));
    return before + (demand - before) * (1 - std::exp(-ratio));
}

std::vector<Move> planMoves(const std::map<model::PoolId, PoolDemand>& pools,
    const std::vector<PastMove>& past, const MoveRules& rules, kernel::Instant now)
{
    const auto recent = std::ranges::count_if(past, [&](const auto& move) { return now - move.at < hour; });
    std::map<model::PoolId, Balance> balances;
    for (const auto& [pool, demand] : pools) {
        balances.emplace(pool,
            Balance { demand.expected / rules.utilisation, static_cast<double>(demand.vms),
                static_cast<double>(demand.least) });
    }
    std::vector<Move> moves;
    while (std::cmp_less(static_cast<std::size_t>(recent) + moves.size(), rules.perHour)) {
        auto receiver = balances.end();
        auto giver = balances.end();
        for (auto pool = balances.begin(); pool != balances.end(); ++pool) {
            const auto& balance = pool->second;
            // Lacks that the present demand does not confirm are the tail of a burst that is over.
            const bool lacksNow = pools.at(pool->first).demand >= balance.vms * rules.utilisation;
            if (lacksNow && !rests(past, pool->first, false, rules, now)
                && (receiver == balances.end() || balance.lack() > receiver->second.lack())) {
                receiver = pool;
            }
            if (balance.vms > balance.least && !rests(past, pool->first, true, rules, now)
                && (giver == balances.end() || balance.lack() < giver->second.lack())) {
                giver = pool;
            }
        }
        // The giver must not lack the VM itself afterwards, or the next plan would move it back.
        if (receiver == balances.end() || giver == balances.end() || receiver == giver
            || receiver->second.lack() < price(rules) || giver->second.lack() > -1.0) {
            break;
        }
        moves.emplace_back(Move { giver->first, receiver->first });
        giver->second.vms -= 1;
        receiver->second.vms += 1;
    }
    return moves;
}

} // namespace wasabiroad::fleet
