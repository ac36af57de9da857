#pragma once

#include "wasabiroad/fleet/layout.hpp"
#include "wasabiroad/fleet/ledger.hpp"
#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/lifecycle/vm_machine.hpp"

#include <variant>

namespace wasabiroad::fleet {

/** @brief Adopts a newer manifest: adds VMs, removes drained or failed ones, and lowers shares. */
struct AdoptManifest {
    friend auto operator<=>(const AdoptManifest&, const AdoptManifest&) = default;
};

/** @brief Raises the shares to those of the manifest, once every zone has lowered its shares. */
struct RaiseShares {
    /** @brief Manifest generation that each zone's ledger is based on, as last read. */
    const std::map<model::ZoneId, model::Generation> ledgerGenerations {};

    friend auto operator<=>(const RaiseShares&, const RaiseShares&) = default;
};

/** @brief Takes a serving VM out of service, within the budget. */
struct Disrupt {
    const model::VmId vm;
    const Reason reason { Reason::Operator };
    const std::string cause {};
    /** @brief Pool that the VM joins, for a move. */
    const model::PoolId target {};

    friend auto operator<=>(const Disrupt&, const Disrupt&) = default;
};

/** @brief Applies any life-cycle event other than `DrainRequested`, which needs `Disrupt`. */
struct ApplyEvent {
    const model::VmId vm;
    const lifecycle::VmEvent event {};
    /**
     * @brief Step number of the last stop that the platform lists for the VM. A VM leaves
     * maintenance only when this has reached the step of its record, so that an earlier stop does not count.
     */
    const std::uint64_t platformStep { 0 };

    friend auto operator<=>(const ApplyEvent&, const ApplyEvent&) = default;
};

/** @brief Lends one unit of the zone's share of a service's budget to another zone. */
struct LendShare {
    const model::ServiceId service;
    const model::ZoneId to;

    friend auto operator<=>(const LendShare&, const LendShare&) = default;
};

/** @brief Records a loan from the lender's ledger as a credit in the borrower's ledger. */
struct AcceptLoan {
    const model::ZoneId lender;
    const model::Generation lenderGeneration {};
    const std::uint64_t number { 0 };
    const Loan loan;

    friend auto operator<=>(const AcceptLoan&, const AcceptLoan&) = default;
};

/** @brief Removes a credit, so that the lender can close its loan. */
struct ReturnCredit {
    const LoanKey loan;

    friend auto operator<=>(const ReturnCredit&, const ReturnCredit&) = default;
};

/** @brief Removes a loan, once the borrower's ledger shows that it was accepted and returned. */
struct CloseLoan {
    const std::uint64_t number { 0 };
    /** @brief Generation of the borrower's ledger. One of a newer generation lists no credits of this one,
     * though the borrower may have lent the unit on. */
    const model::Generation borrowerGeneration {};
    /** @brief Highest number of a loan of this zone that the borrower has accepted. */
    const std::uint64_t redeemed { 0 };
    /** @brief Whether the borrower's ledger still lists the loan as a credit; then it cannot be removed. */
    const bool isCredited { true };

    friend auto operator<=>(const CloseLoan&, const CloseLoan&) = default;
};

using Step = std::variant<AdoptManifest, RaiseShares, Disrupt, ApplyEvent, LendShare, AcceptLoan,
    ReturnCredit, CloseLoan>;

/** @return The ledger of a zone before its first step, which is `AdoptManifest`. */
Ledger emptyLedger(const model::ZoneId& zone);

/**
 * @brief Checks and applies one step. The caller writes the result by compare-and-swap, so that the budget
 * check and the change are atomic.
 * @param ledger Ledger of the zone as read.
 * @param layout Layout of the zone in the manifest.
 * @param step Step to apply.
 * @param now Wall-clock time.
 * @return The new ledger. Errors: BudgetExhausted with the allowance and the VMs that use it up,
 * StaleGeneration when the generations of ledger, layout or step do not match or a loan was accepted before,
 * UnknownVm, KeyNotFound for an unknown credit, TransitionNotAllowed.
 */
kernel::Expected<Ledger> apply(
    const Ledger& ledger, const Layout& layout, const Step& step, kernel::Instant now);

/**
 * @brief Checks whether the budgets of a pool allow one more of its VMs to be out of service.
 * @param where Name of the VM, for the error.
 * @return Nothing. Errors: BudgetExhausted.
 */
kernel::Expected<void> checkBudget(
    const Ledger& ledger, const Layout& layout, const model::PoolId& pool, const std::string& where);

} // namespace wasabiroad::fleet
