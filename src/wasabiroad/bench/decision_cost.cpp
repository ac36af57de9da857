// Prints the cost of decisions at today's size and at the later one, and the memory of queued requests.

#include "wasabiroad/admission/dispatcher.hpp"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <new>
#include <string>

#include <malloc.h>

namespace {

/** Bytes that the heap holds, the allocator's own overhead included. */
std::atomic<std::size_t> heldBytes { 0 };

} // namespace

void* operator new(std::size_t size)
{
    if (void* const memory = std::malloc(size)) {
        heldBytes.fetch_add(malloc_usable_size(memory) + sizeof(std::size_t), std::memory_order_relaxed);
        return memory;
    }
    throw std::bad_alloc {};
}

void operator delete(void* memory) noexcept
{
    if (memory != nullptr) {
        heldBytes.fetch_sub(malloc_usable_size(memory) + sizeof(std::size_t), std::memory_order_relaxed);
        std::free(memory);
    }
}

void operator delete(void* memory, std::size_t) noexcept { operator delete(memory); }

namespace {

using namespace wasabiroad;

struct Size {
    const std::uint32_t upstreams;
    const std::uint32_t pools;
    const std::uint32_t teams;
    /** @brief Part of all slots that is in use during the measurement, in percent. */
    const std::uint32_t usedPercent;
    /** @brief Requests queued for each service during the measurement; they keep all slots in use. */
    const std::uint32_t backlog;
};

constexpr std::uint32_t slotsPerUpstream = 8;

model::RoutingSnapshotPointer snapshotOf(const Size& size)
{
    std::vector<model::UpstreamView> upstreams;
    std::map<model::ServiceId, model::ServiceView> services;
    std::vector<std::vector<std::uint32_t>> members(size.pools);
    for (std::uint32_t index = 0; index < size.upstreams; ++index) {
        const auto pool = index % size.pools;
        members[pool].push_back(index);
        upstreams.emplace_back(model::UpstreamView {
            .vm = model::VmId { "vm-" + std::to_string(index) },
            .address = "127.0.0.1:" + std::to_string(10000 + index),
            .pool = model::PoolId { "pool-" + std::to_string(pool) },
            .sameZone = (index / size.pools) % 3 != 2,
            .slots = slotsPerUpstream,
            .connections = 8,
            .memory = index % 2 == 0 ? 64U : 128U,
            .accelerators = index % 4 == 0 ? 1U : 0U,
        });
    }
    for (std::uint32_t pool = 0; pool < size.pools; ++pool) {
        std::vector<model::PoolId> lenders;
        std::vector<std::uint32_t> borrowed;
        for (std::uint32_t step = 1; step < std::min(size.pools, 5U); ++step) {
            const auto lender = (pool + step) % size.pools;
            lenders.emplace_back("pool-" + std::to_string(lender));
            borrowed.insert(borrowed.end(), members[lender].begin(), members[lender].end());
        }
        const model::ServiceId id { "service-" + std::to_string(pool) };
        std::vector<model::Operation> operations {
            { .id = model::OperationId { "check" }, .declared = { 20 }, .idempotent = true },
            { .id = model::OperationId { "render" },
                .declared = { 1000 },
                .idempotent = true,
                .accelerators = 1 },
        };
        const model::Service service { .id = id,
            .pool = model::PoolId { "pool-" + std::to_string(pool) },
            .queueBound = 1'000'000,
            .retryPercent = 10,
            .borrowFrom = std::move(lenders),
            .operations = std::move(operations) };
        services.emplace(id, model::ServiceView { service, members[pool], std::move(borrowed) });
    }
    std::map<model::TeamId, model::Team> teams;
    for (std::uint32_t team = 0; team < size.teams; ++team) {
        const model::TeamId id { "team-" + std::to_string(team) };
        teams.emplace(id, model::Team { id, 1 + size.upstreams * slotsPerUpstream / size.teams });
    }
    return std::make_shared<const model::RoutingSnapshot>(model::RoutingSnapshot { .sequence = 1,
        .upstreams = std::move(upstreams),
        .services = std::move(services),
        .teams = std::move(teams),
        .entries = 8 });
}

std::vector<model::Request> requestsOf(const Size& size)
{
    std::vector<model::Request> requests;
    for (std::uint32_t index = 0; index < 1000; ++index) {
        requests.emplace_back(model::Request {
            .id = model::RequestId { "request-with-a-long-name-" + std::to_string(index) },
            .service = model::ServiceId { "service-" + std::to_string(index % size.pools) },
            .operation = model::OperationId { index % 20 == 7 ? "render" : "check" },
            .team = model::TeamId { "team-" + std::to_string(index * 7 % size.teams) },
            .deadline = { 1'000'000'000'000 },
            .idempotent = true,
        });
    }
    return requests;
}

/** Handles of granted requests in order of their grants. */
using Granted = std::deque<admission::Handle>;

void keep(Granted& granted, const admission::Dispatcher::Decisions& decisions)
{
    for (const auto& decision : decisions) {
        if (std::holds_alternative<admission::Grant>(decision)) {
            granted.push_back(admission::handleOf(decision));
        }
    }
}

void measureTime(const Size& size)
{
    admission::Dispatcher dispatcher { 1 };
    Granted granted;
    std::int64_t time = 1000;
    keep(granted, dispatcher.update(snapshotOf(size), { time }));
    const auto requests = requestsOf(size);
    const auto held = size.upstreams * slotsPerUpstream * size.usedPercent / 100 + size.backlog * size.pools;
    std::size_t next = 0;
    const auto submit
        = [&] { keep(granted, dispatcher.submit(requests[next++ % requests.size()], { time }).decisions); };
    for (std::uint32_t index = 0; index < held; ++index) {
        submit();
    }
    constexpr int rounds = 200'000;
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        time += round % 10 == 0 ? 1 : 0;
        submit();
        const auto handle = granted.front();
        granted.pop_front();
        keep(granted, dispatcher.finish(handle, admission::Outcome::Succeeded, { time }));
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    const auto nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed).count();
    std::printf(
        "upstreams=%u pools=%u teams=%u used=%u%% queued=%zu running=%zu ns_per_submit_and_finish=%lld\n",
        size.upstreams, size.pools, size.teams, size.usedPercent, dispatcher.queued(), dispatcher.running(),
        static_cast<long long>(nanoseconds / rounds));
}

