#include "wasabiroad/fleet/wave_planner.hpp"

#include <algorithm>
#include <tuple>

namespace wasabiroad::fleet {

namespace {

using PoolCounts = std::map<model::PoolId, std::uint32_t>;

/** Smallest budget of the services of each pool; absent for pools without a service. */
PoolCounts poolBudgets(const model::Manifest& manifest)
{
    PoolCounts budgets;
    for (const auto& service : manifest.services) {
        const auto [entry, isNew] = budgets.emplace(service.pool, service.maxUnavailable);
        entry->second = std::min(entry->second, service.maxUnavailable);
    }
    return budgets;
}

bool isPending(const WaveProgress& progress, const model::VmId& vm)
{
    return !progress.done.contains(vm) && !progress.failed.contains(vm);
}

/** Copies of the ledgers with the planned steps applied, so that each choice accounts for those before. */
class ProjectedLedgers {
public:
    ProjectedLedgers(const VersionedManifest& versioned, const Ledgers& ledgers, kernel::Instant instant)
        : now(instant)
    {
        for (const auto& zone : versioned.manifest.zones) {
            const auto ledger = ledgers.find(zone.id);
            if (ledger != ledgers.end() && ledger->second.generation == versioned.generation) {
                this->current.emplace(zone.id, ledger->second);
                this->layouts.emplace(zone.id, layoutOf(versioned.manifest, versioned.generation, zone.id));
            }
        }
    }

