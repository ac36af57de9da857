#include "wasabiroad/fleet/step.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>

namespace wasabiroad::fleet {

using kernel::Expected;
using kernel::fail;
using kernel::ResultCode;
using lifecycle::VmEvent;
using model::VmState;

namespace {

/** Mutable copy of a ledger, from which a step builds the next ledger. */
struct Draft {
    model::ZoneId zone;
    model::Generation generation;
    std::uint64_t lastStep;
    std::map<model::VmId, VmRecord> vms;
    std::map<model::ServiceId, std::uint32_t> shares;
    std::map<std::uint64_t, Loan> loans;
    std::map<LoanKey, Credit> credits;
    std::map<model::ZoneId, std::uint64_t> redeemed;

    explicit Draft(const Ledger& ledger)
        : zone(ledger.zone)
        , generation(ledger.generation)
        , lastStep(ledger.lastStep + 1)
        , vms(ledger.vms)
        , shares(ledger.shares)
        , loans(ledger.loans)
        , credits(ledger.credits)
        , redeemed(ledger.redeemed)
    {
    }

    Ledger finish() &&
    {
        return { std::move(this->zone), this->generation, this->lastStep, std::move(this->vms),
            std::move(this->shares), std::move(this->loans), std::move(this->credits),
            std::move(this->redeemed) };
    }

