// Compares queue policies in virtual time on a fake pool of upstreams; see docs/admission.md.

#include "wasabiroad/admission/dispatcher.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <iostream>
#include <numeric>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>

#include <cxxopts.hpp>
#include <pcg_random.hpp>

namespace {

using namespace wasabiroad;

constexpr std::uint32_t serviceCount = 5;
constexpr std::uint32_t upstreamsPerPool = 10;
constexpr std::uint32_t slotsPerUpstream = 8;
constexpr double slotCount = serviceCount * upstreamsPerPool * slotsPerUpstream;

/** Times are in ms. */
constexpr double shortRun = 20;
constexpr double longFactor = 50;
constexpr double longPart = 0.05;
constexpr double meanRun = shortRun * (1 - longPart + longPart * longFactor);
constexpr double burstLength = 5000;
constexpr double burstFactor = 5;
constexpr double quietFactor = 0.05;
constexpr double warmUp = 10000;
constexpr double expiryInterval = 10;

/** @brief One request of the load, with the run time that only the oracle knows. */
struct Arrival {
    const double at;
    const std::uint32_t service;
    const bool isLong;
    const bool hidden;
    const double run;
    const double declared;
    const double deadline;
};

/** @brief What a load is made of. */
struct Load {
    /** @brief Offered work as a part of all slots. */
    const double factor;
    const double deadlineShort;
    const double deadlineLong;
    /** @brief Part of long requests that arrive under the name of the short operation. */
    const double hiddenPart;
    const double length;
    const std::uint64_t seed;
};

/** The same seed gives the same requests to each policy. */
class Arrivals {
public:
    explicit Arrivals(const Load& itsLoad)
        : load(itsLoad)
        , random(itsLoad.seed)
    {
    }

    std::optional<Arrival> next()
    {
        const double rate = this->load.factor * slotCount / meanRun;
        this->time += std::exponential_distribution<double> { rate }(this->random);
        if (this->time > this->load.length) {
            return std::nullopt;
        }
        const bool isLong = unit() < longPart;
        const double run = shortRun * (isLong ? longFactor : 1) * (0.5 + unit());
        // Declared times are wrong by a factor between a tenth and ten.
        const double declared = run * std::pow(10.0, 2 * unit() - 1);
        const bool hidden = unit() < this->load.hiddenPart;
        const double deadline = this->time + (isLong ? this->load.deadlineLong : this->load.deadlineShort);
        return Arrival { this->time, service(), isLong, hidden, run, declared, deadline };
    }

private:
    double unit() { return std::uniform_real_distribution<double> { 0, 1 }(this->random); }

    std::uint32_t service()
    {
        const auto burst = static_cast<std::uint32_t>(this->time / burstLength) % serviceCount;
        const double total = burstFactor + quietFactor * (serviceCount - 1);
        const double drawn = unit() * total;
        if (drawn < burstFactor) {
            return burst;
        }
        const auto other
            = std::min(static_cast<std::uint32_t>((drawn - burstFactor) / quietFactor), serviceCount - 2);
        return (burst + 1 + other) % serviceCount;
    }

    const Load load;
    pcg64 random;
    double time { 0 };
};

/** @brief Measurements of one run. */
struct Result {
    std::vector<double> shortWaits {};
    double longResponse { 0 };
    double longSlowdown { 0 };
    std::size_t longCount { 0 };
    std::size_t offered { 0 };
    std::size_t good { 0 };
    double goodWork { 0 };
    std::size_t refused { 0 };
    std::size_t late { 0 };

    void started(const Arrival& arrival, double now)
    {
        if (arrival.at >= warmUp && !arrival.isLong) {
            this->shortWaits.push_back(now - arrival.at);
        }
    }

    void ended(const Arrival& arrival, double now)
    {
        if (arrival.at < warmUp) {
            return;
        }
        if (arrival.isLong) {
            this->longResponse += now - arrival.at;
            this->longSlowdown += (now - arrival.at) / arrival.run;
            ++this->longCount;
        }
        if (now <= arrival.deadline) {
            ++this->good;
            this->goodWork += arrival.run;
        } else {
            ++this->late;
        }
    }

    double wait(double quantile)
    {
        if (this->shortWaits.empty()) {
            return 0;
        }
        const auto position
            = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(this->shortWaits.size() - 1));
        std::ranges::nth_element(this->shortWaits, this->shortWaits.begin() + position);
        return this->shortWaits[static_cast<std::size_t>(position)];
    }
};

/** @brief One queue before all slots that serves the request with the shortest run time first. */
struct Oracle { };

using Contender = std::variant<model::Policies, Oracle>;

struct Row {
    const std::string name;
    const Contender contender;
};

