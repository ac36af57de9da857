#pragma once

#include "wasabiroad/model/routing_snapshot.hpp"

#include <string>

namespace wasabiroad::test {

/** @brief A small site: service `one` owns pool `a` and borrows from `b`, service `two` owns pool `b`. */
struct Site {
    const std::uint32_t upstreamsA { 1 };
    const std::uint32_t upstreamsB { 0 };
    const std::uint32_t slots { 1 };
    const model::QueuePolicy queue { model::ShortFirst {} };
    const std::uint32_t queueBound { 1000 };
    const std::uint32_t retryPercent { 10 };
    /** @brief Quota of the team `limited`. */
    const std::uint32_t quota { 1 };
    const std::uint32_t entries { 1 };
};

/** @return The site's snapshot. Operations: `check` is short, `render` is long, `huge` fits no VM. */
inline model::RoutingSnapshotPointer snapshotOf(const Site& site)
{
    using namespace model;
    std::vector<UpstreamView> upstreams;
    std::vector<std::uint32_t> poolA;
    std::vector<std::uint32_t> poolB;
    for (std::uint32_t index = 0; index < site.upstreamsA + site.upstreamsB; ++index) {
        const bool inA = index < site.upstreamsA;
        (inA ? poolA : poolB).push_back(index);
        upstreams.emplace_back(UpstreamView { .vm = VmId { (inA ? "a" : "b") + std::to_string(index) },
            .pool = PoolId { inA ? "a" : "b" },
            .slots = site.slots,
            .connections = site.slots,
            .memory = 64 });
    }
    const std::vector<Operation> operations { { .id = OperationId { "check" }, .declared = { 10 } },
        { .id = OperationId { "render" }, .declared = { 1000 } },
        { .id = OperationId { "huge" }, .declared = { 10 }, .memory = 1024 } };
    const auto service = [&](const char* id, const char* pool, std::vector<PoolId> lenders) {
        return Service { .id = ServiceId { id },
            .pool = PoolId { pool },
            .queueBound = site.queueBound,
            .retryPercent = site.retryPercent,
            .borrowFrom = std::move(lenders),
            .operations = operations };
    };
    const auto one = service("one", "a", { PoolId { "b" } });
    const auto two = service("two", "b", {});
    const Team limited { TeamId { "limited" }, site.quota };
    return std::make_shared<const RoutingSnapshot>(RoutingSnapshot { .sequence = 1,
        .upstreams = std::move(upstreams),
        .services = { { one.id, { one, poolA, poolB } }, { two.id, { two, poolB, {} } } },
        .teams = { { limited.id, limited } },
        .entries = site.entries,
        .policies = { .queue = site.queue } });
}

} // namespace wasabiroad::test