    void replace(const model::VmId& vm, VmRecord record)
    {
        this->vms.erase(vm);
        this->vms.emplace(vm, std::move(record));
    }
};

std::string listUnavailable(const Ledger& ledger, const model::PoolId& pool)
{
    std::string text;
    for (const auto& [vm, record] : ledger.vms) {
        if (record.pool == pool && record.state != VmState::Serving) {
            text += (text.empty() ? "" : ", ") + vm.text() + " " + std::string { model::name(record.state) }
                + " (" + std::string { name(record.reason) } + ")";
        }
    }
    return text.empty() ? "no VM out of service" : text;
}

/**
 * Limits a wave to one rack of a pool in a zone at a time. With VMs of two racks stopped, the failure of a
 * rack would add to the wave's own disruption.
 */
Expected<void> checkRack(
    const Ledger& ledger, const Layout& layout, const Disrupt& step, const model::PoolId& pool)
{
    const auto own = layout.vms.find(step.vm);
    const auto allowsSeveral = std::ranges::any_of(layout.services,
        [&](const auto& entry) { return entry.second.pool == pool && entry.second.maxUnavailable > 1; });
    if (step.reason != Reason::Wave || own == layout.vms.end() || !allowsSeveral) {
        return {};
    }
    for (const auto& [vm, record] : ledger.vms) {
        const auto other = layout.vms.find(vm);
        if (record.pool == pool && record.state != VmState::Serving && record.reason == Reason::Wave
            && other != layout.vms.end() && other->second.rack != own->second.rack) {
            return fail(ResultCode::BudgetExhausted, step.vm.text(),
                "wave already disrupts rack " + other->second.rack.text() + " of pool " + pool.text(),
                "one rack of a pool in a zone at a time");
        }
    }
    return {};
}

/**
 * A VM in maintenance keeps its record until the platform has registered its stop, see `checkStopRegistered`.
 */
bool isRemovable(VmState state) { return state == VmState::Drained || state == VmState::Failed; }

/** Lent shares stay deducted until `RaiseShares`, because the borrower may still use them. */
Expected<Ledger> applyStep(
    const Ledger& ledger, const Layout& layout, const AdoptManifest&, kernel::Instant now)
{
    Draft draft { ledger };
    for (const auto& [id, vm] : layout.vms) {
        draft.vms.emplace(id, VmRecord { .pool = vm.pool, .since = now, .step = draft.lastStep });
    }
    std::erase_if(draft.vms, [&](const auto& entry) {
        return !layout.vms.contains(entry.first) && isRemovable(entry.second.state);
    });
    if (layout.generation > ledger.generation) {
        draft.shares.clear();
        for (const auto& [service, budget] : layout.services) {
            const auto held = ledger.shares.find(service);
            auto share = held == ledger.shares.end() ? 0 : std::min(held->second, budget.share);
            const auto lent = static_cast<std::uint32_t>(std::ranges::count_if(
                ledger.loans, [&id = service](const auto& entry) { return entry.second.service == id; }));
            share -= std::min(share, lent);
            draft.shares.emplace(service, share);
        }
        draft.loans.clear();
        draft.credits.clear();
    }
    draft.generation = layout.generation;
    return std::move(draft).finish();
}

Expected<Ledger> applyStep(
    const Ledger& ledger, const Layout& layout, const RaiseShares& step, kernel::Instant)
{
    for (const auto& zone : layout.zones) {
        const auto found = step.ledgerGenerations.find(zone);
        const auto generation = found == step.ledgerGenerations.end() ? model::Generation {} : found->second;
        if (generation < layout.generation) {
            return fail(ResultCode::StaleGeneration, zone.text(), std::to_string(generation.value),
                "at least generation " + std::to_string(layout.generation.value));
        }
    }
    Draft draft { ledger };
    for (const auto& [service, budget] : layout.services) {
        draft.shares[service] = budget.share;
    }
    return std::move(draft).finish();
}

Expected<const VmRecord*> find(const Ledger& ledger, const model::VmId& vm)
{
    const auto found = ledger.vms.find(vm);
    if (found == ledger.vms.end()) {
        return fail(
            ResultCode::UnknownVm, vm.text(), "no VM record in the ledger of zone " + ledger.zone.text());
    }
    return &found->second;
}

Expected<VmState> transition(const model::VmId& vm, VmState from, VmEvent event)
{
    const auto to = lifecycle::next(from, event);
    if (!to) {
        return fail(ResultCode::TransitionNotAllowed, vm.text(), std::string { model::name(from) },
            "a state that allows the event " + std::string { lifecycle::name(event) });
    }
    return *to;
}

Expected<Ledger> applyStep(
    const Ledger& ledger, const Layout& layout, const Disrupt& step, kernel::Instant now)
{
    const auto record = find(ledger, step.vm);
    if (!record) {
        return tl::unexpected(record.error());
    }
    const auto& old = **record;
    const auto state = transition(step.vm, old.state, VmEvent::DrainRequested);
    if (!state) {
        return tl::unexpected(state.error());
    }
    if (const auto allowed = checkBudget(ledger, layout, old.pool, step.vm.text()); !allowed) {
        return tl::unexpected(allowed.error());
    }
    if (const auto allowed = checkRack(ledger, layout, step, old.pool); !allowed) {
        return tl::unexpected(allowed.error());
    }
    Draft draft { ledger };
    draft.replace(step.vm,
        { old.pool, *state, step.reason, step.cause, step.target, now, draft.lastStep, old.maintained });
    return std::move(draft).finish();
}

/** A VM that joins a pool counts against that pool's budget until its health is confirmed. */
Expected<VmRecord> moveRecord(
    const Ledger& ledger, const Layout& layout, const model::VmId& vm, const VmRecord& old)
{
    if (old.reason != Reason::Move || old.target.text().empty()) {
        return fail(ResultCode::TransitionNotAllowed, vm.text(), "no move in progress",
            "a VM drained for a move to a pool");
    }
    if (const auto allowed = checkBudget(ledger, layout, old.target, vm.text()); !allowed) {
        return tl::unexpected(allowed.error());
    }
    return VmRecord {
        .pool = old.target, .reason = old.reason, .cause = old.cause, .maintained = old.maintained
    };
}

/**
 * A VM leaves maintenance only after the platform has registered its stop. The platform ignores repeated
 * stops, so a controller that was paused before its call cannot stop the VM later, when it serves again.
 */
Expected<void> checkStopRegistered(const ApplyEvent& step, const VmRecord& old)
{
    if (old.state == VmState::InMaintenance && step.platformStep < old.step) {
        return fail(ResultCode::TransitionNotAllowed, step.vm.text(),
            "stop " + std::to_string(step.platformStep) + " listed by the platform",
            "at least stop " + std::to_string(old.step));
    }
    return {};
}

Expected<Ledger> applyStep(
    const Ledger& ledger, const Layout& layout, const ApplyEvent& step, kernel::Instant now)
{
    const auto record = find(ledger, step.vm);
    if (!record) {
        return tl::unexpected(record.error());
    }
    const auto& old = **record;
    if (step.event == VmEvent::DrainRequested) {
        return fail(ResultCode::TransitionNotAllowed, step.vm.text(),
            "drain requested without a budget check", "a Disrupt step, which checks the budget");
    }
    const auto state = transition(step.vm, old.state, step.event);
    if (!state) {
        return tl::unexpected(state.error());
    }
    if (const auto registered = checkStopRegistered(step, old); !registered) {
        return tl::unexpected(registered.error());
    }
    const auto base = step.event == VmEvent::PoolChanged ? moveRecord(ledger, layout, step.vm, old)
                                                         : Expected<VmRecord> { old };
    if (!base) {
        return tl::unexpected(base.error());
    }
    const auto hasFailed = step.event == VmEvent::FailureDetected;
    const auto isServing = *state == VmState::Serving;
    const auto maintenanceFinished = step.event == VmEvent::MaintenanceFinished;
    Draft draft { ledger };
    draft.replace(step.vm,
        VmRecord {
            .pool = base->pool,
            .state = *state,
            .reason = hasFailed ? Reason::Failure
                : isServing     ? Reason::None
                                : base->reason,
            .cause = isServing ? std::string {} : base->cause,
            .target = isServing || hasFailed ? model::PoolId {} : base->target,
            .since = now,
            .step = draft.lastStep,
            .maintained = maintenanceFinished ? base->cause : base->maintained,
        });
    return std::move(draft).finish();
}

Expected<Ledger> applyStep(const Ledger& ledger, const Layout& layout, const LendShare& step, kernel::Instant)
{
    const auto budget = layout.services.find(step.service);
    const auto used = budget == layout.services.end() ? 0 : unavailable(ledger, budget->second.pool);
    if (allowance(ledger, step.service) <= used) {
        return fail(ResultCode::BudgetExhausted, step.service.text(),
            "allowance used up by VMs out of service",
            "an allowance greater than the number of VMs out of service");
    }
    Draft draft { ledger };
    draft.loans.emplace(draft.lastStep, Loan { step.service, step.to });
    return std::move(draft).finish();
}

Expected<Ledger> applyStep(const Ledger& ledger, const Layout&, const AcceptLoan& step, kernel::Instant)
{
    const auto last = ledger.redeemed.find(step.lender);
    const bool isNew = last == ledger.redeemed.end() || last->second < step.number;
    if (!isNew || step.lenderGeneration != ledger.generation || step.loan.to != ledger.zone) {
        return fail(ResultCode::StaleGeneration, step.lender.text(),
            "loan " + std::to_string(step.number) + " of generation "
                + std::to_string(step.lenderGeneration.value),
            "a loan to this zone that was not accepted before, of generation "
                + std::to_string(ledger.generation.value));
    }
    Draft draft { ledger };
    draft.credits.emplace(LoanKey { step.lender, step.number }, Credit { step.loan.service, step.lender });
    draft.redeemed[step.lender] = step.number;
    return std::move(draft).finish();
}

Expected<Ledger> applyStep(
    const Ledger& ledger, const Layout& layout, const ReturnCredit& step, kernel::Instant)
{
    const auto credit = ledger.credits.find(step.loan);
    if (credit == ledger.credits.end()) {
        return fail(ResultCode::KeyNotFound, step.loan.lender.text(), "no credit for the loan");
    }
    const auto budget = layout.services.find(credit->second.service);
    const auto used = budget == layout.services.end() ? 0 : unavailable(ledger, budget->second.pool);
    if (allowance(ledger, credit->second.service) <= used) {
        return fail(
            ResultCode::BudgetExhausted, step.loan.lender.text(), "credit in use by a VM out of service");
    }
    Draft draft { ledger };
    draft.credits.erase(step.loan);
    return std::move(draft).finish();
}

Expected<Ledger> applyStep(const Ledger& ledger, const Layout&, const CloseLoan& step, kernel::Instant)
{
    if (step.borrowerGeneration != ledger.generation) {
        return fail(ResultCode::StaleGeneration, ledger.zone.text(),
            "borrower of loan " + std::to_string(step.number) + " at generation "
                + std::to_string(step.borrowerGeneration.value),
            "generation " + std::to_string(ledger.generation.value));
    }
    if (!ledger.loans.contains(step.number) || step.redeemed < step.number || step.isCredited) {
        return fail(ResultCode::BudgetExhausted, ledger.zone.text(),
            "loan " + std::to_string(step.number) + " not returned by the borrower");
    }
    Draft draft { ledger };
    draft.loans.erase(step.number);
    return std::move(draft).finish();
}

} // namespace

Ledger emptyLedger(const model::ZoneId& zone) { return { .zone = zone }; }

Expected<void> checkBudget(
    const Ledger& ledger, const Layout& layout, const model::PoolId& pool, const std::string& where)
{
    const auto used = unavailable(ledger, pool);
    for (const auto& [service, budget] : layout.services) {
        const auto allowed = allowance(ledger, service);
        if (budget.pool == pool && used >= allowed) {
            return fail(ResultCode::BudgetExhausted, where, listUnavailable(ledger, pool),
                "at most " + std::to_string(allowed) + " unavailable VMs of pool " + pool.text() + " in zone "
                    + ledger.zone.text() + " (service " + service.text() + ", "
                    + std::to_string(budget.maxUnavailable) + " in the site)");
        }
    }
    return {};
}

Expected<Ledger> apply(const Ledger& ledger, const Layout& layout, const Step& step, kernel::Instant now)
{
    const bool layoutIsCurrent = std::holds_alternative<AdoptManifest>(step)
        ? layout.generation >= ledger.generation
        : layout.generation == ledger.generation;
    if (!layoutIsCurrent) {
        return fail(ResultCode::StaleGeneration, ledger.zone.text(),
            "generation " + std::to_string(layout.generation.value),
            "generation " + std::to_string(ledger.generation.value));
    }
    return std::visit([&](const auto& one) { return applyStep(ledger, layout, one, now); }, step);
}

} // namespace wasabiroad::fleet