model::RoutingSnapshotPointer snapshotOf(const model::Policies& policies)
{
    std::vector<model::UpstreamView> upstreams;
    std::map<model::ServiceId, model::ServiceView> services;
    const auto pool = [](std::uint32_t index) { return model::PoolId { "pool-" + std::to_string(index) }; };
    const auto total = serviceCount * upstreamsPerPool;
    for (std::uint32_t index = 0; index < total; ++index) {
        upstreams.emplace_back(model::UpstreamView { .vm = model::VmId { "vm-" + std::to_string(index) },
            .pool = pool(index / upstreamsPerPool),
            .slots = slotsPerUpstream,
            .connections = slotsPerUpstream });
    }
    for (std::uint32_t index = 0; index < serviceCount; ++index) {
        std::vector<std::uint32_t> own(upstreamsPerPool);
        std::iota(own.begin(), own.end(), index * upstreamsPerPool);
        std::vector<model::PoolId> lenders;
        for (std::uint32_t step = 1; step < serviceCount; ++step) {
            lenders.emplace_back(pool((index + step) % serviceCount));
        }
        const model::ServiceId id { "service-" + std::to_string(index) };
        const model::Service service { .id = id,
            .pool = pool(index),
            .queueBound = 1'000'000,
            .retryPercent = 10,
            .borrowFrom = std::move(lenders),
            .operations = { { .id = model::OperationId { "check" }, .declared = { 100 } },
                { .id = model::OperationId { "render" }, .declared = { 100 } } } };
        services.emplace(id, model::ServiceView { service, std::move(own) });
    }
    return std::make_shared<const model::RoutingSnapshot>(model::RoutingSnapshot { .sequence = 1,
        .upstreams = std::move(upstreams),
        .services = std::move(services),
        .policies = policies });
}

/** @brief Runs a dispatcher on a load. */
class DispatcherRun {
public:
    DispatcherRun(const model::Policies& policies, const Load& load)
        : arrivals(load)
        , dispatcher(load.seed + 1)
    {
        apply(this->dispatcher.update(snapshotOf(policies), {}));
    }

    Result run()
    {
        auto arrival = this->arrivals.next();
        while (arrival || !this->ends.empty()) {
            const double nextEnd = this->ends.empty() ? INFINITY : this->ends.top().first;
            const double nextArrival = arrival ? arrival->at : INFINITY;
            const double nextExpiry = this->dispatcher.queued() > 0 ? this->expiry : INFINITY;
            this->now = std::min({ nextEnd, nextArrival, nextExpiry });
            if (this->now == nextEnd) {
                finishFirst();
            } else if (this->now == nextArrival) {
                submit(*arrival);
                auto following = this->arrivals.next();
                arrival.reset();
                if (following) {
                    arrival.emplace(*following);
                }
            } else {
                apply(this->dispatcher.expire(instant(this->now)));
            }
            if (this->expiry <= this->now) {
                this->expiry = this->now + expiryInterval;
            }
        }
        return std::move(this->result);
    }

private:
    static kernel::Instant instant(double time) { return { static_cast<std::int64_t>(time) }; }

    void submit(const Arrival& arrival)
    {
        this->result.offered += arrival.at >= warmUp ? 1 : 0;
        const bool namedLong = arrival.isLong && !arrival.hidden;
        const model::Request request { .id = {},
            .service = model::ServiceId { "service-" + std::to_string(arrival.service) },
            .operation = model::OperationId { namedLong ? "render" : "check" },
            .arrival = instant(arrival.at),
            .deadline = instant(arrival.deadline),
            .declared = { static_cast<std::int64_t>(arrival.declared) + 1 } };
        const auto submission = this->dispatcher.submit(request, instant(this->now));
        this->open.emplace(submission.handle.value, arrival);
        apply(submission.decisions);
    }

    void finishFirst()
    {
        const auto handle = this->ends.top().second;
        this->ends.pop();
        const auto found = this->open.find(handle);
        this->result.ended(found->second, this->now);
        this->open.erase(found);
        apply(this->dispatcher.finish({ handle }, admission::Outcome::Succeeded, instant(this->now)));
    }

    void apply(const admission::Dispatcher::Decisions& decisions)
    {
        for (const auto& decision : decisions) {
            const auto handle = admission::handleOf(decision).value;
            const auto found = this->open.find(handle);
            if (std::holds_alternative<admission::Grant>(decision)) {
                this->result.started(found->second, this->now);
                this->ends.emplace(this->now + found->second.run, handle);
            } else {
                this->result.refused += found->second.at >= warmUp ? 1 : 0;
                this->open.erase(found);
            }
        }
    }

    using End = std::pair<double, std::uint64_t>;

    Arrivals arrivals;
    admission::Dispatcher dispatcher;
    Result result {};
    std::unordered_map<std::uint64_t, Arrival> open {};
    std::priority_queue<End, std::vector<End>, std::greater<>> ends {};
    double now { 0 };
    double expiry { 0 };
};

