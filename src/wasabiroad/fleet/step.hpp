#pragma once

#include "wasabiroad/fleet/layout.hpp"
#include "wasabiroad/fleet/ledger.hpp"
#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/lifecycle/vm_machine.hpp"

#include <variant>

namespace wasabiroad::fleet {

/** @brief Follows a newer manifest: adds VMs, removes drained ones, and lowers shares. */
struct AdoptManifest {
    friend auto operator<=>(const AdoptManifest&, const AdoptManifest&) = default;
};

/** @brief Raises shares to those of the manifest after every zone has lowered its own. */
struct RaiseShares {
    /** @brief Generation of the ledger of every zone of the manifest. */
    const std::map<model::ZoneId, model::Generation> seen {};

    friend auto operator<=>(const RaiseShares&, const RaiseShares&) = default;
};

/** @brief Takes a serving VM out of service, within the budget. */
struct Disrupt {
    const model::VmId vm;
    const Reason reason { Reason::Operator };
    const std::string cause {};
    /** @brief Pool to join, for a move. */
    const model::PoolId target {};

    friend auto operator<=>(const Disrupt&, const Disrupt&) = default;
};

/** @brief Applies a life-cycle event that disrupts nothing that serves. */
struct ApplyEvent {
    const model::VmId vm;
    const lifecycle::VmEvent event {};
    /** @brief Highest stop that the platform lists for the VM; a VM leaves maintenance only after its own. */
    const std::uint64_t platformStep { 0 };

    friend auto operator<=>(const ApplyEvent&, const ApplyEvent&) = default;
};

/** @brief Deducts one VM from the own share for another zone. */
struct Lend {
    const model::ServiceId service;
    const model::ZoneId to;

    friend auto operator<=>(const Lend&, const Lend&) = default;
};

/** @brief Takes a loan that the lender's ledger shows. */
struct Redeem {
    const model::ZoneId lender;
    const model::Generation lenderGeneration {};
    const std::uint64_t number { 0 };
    const Loan loan;

    friend auto operator<=>(const Redeem&, const Redeem&) = default;
};

/** @brief Ends the use of a credit, before the lender closes its loan. */
struct GiveBack {
    const LoanKey loan;

    friend auto operator<=>(const GiveBack&, const GiveBack&) = default;
};

/** @brief Takes a lent share back after the borrower's ledger shows that it was used and given back. */
struct CloseLoan {
    const std::uint64_t number { 0 };
    /** @brief Highest loan of this zone that the borrower has redeemed. */
    const std::uint64_t redeemed { 0 };
    const bool stillCredited { true };

    friend auto operator<=>(const CloseLoan&, const CloseLoan&) = default;
};

using Step = std::variant<AdoptManifest, RaiseShares, Disrupt, ApplyEvent, Lend, Redeem, GiveBack, CloseLoan>;

/** @return The ledger of a zone before its first step; `Adopt` fills it. */
Ledger emptyLedger(const model::ZoneId& zone);

/**
 * @brief Makes one step. The budget check and the step are one value, written by one compare-and-swap.
 * @param ledger Ledger of the zone as read.
 * @param layout What the manifest declares for the zone.
 * @param step Step to make.
 * @param now Wall clock.
 * @return The new ledger. Errors: BudgetExhausted with the share and what uses it up, StaleGeneration when
 * the ledger follows a newer manifest, UnknownVm, UnknownPool, TransitionNotAllowed.
 */
kernel::Expected<Ledger> apply(
    const Ledger& ledger, const Layout& layout, const Step& step, kernel::Instant now);

/**
 * @brief Checks whether the budgets of a pool allow one more VM of it to be out of service.
 * @return Nothing. Errors: BudgetExhausted.
 */
kernel::Expected<void> checkBudget(
    const Ledger& ledger, const Layout& layout, const model::PoolId& pool, const std::string& where);

} // namespace wasabiroad::fleet
