#include "wasabiroad/routing/slot_share.hpp"

#include "wasabiroad/kernel/overloaded.hpp"
#include "wasabiroad/routing/rendezvous.hpp"

#include <algorithm>

namespace wasabiroad::routing {

namespace {

/** With a share of one slot, a long request would block all short work; with two, short work continues. */
constexpr std::uint32_t minShare = 2;
/** Entry VMs of other zones may use 1 in this number of the connections. */
constexpr std::uint32_t overflowDivisor = 4;

std::uint32_t rankOf(const SharingEntries& entries, const std::string& vm)
{
    const auto ranked = rendezvousRank(vm, entries.zoneEntries);
    return static_cast<std::uint32_t>(std::ranges::find(ranked, entries.self) - ranked.begin());
}

std::uint32_t evenShare(std::uint32_t total, std::uint32_t holders, std::uint32_t rank)
{
    return total / holders + (rank < total % holders ? 1 : 0);
}

SlotShare localShare(const SlotCapacity& upstream, const SharingEntries& entries)
{
    const auto count = static_cast<std::uint32_t>(entries.zoneEntries.size());
    const auto holders = std::min(std::max(1U, count), std::max(1U, upstream.slots / minShare));
    const auto rank = rankOf(entries, upstream.vm);
    if (rank >= holders) {
        return {};
    }
    const auto overflow = entries.zones > 1 ? upstream.connections / overflowDivisor : 0;
    return { evenShare(upstream.slots, holders, rank),
        std::max(1U, (upstream.connections - overflow) / holders) };
}

SlotShare overflowShare(const SlotCapacity& upstream, const SharingEntries& entries)
{
    const auto otherZones = std::max(1U, entries.zones - 1);
    const auto holders = upstream.connections / overflowDivisor / otherZones;
    return rankOf(entries, upstream.vm) < holders ? SlotShare { 1, 1 } : SlotShare {};
}

SlotShare independentShare(const SlotCapacity& upstream, const SharingEntries& entries)
{
    const auto count = static_cast<std::uint32_t>(entries.zoneEntries.size()) * entries.zones;
    return { upstream.slots, std::max(1U, upstream.connections / std::max(1U, count)) };
}

} // namespace

SlotShare slotShare(
    const model::SlotPolicy& policy, const SlotCapacity& upstream, const SharingEntries& entries)
{
    return std::visit(kernel::Overloaded {
                          [&](const model::IndependentSlots&) { return independentShare(upstream, entries); },
                          [&](const model::DividedSlots&) {
                              return upstream.sameZone ? localShare(upstream, entries)
                                                       : overflowShare(upstream, entries);
                          },
                      },
        policy);
}

} // namespace wasabiroad::routing
