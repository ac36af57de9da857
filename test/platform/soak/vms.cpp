#include "vms.hpp"

#include <algorithm>
#include <cstdlib>

namespace wasabiroad::soak {

namespace json = boost::json;

namespace {

constexpr milliseconds heartbeatInterval { 1500 };
constexpr milliseconds moveTime { 1500 };
constexpr milliseconds maintenanceTime { 2000 };
constexpr milliseconds drainTime { 2500 };
constexpr milliseconds advanceInterval { 10 };

/** Time after which others see a change of the entry of an upstream. */
constexpr milliseconds entryLag { 800 };

/** Time of an answer with the list of VMs. */
constexpr milliseconds listLatency { 2 };

/** Least and greatest delay of an order that is carried out late, in ms. */
constexpr std::int64_t minOrderDelay = 2000;
constexpr std::int64_t maxOrderDelay = 12000;

/** Resources of a VM. */
constexpr std::int64_t vmCpu = 32000;
constexpr std::int64_t vmMemory = 65536;

/** VMs of a rack. */
constexpr std::size_t rackSize = 4;

/** VMs of a page of the list. */
constexpr std::size_t pageSize = 20;

/** Time in which a wave is to be done, in seconds. */
constexpr int waveSeconds = 26;

} // namespace

Vms::Vms(boost::asio::io_context& io, Store& metadata, Ledger& rules, std::vector<PoolSettings> services,
    std::vector<std::string> zones, std::uint64_t seed)
    : context(io)
    , store(metadata)
    , ledger(rules)
    , dice(seed)
    , pools(std::move(services))
{
    std::size_t number = 0;
    for (const auto& pool : this->pools) {
        for (int index = 0; index < pool.vms; ++index, ++number) {
            const auto name = "m-" + std::to_string(100 + number);
            this->vms.push_back({ name, pool.name, "up",
                { name, zones[number % zones.size()], "r-" + std::to_string(number / rackSize), vmCpu,
                    vmMemory },
                nullptr, 0, {} });
        }
    }
    for (auto& vm : this->vms) {
        create(vm);
    }
    start(this->context, heartbeat());
    start(this->context, advance());
}

std::string Vms::addEntrance()
{
    this->servers.push_back(std::make_unique<Server>(
        this->context, [this](Request request) { return answer(std::move(request)); }));
    return this->servers.back()->address();
}

bool Vms::isSpare(const std::string& pool) const
{
    return std::ranges::any_of(
        this->pools, [&](const auto& item) { return item.name == pool && item.spare; });
}

void Vms::create(Vm& vm)
{
    vm.upstream = nullptr;
    if (isSpare(vm.pool)) {
        return;
    }
    const auto id = "i-" + std::to_string(10000 + this->all.size());
    this->all.push_back(std::make_unique<Upstream>(this->context, this->ledger, id, vm.pool, vm.place,
        static_cast<std::uint64_t>(this->dice.within(1, 1000000))));
    vm.upstream = this->all.back().get();
    write(*vm.upstream);
}

void Vms::write(Upstream& upstream) { start(this->context, publish(upstream.id(), upstream.entry())); }

Task<> Vms::publish(std::string id, std::optional<std::string> entry)
{
    co_await pause(entryLag);
    if (entry) {
        this->store.put("servers/" + id, *entry);
    } else {
        this->store.remove("servers/" + id);
    }
}

Task<> Vms::heartbeat()
{
    while (true) {
        co_await pause(heartbeatInterval);
        for (auto* const upstream : upstreams()) {
            if (upstream->path().mode() == Traffic::Passing) {
                write(*upstream);
            }
        }
    }
}

Task<> Vms::advance()
{
    while (true) {
        co_await pause(advanceInterval);
        for (const auto& upstream : this->all) {
            if (upstream->isUp()) {
                upstream->advance();
            }
        }
    }
}

Task<> Vms::forget(std::string id)
{
    if (this->dice.chance(0.5)) {
        co_await pause(3 * heartbeatInterval);
    }
    const bool isBack = std::ranges::any_of(
        this->all, [&](const auto& upstream) { return upstream->id() == id && upstream->isUp(); });
    if (!isBack) {
        co_await publish(id, std::nullopt);
    }
}

std::vector<Upstream*> Vms::upstreams()
{
    std::vector<Upstream*> found;
    for (const auto& upstream : this->all) {
        if (upstream->isUp()) {
            found.push_back(upstream.get());
        }
    }
    return found;
}

Task<> Vms::crash(Upstream& upstream, milliseconds away)
{
    upstream.crash();
    start(this->context, forget(upstream.id()));
    co_await pause(away);
    const bool isCurrent
        = std::ranges::any_of(this->vms, [&](const auto& vm) { return vm.upstream == &upstream; });
    if (isCurrent) {
        upstream.revive();
        write(upstream);
    }
}

Task<> Vms::restartSilently(Upstream& upstream, milliseconds away)
{
    if (!upstream.isUp()) {
        co_return;
    }
    upstream.crash(false);
    co_await pause(away);
    const bool isCurrent
        = std::ranges::any_of(this->vms, [&](const auto& vm) { return vm.upstream == &upstream; });
    if (isCurrent && !upstream.isUp()) {
        upstream.revive();
        write(upstream);
    }
}

Task<> Vms::replace(Upstream& upstream)
{
    upstream.crash();
    start(this->context, forget(upstream.id()));
    const auto found
        = std::ranges::find_if(this->vms, [&](const auto& vm) { return vm.upstream == &upstream; });
    if (found != this->vms.end()) {
        found->state = "down";
        co_await complete(*found, milliseconds { this->dice.within(500, 2000) });
    }
}

Task<> Vms::drain(Upstream& upstream)
{
    upstream.drain(true);
    write(upstream);
    co_await pause(drainTime + milliseconds { this->dice.within(0, 3000) });
    if (upstream.isUp()) {
        co_await crash(upstream, milliseconds { this->dice.within(500, 3000) });
    }
}

void Vms::writeOddEntries()
{
    const std::string nested(3000, '[');
    this->store.put("servers/odd-nested", nested);
    this->store.put("servers/odd-number",
        R"({"service":"pool-a","address":"127.0.0.1:1","slots":1e999,"seq":99999999999999999999999,"born":1e30})");
    this->store.put("servers/odd-port", R"({"service":"pool-a","address":"127.0.0.1:99999999","zone":"z"})");
    this->store.put("servers/odd-bytes", std::string("\xff\xfe\x00\x80", 4));
    this->store.put("servers/odd-empty", "");
}

void Vms::requestWave(double share, int maxCount)
{
    const auto wave = static_cast<std::int64_t>(this->waves.size()) + 1;
    json::array names;
    for (const auto& vm : this->vms) {
        if (this->dice.chance(share)) {
            names.emplace_back(vm.name);
            this->waves[wave].insert(vm.name);
        }
    }
    this->store.put("op/wave/" + std::to_string(wave),
        json::serialize(json::object { { "wave", wave }, { "machines", std::move(names) },
            { "durationS", waveSeconds }, { "maxCount", maxCount } }));
}

Task<std::optional<Answer>> Vms::answer(Request request)
{
    if (pathOf(request) == "/machines") {
        co_await pause(listLatency);
        co_return list(request);
    }
    co_await pause(this->orderFaults.latency);
    if (this->dice.chance(this->orderFaults.rejected)) {
        co_return Answer { 429, "{}" };
    }
    if (this->dice.chance(this->orderFaults.late)) {
        start(this->context, orderLater(std::move(request)));
        co_return std::nullopt;
    }
    auto result = order(request);
    co_return result;
}

Task<> Vms::orderLater(Request request)
{
    co_await pause(milliseconds { this->dice.within(minOrderDelay, maxOrderDelay) });
    order(request);
}

Answer Vms::list(const Request& request) const
{
    const auto token = queryValue(request, "pageToken");
    const std::size_t first = token.empty() ? 0 : std::stoul(token);
    json::array rows;
    for (std::size_t index = first; index < std::min(first + pageSize, this->vms.size()); ++index) {
        const auto& vm = this->vms[index];
        const bool serves = vm.upstream != nullptr && vm.upstream->isUp();
        rows.push_back({ { "machine", vm.name }, { "pool", vm.pool },
            { "state", vm.state == "up" && vm.upstream != nullptr && !serves ? "down" : vm.state },
            { "zone", vm.place.zone }, { "labels", { "a", vm.place.rack } },
            { "capacity", { { "cpu", vmCpu }, { "memMb", vmMemory }, { "gpu", 0 } } },
            { "id", serves ? vm.upstream->id() : "" } });
    }
    json::object body { { "machines", std::move(rows) }, { "nextToken", nullptr } };
    if (first + pageSize < this->vms.size()) {
        body["nextToken"] = std::to_string(first + pageSize);
    }
    return { 200, json::serialize(body) };
}

Answer Vms::order(const Request& request)
{
    const auto body = bodyOf(request);
    const auto found = std::ranges::find(this->vms, textField(body, "machine"), &Vm::name);
    if (found == this->vms.end()) {
        return { 400, "{}" };
    }
    auto& vm = *found;
    const std::int64_t token = std::stoll(std::string { request["Wasabiroad-Fencing-Token"] });
    if (token < vm.fence) {
        return { 409, R"({"reason":"fence"})" };
    }
    vm.fence = token;
    const bool moves = pathOf(request) == "/machine-move";
    const auto pool = textField(body, "pool");
    const auto wave = numberField(body, "wave");
    if (moves ? vm.pool == pool : vm.maintained.contains(wave)) {
        return {};
    }
    if (!moves && !this->waves[wave].contains(vm.name)) {
        return { 409, R"({"reason":"wave"})" };
    }
    const bool isDown = vm.upstream != nullptr && !vm.upstream->isUp();
    if (vm.state != "up" || isDown) {
        return { 409, R"({"reason":"busy"})" };
    }
    ++this->ordered;
    if (vm.upstream != nullptr) {
        vm.upstream->depart();
        start(this->context, forget(vm.upstream->id()));
        vm.upstream = nullptr;
    }
    vm.state = moves ? "moving" : "upkeep";
    if (moves) {
        vm.pool = pool;
    } else {
        vm.maintained.insert(wave);
    }
    start(this->context, complete(vm, moves ? moveTime : maintenanceTime));
    return {};
}

Task<> Vms::complete(Vm& vm, milliseconds duration)
{
    co_await pause(duration);
    vm.state = "up";
    create(vm);
}

std::map<std::string, PoolRoom> Vms::rooms() const
{
    std::map<std::string, PoolRoom> found;
    for (const auto& pool : this->pools) {
        auto& room = found[pool.name];
        std::int64_t free = 0;
        for (const auto& vm : this->vms) {
            if (vm.pool == pool.name && vm.upstream != nullptr && vm.upstream->isUsable()) {
                room.rooms.push_back(vm.upstream->room());
                free += room.rooms.back().cpu;
            }
        }
        room.underHalf = 2 * free > static_cast<std::int64_t>(room.rooms.size()) * vmCpu;
    }
    return found;
}

} // namespace wasabiroad::soak
