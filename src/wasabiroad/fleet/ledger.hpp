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

/** @return Name of the reason as it is written in the ledger and in logs. */
std::string_view name(Reason reason);

/** @return The reason with a name, or nothing. */
std::optional<Reason> parseReason(std::string_view text);

/** @return The VM state with a name, or nothing. */
std::optional<model::VmState> parseState(std::string_view text);

/** @brief Assignment and state of one VM. */
struct VmRecord {
    const model::PoolId pool {};
    const model::VmState state { model::VmState::Serving };
    const Reason reason { Reason::None };
    /** @brief Name of the wave run, or a note of the operator. */
    const std::string cause {};
    /** @brief Pool that the VM joins after it drained; empty unless the reason is a move. */
    const model::PoolId target {};
    /** @brief Wall clock at the last change of the state. */
    const kernel::Instant since {};
    /** @brief Number of the last step of this VM. */
    const std::uint64_t step { 0 };
    /** @brief Wave run that finished the maintenance of this VM last. */
    const std::string maintained {};

    friend auto operator<=>(const VmRecord&, const VmRecord&) = default;
};

/** @brief Part of a service's share that a zone has given to another. */
struct Loan {
    const model::ServiceId service;
    const model::ZoneId to;

    friend auto operator<=>(const Loan&, const Loan&) = default;
};

/** @brief Part of a share that a zone has received from another. */
struct Credit {
    const model::ServiceId service;
    const model::ZoneId from;

    friend auto operator<=>(const Credit&, const Credit&) = default;
};

/** @brief A loan as the borrower identifies it. */
struct LoanKey {
    const model::ZoneId lender;
    const std::uint64_t number { 0 };

    friend auto operator<=>(const LoanKey&, const LoanKey&) = default;
};

/** @brief Document of one availability zone; a VM is in one pool because it has one record here. */
struct Ledger {
    const model::ZoneId zone;
    /** @brief Manifest generation that the records and shares follow. */
    const model::Generation generation {};
    const std::uint64_t lastStep { 0 };
    const std::map<model::VmId, VmRecord> vms {};
    /** @brief Share of each service's budget, without loans and credits. */
    const std::map<model::ServiceId, std::uint32_t> shares {};
    /** @brief Shares lent to other zones, by the number of the step that lent them. */
    const std::map<std::uint64_t, Loan> loans {};
    const std::map<LoanKey, Credit> credits {};
    /** @brief Highest loan number taken from each lender, so that no loan is taken twice. */
    const std::map<model::ZoneId, std::uint64_t> redeemed {};

    friend auto operator<=>(const Ledger&, const Ledger&) = default;
};

/** @return VMs of a service that the zone may have out of service, loans and credits included. */
std::uint32_t allowance(const Ledger& ledger, const model::ServiceId& service);

/** @return VMs of a pool that are not serving, for any reason. */
std::uint32_t unavailable(const Ledger& ledger, const model::PoolId& pool);

} // namespace wasabiroad::fleet