/** Requests that cannot end by their deadline are dropped when their turn comes. */
Result runOracle(const Load& load)
{
    struct Later {
        bool operator()(const Arrival* left, const Arrival* right) const { return left->run > right->run; }
    };
    using End = std::pair<double, const Arrival*>;
    Arrivals arrivals { load };
    std::deque<Arrival> all;
    std::priority_queue<const Arrival*, std::vector<const Arrival*>, Later> waiting;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    Result result;
    while (auto arrival = arrivals.next()) {
        all.emplace_back(*arrival);
        result.offered += arrival->at >= warmUp ? 1 : 0;
    }
    auto next = all.begin();
    while (next != all.end() || !ends.empty()) {
        const double nextEnd = ends.empty() ? INFINITY : ends.top().first;
        const double now = std::min(nextEnd, next == all.end() ? INFINITY : next->at);
        if (now == nextEnd) {
            result.ended(*ends.top().second, now);
            ends.pop();
        } else {
            waiting.push(&*next++);
        }
        while (!waiting.empty() && static_cast<double>(ends.size()) < slotCount) {
            const auto* const chosen = waiting.top();
            waiting.pop();
            if (now + chosen->run > chosen->deadline) {
                result.refused += chosen->at >= warmUp ? 1 : 0;
                continue;
            }
            result.started(*chosen, now);
            ends.emplace(now + chosen->run, chosen);
        }
    }
    return result;
}

Result runOne(const Contender& contender, const Load& load)
{
    return std::visit(kernel::Overloaded {
                          [&](const model::Policies& policies) {
                              return DispatcherRun { policies, load }.run();
                          },
                          [&](const Oracle&) { return runOracle(load); },
                      },
        contender);
}

std::vector<Row> contenders()
{
    const model::Policies firstCome { .queue = model::FirstComeFirstServed {},
        .placement = model::LeastOutstanding {} };
    const model::Policies roundRobin { .queue = model::FirstComeFirstServed {},
        .placement = model::RoundRobin {} };
    const model::Policies shortFirst { .queue = model::ShortFirst {},
        .placement = model::LeastOutstanding {} };
    return { { "first-come-first-served", firstCome }, { "round-robin", roundRobin },
        { "least-outstanding-short-first", shortFirst }, { "oracle", Oracle {} } };
}

/** Deadlines are far away, so that no request is refused and waits are comparable. */
void printWaits(double factor, double hidden, double length, std::uint64_t seed)
{
    constexpr double farDeadline = 3'600'000;
    double baseline = 0;
    for (const auto& row : contenders()) {
        auto result = runOne(row.contender, { factor, farDeadline, farDeadline, hidden, length, seed });
        const auto response = result.longResponse / static_cast<double>(result.longCount);
        baseline = baseline == 0 ? response : baseline;
        std::printf("waits load=%.2f hidden=%.2f seed=%llu policy=%s short_p50_ms=%.2f short_p99_ms=%.2f "
                    "long_slowdown=%.3f long_mean_to_fcfs=%.3f\n",
            factor, hidden, static_cast<unsigned long long>(seed), row.name.c_str(), result.wait(0.5),
            result.wait(0.99), result.longSlowdown / static_cast<double>(result.longCount),
            response / baseline);
        std::fflush(stdout);
    }
}

void printGoodput(double length, std::uint64_t seed)
{
    constexpr double deadlineShort = 2000;
    constexpr double deadlineLong = 20000;
    const double measured = length - warmUp;
    for (const auto& row : contenders()) {
        double peakWork = 0;
        double peakCount = 0;
        for (const double factor : { 0.8, 1.0, 1.25, 1.5, 2.0 }) {
            const auto result
                = runOne(row.contender, { factor, deadlineShort, deadlineLong, 0, length, seed });
            const double work = result.goodWork / (measured * slotCount);
            const double count = static_cast<double>(result.good) / measured * 1000;
            peakWork = std::max(peakWork, work);
            peakCount = std::max(peakCount, count);
            std::printf(
                "goodput load=%.2f seed=%llu policy=%s work=%.3f requests_per_s=%.0f late=%zu refused=%zu "
                "offered=%zu work_to_peak=%.3f requests_to_peak=%.3f\n",
                factor, static_cast<unsigned long long>(seed), row.name.c_str(), work, count, result.late,
                result.refused, result.offered, work / peakWork, count / peakCount);
            std::fflush(stdout);
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options { "queue-policies", "Compares queue policies in virtual time." };
    options.add_options()("seed", "seed of the load", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "virtual seconds of each run", cxxopts::value<double>()->default_value("110"))(
        "help", "print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const auto seed = parsed["seed"].as<std::uint64_t>();
    const double length = parsed["seconds"].as<double>() * 1000;
    for (const double factor : { 0.7, 0.9, 0.95, 1.0 }) {
        printWaits(factor, 0, length, seed);
    }
    printWaits(0.9, 0.1, length, seed);
    printGoodput(length, seed);
    return 0;
}
