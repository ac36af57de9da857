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
    double minimumVms;
    /** Number of VMs that the pool lacks; negative when it has a surplus. */
    double shortage() const { return this->wanted - this->vms; }
};

/**
 * Shortage at which a move is worth its cost: half a VM when moves have no weight, one VM at equal weights,
 * at most four VMs.
 */
double shortageThreshold(const MoveRules& rules)
{
    const auto waiting = std::max(1U, rules.weights.waiting);
    return std::min(4.0, 0.5 + 0.5 * static_cast<double>(rules.weights.moves) / waiting);
}

bool isInCooldown(const std::vector<PastMove>& past, const model::PoolId& pool, bool gives,
    const MoveRules& rules, kernel::Instant now)
{
    return std::ranges::any_of(past, [&](const PastMove& move) {
        return now - move.at < rules.cooldown && (gives ? move.to : move.from) == pool;
    });
}

} // namespace

double forecast(double before, double demand, kernel::Duration interval, const MoveRules& rules)
{
    const auto ratio = static_cast<double>(interval.milliseconds)
        / static_cast<double>(std::max<std::int64_t>(1, rules.forecastTimeConstant.milliseconds));
    return before + (demand - before) * (1 - std::exp(-ratio));
}

std::vector<Move> planMoves(const std::map<model::PoolId, PoolDemand>& pools,
    const std::vector<PastMove>& past, const MoveRules& rules, kernel::Instant now)
{
    const auto recent = std::ranges::count_if(past, [&](const auto& move) { return now - move.at < hour; });
    std::map<model::PoolId, Balance> balances;
    for (const auto& [pool, demand] : pools) {
        balances.emplace(pool,
            Balance { demand.forecastDemand / rules.utilisation, static_cast<double>(demand.vms),
                static_cast<double>(demand.minimumVms) });
    }
    std::vector<Move> moves;
    while (std::cmp_less(static_cast<std::size_t>(recent) + moves.size(), rules.movesPerHour)) {
        auto receiver = balances.end();
        auto giver = balances.end();
        for (auto pool = balances.begin(); pool != balances.end(); ++pool) {
            const auto& balance = pool->second;
            // A forecast shortage without a matching present demand is left over from a burst that has ended.
            const bool isShortNow = pools.at(pool->first).demand >= balance.vms * rules.utilisation;
            if (isShortNow && !isInCooldown(past, pool->first, false, rules, now)
                && (receiver == balances.end() || balance.shortage() > receiver->second.shortage())) {
                receiver = pool;
            }
            if (balance.vms > balance.minimumVms && !isInCooldown(past, pool->first, true, rules, now)
                && (giver == balances.end() || balance.shortage() < giver->second.shortage())) {
                giver = pool;
            }
        }
        // The giver must keep no shortage after the move, or the next plan would move the VM back.
        if (receiver == balances.end() || giver == balances.end() || receiver == giver
            || receiver->second.shortage() < shortageThreshold(rules) || giver->second.shortage() > -1.0) {
            break;
        }
        moves.emplace_back(Move { giver->first, receiver->first });
        giver->second.vms -= 1;
        receiver->second.vms += 1;
    }
    return moves;
}

} // namespace wasabiroad::fleet
