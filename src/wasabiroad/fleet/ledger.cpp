#include "wasabiroad/fleet/ledger.hpp"

#include <algorithm>
#include <array>

namespace wasabiroad::fleet {

namespace {

constexpr std::array reasons { Reason::None, Reason::Wave, Reason::Operator, Reason::Move, Reason::Failure };
constexpr std::array states { model::VmState::Serving, model::VmState::Draining, model::VmState::Drained,
    model::VmState::InMaintenance, model::VmState::Returning, model::VmState::Failed };

template <typename Values>
auto parse(const Values& values, std::string_view text) -> std::optional<typename Values::value_type>
{
    const auto found = std::ranges::find_if(values, [&](auto value) { return name(value) == text; });
    return found == values.end() ? std::nullopt : std::optional { *found };
}

} // namespace

std::string_view name(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::Wave:
        return "wave";
    case Reason::Operator:
        return "operator";
    case Reason::Move:
        return "move";
    case Reason::Failure:
        return "failure";
    }
    return "unlisted";
}

std::optional<Reason> parseReason(std::string_view text) { return parse(reasons, text); }

std::optional<model::VmState> parseState(std::string_view text) { return parse(states, text); }

std::uint32_t allowance(const Ledger& ledger, const model::ServiceId& service)
{
    const auto found = ledger.shares.find(service);
    const auto share = found == ledger.shares.end() ? 0 : found->second;
    const auto isOfService = [&](const auto& entry) { return entry.second.service == service; };
    const auto received = static_cast<std::uint32_t>(std::ranges::count_if(ledger.credits, isOfService));
    const auto lent = static_cast<std::uint32_t>(std::ranges::count_if(ledger.loans, isOfService));
    return share + received - std::min(share + received, lent);
}

std::uint32_t unavailable(const Ledger& ledger, const model::PoolId& pool)
{
    return static_cast<std::uint32_t>(std::ranges::count_if(ledger.vms, [&](const auto& entry) {
        return entry.second.pool == pool && entry.second.state != model::VmState::Serving;
    }));
}

} // namespace wasabiroad::fleet