    std::variant<StartNow, Wait> disrupt(const model::ZoneId& zone, const Disrupt& step)
    {
        const auto ledger = this->current.find(zone);
        if (ledger == this->current.end()) {
            return Wait { WaitReason::NoLedger, zone.text() };
        }
        const auto next = apply(ledger->second, this->layouts.at(zone), step, this->now);
        if (!next) {
            const auto& error = next.error();
            const bool isBudget = error.code == kernel::ResultCode::BudgetExhausted;
            return Wait { isBudget ? WaitReason::Budget : WaitReason::NotServing,
                error.found + "; allowed: " + error.allowed };
        }
        this->current.erase(ledger);
        this->current.emplace(zone, *next);
        return StartNow {};
    }

private:
    const kernel::Instant now;
    std::map<model::ZoneId, Ledger> current {};
    std::map<model::ZoneId, Layout> layouts {};
};

struct Candidate {
    const model::Vm* vm;
    /**
     * Maintenance batches that the pool still needs over all zones, in thousandths because the division is in
     * integers. 0 without a budget, so that these VMs come last.
     */
    std::uint64_t remainingBatches;
    /** Pending VMs of the pool in the zone, on the same scale; 0 without a budget. */
    std::uint64_t zonePending;
};

std::vector<Candidate> orderCandidates(const VersionedManifest& versioned, const model::Wave& wave,
    const WaveProgress& progress, const PendingVms& pending)
{
    const auto budgets = poolBudgets(versioned.manifest);
    const auto selected = selectedVms(versioned.manifest, wave);
    PoolCounts remaining;
    for (const auto& [zone, pools] : pending) {
        for (const auto& [pool, count] : pools) {
            remaining[pool] += count;
        }
    }
    std::vector<Candidate> candidates;
    for (const auto& vm : versioned.manifest.vms) {
        if (!selected.contains(vm.id) || !isPending(progress, vm.id) || progress.active.contains(vm.id)) {
            continue;
        }
        const auto budget = budgets.find(vm.pool);
        const auto bound = budget == budgets.end() ? wave.parallel : std::min(budget->second, wave.parallel);
        const std::uint64_t scale = budget == budgets.end() ? 0 : 1000;
        candidates.push_back({ &vm, scale * remaining[vm.pool] / std::max(1U, bound),
            scale * pending.at(vm.zone).at(vm.pool) });
    }
    // Pools with the most remaining batches first, then zones with the most pending VMs; ties by rack and id.
    std::ranges::sort(candidates, [](const Candidate& left, const Candidate& right) {
        return std::tie(right.remainingBatches, right.zonePending, left.vm->rack, left.vm->id)
            < std::tie(left.remainingBatches, left.zonePending, right.vm->rack, right.vm->id);
    });
    return candidates;
}

std::uint32_t countOf(const PendingVms& pending, const model::ZoneId& zone, const model::PoolId& pool)
{
    const auto pools = pending.find(zone);
    if (pools == pending.end()) {
        return 0;
    }
    const auto count = pools->second.find(pool);
    return count == pools->second.end() ? 0 : count->second;
}

std::optional<Step> nextAcceptLoan(const Layout& layout, const Ledgers& ledgers, const Ledger& ownLedger)
{
    for (const auto& [zone, ledger] : ledgers) {
        const auto last = ownLedger.redeemed.find(zone);
        for (const auto& [number, loan] : ledger.loans) {
            const bool isNew = last == ownLedger.redeemed.end() || last->second < number;
            if (loan.to == layout.zone && isNew && ledger.generation == ownLedger.generation) {
                return AcceptLoan { zone, ledger.generation, number, loan };
            }
        }
    }
    return std::nullopt;
}

/** Returns a credit when the zone has no pending VM in the pool and more allowance than unavailable VMs. */
std::optional<Step> nextReturnCredit(const Layout& layout, const Ledger& ownLedger, const PendingVms& pending)
{
    for (const auto& [key, credit] : ownLedger.credits) {
        const auto budget = layout.services.find(credit.service);
        if (budget != layout.services.end() && countOf(pending, layout.zone, budget->second.pool) == 0
            && allowance(ownLedger, credit.service) > unavailable(ownLedger, budget->second.pool)) {
            return ReturnCredit { key };
        }
    }
    return std::nullopt;
}

std::optional<Step> nextCloseLoan(const Ledgers& ledgers, const Ledger& ownLedger)
{
    for (const auto& [number, loan] : ownLedger.loans) {
        const auto borrower = ledgers.find(loan.to);
        if (borrower == ledgers.end() || borrower->second.generation != ownLedger.generation) {
            continue;
        }
        const auto redeemed = borrower->second.redeemed.find(ownLedger.zone);
        const bool isCredited = borrower->second.credits.contains(LoanKey { ownLedger.zone, number });
        if (redeemed != borrower->second.redeemed.end() && redeemed->second >= number && !isCredited) {
            return CloseLoan { number, borrower->second.generation, redeemed->second, isCredited };
        }
    }
    return std::nullopt;
}

/** Number of loans to a zone that its ledger does not show as a credit. */
std::uint32_t uncreditedLoans(
    const Ledgers& ledgers, const model::ZoneId& zone, const model::ServiceId& service)
{
    std::uint32_t count = 0;
    const auto borrower = ledgers.find(zone);
    for (const auto& [lender, ledger] : ledgers) {
        for (const auto& [number, loan] : ledger.loans) {
            const bool isCredited = borrower->second.credits.contains(LoanKey { lender, number });
            count += loan.to == zone && loan.service == service && !isCredited ? 1 : 0;
        }
    }
    return count;
}

std::optional<Step> nextLendShare(
    const Layout& layout, const Ledgers& ledgers, const Ledger& ownLedger, const PendingVms& pending)
{
    for (const auto& [service, budget] : layout.services) {
        if (countOf(pending, layout.zone, budget.pool) > 0
            || allowance(ownLedger, service) <= unavailable(ownLedger, budget.pool)) {
            continue;
        }
        const model::ZoneId* borrowerZone = nullptr;
        std::uint32_t largestShortage = 0;
        for (const auto& [zone, ledger] : ledgers) {
            const auto pendingCount = countOf(pending, zone, budget.pool);
            const auto available = allowance(ledger, service) + uncreditedLoans(ledgers, zone, service);
            if (zone != layout.zone && ledger.generation == ownLedger.generation && pendingCount > available
                && pendingCount - available > largestShortage) {
                borrowerZone = &zone;
                largestShortage = pendingCount - available;
            }
        }
        if (borrowerZone != nullptr) {
            return LendShare { service, *borrowerZone };
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view name(WaitReason reason)
{
    switch (reason) {
    case WaitReason::WaveNotRunning:
        return "wave-not-running";
    case WaitReason::Parallel:
        return "parallel";
    case WaitReason::Budget:
        return "budget";
    case WaitReason::NotServing:
        return "not-serving";
    case WaitReason::NoLedger:
        return "no-ledger";
    }
    return "unlisted";
}

std::vector<WaveChoice> planWave(const VersionedManifest& versioned, const model::Wave& wave,
    const WaveProgress& progress, const Ledgers& ledgers, const std::set<model::ZoneId>& zones,
    kernel::Instant now)
{
    ProjectedLedgers projected { versioned, ledgers, now };
    const auto cause = runName(progress);
    // VMs with a slot count against the budget even before their ledger shows the drain. The step is
    // rejected, and its result ignored, for those that are out of service already.
    for (const auto& vm : versioned.manifest.vms) {
        const auto ledger = ledgers.find(vm.zone);
        const bool isMaintained = ledger != ledgers.end() && ledger->second.vms.contains(vm.id)
            && ledger->second.vms.at(vm.id).maintained == cause;
        if (progress.active.contains(vm.id) && !isMaintained) {
            projected.disrupt(vm.zone, { vm.id, Reason::Wave, cause });
        }
    }
    auto freeSlots = wave.parallel - std::min<std::size_t>(wave.parallel, progress.active.size());
    std::vector<WaveChoice> choices;
    for (const auto& candidate :
        orderCandidates(versioned, wave, progress, pendingVms(versioned.manifest, wave, progress))) {
        const auto& vm = *candidate.vm;
        const auto decide = [&]() -> std::variant<StartNow, Wait> {
            if (progress.phase != WavePhase::Running) {
                return Wait { WaitReason::WaveNotRunning, std::string { name(progress.phase) } };
            }
            if (freeSlots == 0 || (!zones.empty() && !zones.contains(vm.zone))) {
                return Wait { WaitReason::Parallel,
                    std::to_string(wave.parallel) + " VMs of the wave in parallel at most" };
            }
            return projected.disrupt(vm.zone, { vm.id, Reason::Wave, cause });
        };
        auto decision = decide();
        freeSlots -= std::holds_alternative<StartNow>(decision) ? 1 : 0;
        choices.emplace_back(WaveChoice { vm.id, vm.zone, std::move(decision) });
    }
    return choices;
}

PendingVms pendingVms(const model::Manifest& manifest, const model::Wave& wave, const WaveProgress& progress)
{
    PendingVms pending;
    if (progress.phase != WavePhase::Running && progress.phase != WavePhase::Paused) {
        return pending;
    }
    const auto selected = selectedVms(manifest, wave);
    for (const auto& vm : manifest.vms) {
        if (selected.contains(vm.id) && isPending(progress, vm.id)) {
            ++pending[vm.zone][vm.pool];
        }
    }
    return pending;
}

std::optional<Step> nextLendingStep(const Layout& layout, const Ledgers& ledgers, const PendingVms& pending)
{
    const auto found = ledgers.find(layout.zone);
    if (found == ledgers.end() || found->second.generation != layout.generation) {
        return std::nullopt;
    }
    const auto& ownLedger = found->second;
    if (auto step = nextAcceptLoan(layout, ledgers, ownLedger)) {
        return step;
    }
    if (auto step = nextCloseLoan(ledgers, ownLedger)) {
        return step;
    }
    if (auto step = nextReturnCredit(layout, ownLedger, pending)) {
        return step;
    }
    return nextLendShare(layout, ledgers, ownLedger, pending);
}

} // namespace wasabiroad::fleet
