#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/model/identifier.hpp"
#include "wasabiroad/model/vm_state.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace wasabiroad::fleet {

/** @brief Why a VM is out of service. */
enum class Reason : std::uint8_t {
    None,
    Wave,
    Operator,
    Move,
    Failure,
};

/** @return Name of the reason in the ledger and in logs. */
std::string_view name(Reason reason);

/** @return The reason with the given name, or nothing. */
std::optional<Reason> parseReason(std::string_view text);

/** @return The VM state with the given name, or nothing. */
std::optional<model::VmState> parseState(std::string_view text);

/** @brief Assignment and state of one VM. */
struct VmRecord {
    const model::PoolId pool {};
    const model::VmState state { model::VmState::Serving };
    const Reason reason { Reason::None };
    /** @brief Name of the wave run, or the operator's note. */
    const std::string cause {};
    /** @brief Pool that the VM joins once it is drained; empty unless the reason is a move. */
    const model::PoolId target {};
    /** @brief Wall-clock time of the last state change. */
    const kernel::Instant since {};
    /** @brief Number of the last ledger step that changed this record. */
    const std::uint64_t step { 0 };
    /** @brief Name of the last wave run that finished the maintenance of this VM. */
    const std::string maintained {};

    friend auto operator<=>(const VmRecord&, const VmRecord&) = default;
};

/** @brief One unit (one VM) of a service's budget that the zone has lent to another zone. */
struct Loan {
    const model::ServiceId service;
    const model::ZoneId to;

    friend auto operator<=>(const Loan&, const Loan&) = default;
};

/** @brief One unit (one VM) of a service's budget that the zone has borrowed from another zone. */
struct Credit {
    const model::ServiceId service;
    const model::ZoneId from;

    friend auto operator<=>(const Credit&, const Credit&) = default;
};

/** @brief Identifies a loan in the borrower's ledger. */
struct LoanKey {
    const model::ZoneId lender;
    const std::uint64_t number { 0 };

    friend auto operator<=>(const LoanKey&, const LoanKey&) = default;
};

/** @brief VMs and shares of one availability zone. A VM has one record, so it is in exactly one pool. */
struct Ledger {
    const model::ZoneId zone;
    /** @brief Manifest generation that the records and shares are based on. */
    const model::Generation generation {};
    const std::uint64_t lastStep { 0 };
    const std::map<model::VmId, VmRecord> vms {};
    /** @brief Share of each service's budget, before loans and credits. */
    const std::map<model::ServiceId, std::uint32_t> shares {};
    /** @brief Shares lent to other zones, keyed by the number of the step that lent them. */
    const std::map<std::uint64_t, Loan> loans {};
    const std::map<LoanKey, Credit> credits {};
    /** @brief Highest loan number accepted from each lender, so that no loan is accepted twice. */
    const std::map<model::ZoneId, std::uint64_t> redeemed {};

    friend auto operator<=>(const Ledger&, const Ledger&) = default;
};

/** @return Number of VMs of a service that the zone may have out of service, after loans and credits. */
std::uint32_t allowance(const Ledger& ledger, const model::ServiceId& service);

/** @return Number of VMs of a pool that are not serving, for any reason. */
std::uint32_t unavailable(const Ledger& ledger, const model::PoolId& pool);

} // namespace wasabiroad::fleet
