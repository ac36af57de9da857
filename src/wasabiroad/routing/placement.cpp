#include "wasabiroad/routing/placement.hpp"

#include "wasabiroad/kernel/overloaded.hpp"

namespace wasabiroad::routing {

namespace {

using Groups = std::span<FreeUpstreams>;
using Eligible = std::span<const std::uint32_t>;

std::optional<std::uint32_t> leastLoadedGroup(Groups groups, Eligible eligible)
{
    std::optional<std::uint32_t> best;
    for (const auto index : eligible) {
        const auto& group = groups[index];
        if (group.count() > 0 && (!best || group.leastLoad() < groups[*best].leastLoad())) {
            best = index;
        }
    }
    return best;
}

/** Draws a group with a probability proportional to its number of free upstreams. */
std::optional<std::uint32_t> randomGroup(Groups groups, Eligible eligible, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (const auto index : eligible) {
        total += groups[index].count();
    }
    if (total == 0) {
        return std::nullopt;
    }
    auto remaining = draw % total;
    for (const auto index : eligible) {
        if (remaining < groups[index].count()) {
            return index;
        }
        remaining -= groups[index].count();
    }
    return std::nullopt;
}

std::optional<std::uint32_t> betterOfTwo(
    const FreeUpstreams& group, std::uint64_t draw, std::optional<std::uint32_t> avoid)
{
    const auto first = group.nextFree(static_cast<std::uint32_t>(draw), avoid);
    const auto second = group.nextFree(static_cast<std::uint32_t>(draw >> 32U), avoid);
    return second && first && group.load(*second) < group.load(*first) ? second : first;
}

} // namespace

std::optional<GroupMember> chooseUpstream(const model::PlacementPolicy& policy, Groups groups,
    Eligible eligible, std::uint64_t draw, std::optional<GroupMember> avoid)
{
    const auto inGroup = [&](std::optional<std::uint32_t> chosen, auto choose) -> std::optional<GroupMember> {
        if (!chosen) {
            return std::nullopt;
        }
        const auto avoided
            = avoid && avoid->group == *chosen ? std::optional { avoid->member } : std::nullopt;
        const std::optional<std::uint32_t> member = choose(groups[*chosen], avoided);
        return member ? std::optional<GroupMember>(GroupMember { *chosen, *member }) : std::nullopt;
    };
    return std::visit(
        kernel::Overloaded {
            [&](const model::RoundRobin&) {
                return inGroup(randomGroup(groups, eligible, draw), [](auto& group, auto avoided) {
                    const auto member = group.nextFree(group.roundRobinNext, avoided);
                    group.roundRobinNext = member.value_or(0) + 1;
                    return member;
                });
            },
            [&](const model::LeastOutstanding&) {
                return inGroup(leastLoadedGroup(groups, eligible),
                    [&](auto& group, auto avoided) { return group.leastLoaded(draw, avoided); });
            },
            [&](const model::TwoChoices&) {
                return inGroup(randomGroup(groups, eligible, draw),
                    [&](auto& group, auto avoided) { return betterOfTwo(group, draw, avoided); });
            },
        },
        policy);
}

} // namespace wasabiroad::routing