void measureUpdate(const Size& size)
{
    admission::Dispatcher dispatcher { 1 };
    const auto snapshot = snapshotOf(size);
    dispatcher.update(snapshot, { 1 });
    constexpr int rounds = 50;
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        dispatcher.update(snapshot, { 1 });
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    std::printf("upstreams=%u pools=%u us_per_update=%lld\n", size.upstreams, size.pools,
        static_cast<long long>(
            std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count() / rounds));
}

void measureMemory(const Size& size)
{
    constexpr std::uint32_t queuedRequests = 100'000;
    admission::Dispatcher dispatcher { 1 };
    dispatcher.update(snapshotOf(size), { 1 });
    const auto requests = requestsOf(size);
    std::size_t next = 0;
    while (dispatcher.queued() == 0 || dispatcher.running() < size.upstreams * slotsPerUpstream / 2) {
        dispatcher.submit(requests[next++ % requests.size()], { 1 });
    }
    const auto before = heldBytes.load();
    const auto queuedBefore = dispatcher.queued();
    while (dispatcher.queued() < queuedBefore + queuedRequests) {
        dispatcher.submit(requests[next++ % requests.size()], { 1 });
    }
    std::printf("upstreams=%u queued=%zu bytes_per_queued_request=%zu\n", size.upstreams, dispatcher.queued(),
        (heldBytes.load() - before) / queuedRequests);
}

} // namespace

int main()
{
    for (const Size& size : { Size { 50, 5, 20, 70, 0 }, Size { 50, 5, 20, 100, 20 },
             Size { 2800, 29, 260, 70, 0 }, Size { 2800, 29, 260, 100, 100 } }) {
        measureTime(size);
    }
    for (const Size& size : { Size { 50, 5, 20, 100, 0 }, Size { 2800, 29, 260, 100, 0 } }) {
        measureUpdate(size);
        measureMemory(size);
    }
    return 0;
}
