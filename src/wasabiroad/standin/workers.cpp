#include "wasabiroad/standin/workers.hpp"

#include "wasabiroad/kernel/timer.hpp"

#include <algorithm>
#include <charconv>

namespace wasabiroad::standin {

using kernel::Duration;
using kernel::Instant;
using scheduling::EndKind;
using scheduling::StartResult;
using scheduling::UpstreamId;

namespace {

constexpr Duration latency { 2 };
constexpr Duration silence { 300 };
constexpr Duration stopTime { 30 };
constexpr Duration usualDownTime { 400 };
constexpr Duration endInterval { 10 };

/** Time for which an upstream has run when it is added: its clock is ahead of those of later incarnations by
 * more than the longest lease. */
constexpr Duration ageOfFirstLife { 100000 };

/** Tasks that run for longer are long-running ones: these are at work, with a progress of 100, at once. */
constexpr Duration longRunTime { 1000000 };
constexpr std::int64_t usualPercent = 50;
constexpr std::int64_t atWorkPercent = 100;

Instant now() { return kernel::now(kernel::SteadyClock {}); }

Duration runTime(const std::string& payload)
{
    std::int64_t milliseconds = 0;
    std::from_chars(payload.data(), payload.data() + payload.size(), milliseconds);
    return { milliseconds };
}

} // namespace

Workers::Workers(boost::asio::io_context& ioContext)
    : context(ioContext)
{
}

void Workers::add(const std::string& name, const model::ServiceId& service, std::int64_t cpu)
{
    const auto life = ++this->lives;
    this->workers.push_back({ .name = name,
        .service = service,
        .cpu = cpu,
        .id = UpstreamId { name + "-" + std::to_string(life) },
        .born = static_cast<std::int64_t>(life),
        .started = now() - ageOfFirstLife,
        .switchedOff = this->sparePools.contains(service) });
}

scheduling::UpstreamFacts Workers::factsOf(const Worker& worker) const
{
    const bool isRegistered = worker.formerBorn == 0 || now() - worker.started >= this->registrationDelay;
    return { .id = worker.id,
        .service = worker.service,
        .address = "127.0.0.1:1",
        .zone = model::ZoneId { "a" },
        .rack = model::RackId { "r1" },
        .capacity = { worker.cpu, 65536, 0 },
        .born = { isRegistered ? worker.born : worker.formerBorn } };
}

std::vector<scheduling::UpstreamFacts> Workers::members() const
{
    std::vector<scheduling::UpstreamFacts> facts;
    for (const auto& worker : this->workers) {
        if (worker.up && !worker.switchedOff) {
            facts.push_back(factsOf(worker));
        }
    }
    for (const auto& entry : this->departed) {
        if (now() < entry.listedUntil) {
            facts.push_back(entry.facts);
        }
    }
    return facts;
}

void Workers::setDeparture(Duration listedFor, Duration silentFor)
{
    this->departedListed = listedFor;
    this->departedSilent = silentFor;
}

void Workers::depart(Worker& worker)
{
    if (!worker.switchedOff) {
        this->departed.push_back({ factsOf(worker), now() + this->departedListed });
    }
    worker.up = false;
    lose(worker);
}

void Workers::failLater(std::function<void()> callback)
{
    kernel::callLater(this->context, this->departedSilent, std::move(callback));
}

void Workers::powerOff(const std::string& name)
{
    auto& worker = *std::ranges::find(this->workers, name, &Worker::name);
    depart(worker);
    worker.poweredOff = true;
}

std::vector<ports::VmFacts> Workers::vms() const
{
    std::vector<ports::VmFacts> facts;
    for (const auto& worker : this->workers) {
        facts.push_back({ model::VmId { worker.name }, worker.service,
            worker.up                  ? ports::VmCondition::Up
                : worker.poweredOff    ? ports::VmCondition::Down
                : worker.inMaintenance ? ports::VmCondition::Maintenance
                                       : ports::VmCondition::Moving,
            worker.up && !worker.switchedOff ? worker.id : UpstreamId {}, { worker.cpu, 65536, 0 } });
    }
    return facts;
}

Workers::Worker* Workers::find(const UpstreamId& id)
{
    const auto found = std::ranges::find(this->workers, id, &Worker::id);
    return found != this->workers.end() && found->up ? &*found : nullptr;
}

void Workers::lose(Worker& worker)
{
    worker.running.clear();
    worker.closedRuns.clear();
    worker.ends.clear();
    worker.nextEnd = 1;
    worker.fence = 0;
    worker.leaseEnd = {};
    worker.born = static_cast<std::int64_t>(++this->lives);
    worker.formerBorn = 0;
    worker.started = now();
}

ports::UpstreamTime Workers::clockOf(const Worker& worker)
{
    return { (now() - worker.started).milliseconds };
}

void Workers::extendLease(Worker& worker, ports::UpstreamTime end) const
{
    const Duration wanted { end.milliseconds - clockOf(worker).milliseconds };
    worker.leaseEnd = std::max(worker.leaseEnd, now() + std::min(wanted, this->maxLease));
}

void Workers::crash(const std::string& name)
{
    auto& worker = *std::ranges::find(this->workers, name, &Worker::name);
    const auto formerBorn = worker.born;
    lose(worker);
    worker.formerBorn = formerBorn;
}

void Workers::replace(const std::string& name)
{
    auto& worker = *std::ranges::find(this->workers, name, &Worker::name);
    depart(worker);
    comeUpLater(worker);
}

bool Workers::takeOrder(Worker& worker, const OrderOrigin& origin)
{
    if (origin.fence < worker.vmFence) {
        return false;
    }
    if (!worker.vmHolder.empty() && origin.holder != worker.vmHolder
        && now() - worker.vmOrdered < this->orderGap) {
        this->faults.push_back("two daemons gave orders to " + worker.name);
    }
    worker.vmFence = origin.fence;
    worker.vmHolder = origin.holder;
    worker.vmOrdered = now();
    return true;
}

ports::VmOrderResult Workers::maintain(const model::VmId& vm, const OrderOrigin& origin)
{
    auto& worker = *std::ranges::find(this->workers, vm.text(), &Worker::name);
    if (!takeOrder(worker, origin)) {
        return ports::VmOrderResult::Fenced;
    }
    if (this->maintainedVms.contains(vm)) {
        return ports::VmOrderResult::Done;
    }
    this->maintainedVms.insert(vm);
    takeDown(worker, "maintenance");
    worker.inMaintenance = true;
    const auto down = std::ranges::count_if(
        this->workers, [](const auto& other) { return !other.up && other.inMaintenance; });
    this->downAtMost = std::max(this->downAtMost, static_cast<std::size_t>(down));
    return ports::VmOrderResult::Done;
}

ports::VmOrderResult Workers::move(
    const model::VmId& vm, const model::ServiceId& pool, const OrderOrigin& origin)
{
    auto& worker = *std::ranges::find(this->workers, vm.text(), &Worker::name);
    if (!takeOrder(worker, origin)) {
        return ports::VmOrderResult::Fenced;
    }
    if (worker.service == pool) {
        return ports::VmOrderResult::Done;
    }
    this->movingHolders.push_back(origin.holder);
    worker.service = pool;
    takeDown(worker, "move");
    return ports::VmOrderResult::Done;
}

void Workers::takeDown(Worker& worker, const std::string& reason)
{
    if (!worker.running.empty()) {
        this->faults.push_back(reason + " ended tasks on " + worker.name);
    }
    depart(worker);
    comeUpLater(worker);
}

void Workers::comeUpLater(const Worker& worker)
{
    kernel::callLater(this->context, this->downTime.value_or(usualDownTime), [this, name = worker.name] {
        auto& back = *std::ranges::find(this->workers, name, &Worker::name);
        back.up = true;
        back.inMaintenance = false;
        back.switchedOff = this->sparePools.contains(back.service);
        back.id = UpstreamId { back.name + "-" + std::to_string(++this->lives) };
    });
}

void Workers::end(Worker& worker, const jobs::TaskId& task, EndKind kind)
{
    const auto run = worker.running.at(task).run;
    worker.running.erase(task);
    auto& closed = worker.closedRuns[task];
    closed = std::max(closed, run);
    const auto number = worker.nextEnd++;
    worker.ends.emplace(number, scheduling::EndedTask { number, task, run, kind, "" });
    if (kind == EndKind::Done) {
        this->done[task] = { worker.name, now() };
    }
}

bool Workers::isDone(const jobs::TaskId& task) const
{
    const auto found = this->done.find(task);
    if (found == this->done.end()) {
        return false;
    }
    // An end that was not taken note of before the lease ended may be lost with it.
    const auto& [name, ended] = found->second;
    const auto worker = std::ranges::find(this->workers, name, &Worker::name);
    return worker->leaseEnd > now() && worker->lapsed < ended;
}

void Workers::advance(Worker& worker)
{
    if (worker.leaseEnd <= now()) {
        worker.lapsed = now();
    }
    const auto running = worker.running;
    for (const auto& [task, state] : running) {
        if (worker.leaseEnd <= now()) {
            end(worker, task, EndKind::LeaseExpired);
        } else if (state.stops && *state.stops <= now()) {
            end(worker, task, EndKind::Stopped);
        } else if (state.ends <= now()) {
            end(worker, task, EndKind::Done);
        }
    }
}

ports::LookOutcome Workers::look(const UpstreamId& id, const ports::Look& look)
{
    auto* const worker = find(id);
    if (worker == nullptr) {
        return kernel::Error { kernel::ResultCode::PlatformTimeout, id.text(), "no answer" };
    }
    advance(*worker);
    if (look.term.value < worker->fence) {
        return ports::Superseded {};
    }
    worker->fence = look.term.value;
    if (look.leaseEnd) {
        extendLease(*worker, *look.leaseEnd);
    }
    worker->ends.erase(worker->ends.begin(), worker->ends.upper_bound(look.acknowledged));
    std::vector<scheduling::RunningTask> running;
    for (const auto& [task, state] : worker->running) {
        const bool longRunning = state.ends - now() > longRunTime;
        running.push_back({ task, state.run, "", longRunning ? atWorkPercent : usualPercent });
    }
    std::vector<scheduling::EndedTask> ended;
    for (const auto& [number, end] : worker->ends) {
        if (ended.size() < this->endsPerList) {
            ended.push_back(end);
        }
    }
    const bool mayHaveMore = ended.size() >= this->endsPerList;
    return ports::Tasks { { worker->born }, std::move(running), std::move(ended), mayHaveMore,
        clockOf(*worker) };
}

ports::StartOutcome Workers::start(
    const scheduling::StartTask& order, ports::Term term, ports::UpstreamTime leaseEnd)
{
    auto* const worker = find(order.upstream);
    if (worker == nullptr) {
        this->departedStarts.push_back(order.upstream);
        return ports::StartAnswer { StartResult::Unknown };
    }
    const auto answer = [&](StartResult result) { return ports::StartAnswer { result, clockOf(*worker) }; };
    advance(*worker);
    if (term.value < worker->fence) {
        return ports::Superseded {};
    }
    worker->fence = term.value;
    if (worker->running.contains(order.task)) {
        return answer(
            worker->running.at(order.task).run == order.run ? StartResult::Started : StartResult::StaleRun);
    }
    const auto closed = worker->closedRuns.find(order.task);
    if (closed != worker->closedRuns.end() && order.run <= closed->second) {
        return answer(StartResult::StaleRun);
    }
    if (leaseEnd <= clockOf(*worker)) {
        return answer(StartResult::Refused);
    }
    for (auto& other : this->workers) {
        advance(other);
        if (&other != worker && other.running.contains(order.task)) {
            this->faults.push_back("two runs of " + jobs::toText(order.task));
        }
    }
    if (isDone(order.task)) {
        this->faults.push_back("start after the end of " + jobs::toText(order.task));
    }
    extendLease(*worker, leaseEnd);
    worker->running[order.task] = { order.run, now() + runTime(order.payload) };
    ++this->starts[order.task.job];
    return answer(StartResult::Started);
}

ports::OrderOutcome Workers::stop(const scheduling::StopTask& order, ports::Term term)
{
    auto* const worker = find(order.upstream);
    if (worker == nullptr) {
        return false;
    }
    advance(*worker);
    if (term.value < worker->fence) {
        return ports::Superseded {};
    }
    auto& closed = worker->closedRuns[order.task];
    closed = std::max(closed, order.run);
    const auto running = worker->running.find(order.task);
    if (running != worker->running.end() && running->second.run == order.run) {
        running->second.stops = now() + stopTime;
    }
    return true;
}

void Workers::waitForEnd(const UpstreamId& id, const ports::Look& wanted, Instant until,
    store::Callback<ports::LookOutcome> callback, bool hasArrived)
{
    // A call acknowledges ends and renews leases once, as it arrives.
    auto outcome = look(id, hasArrived ? ports::Look { .term = wanted.term } : wanted);
    const auto* const tasks = std::get_if<ports::Tasks>(&outcome);
    if (tasks == nullptr || !tasks->ended.empty() || now() >= until) {
        callback(std::move(outcome));
        return;
    }
    const auto born = tasks->born;
    kernel::callLater(
        this->context, endInterval, [this, id, wanted, until, born, callback = std::move(callback)] {
            // A crash breaks the connection on which the call waits.
            if (const auto* const worker = find(id); worker == nullptr || worker->born != born.milliseconds) {
                if (this->lateLooks.milliseconds > 0) {
                    kernel::callLater(
                        this->context, this->lateLooks, [this, id, wanted] { look(id, wanted); });
                }
                failLater([callback, id] {
                    callback(kernel::Error { kernel::ResultCode::PlatformTimeout, id.text(), "no answer" });
                });
                return;
            }
            waitForEnd(id, wanted, until, callback, true);
        });
}

ports::Upstreams Workers::connect(std::shared_ptr<WorkerFaults> workerFaults)
{
    return { .open = [this, workerFaults](const scheduling::UpstreamFacts& facts)
                 -> kernel::Expected<std::shared_ptr<const ports::UpstreamLink>> {
        const auto isCut = [workerFaults](const UpstreamId& id) { return workerFaults->cut.contains(id); };
        return std::make_shared<const ports::UpstreamLink>(ports::UpstreamLink {
            .look =
                [this, isCut, workerFaults, id = facts.id](
                    const ports::Look& wanted, const store::Callback<ports::LookOutcome>& callback) {
                    if (isCut(id)) {
                        kernel::callLater(this->context, silence, [callback] {
                            callback(
                                kernel::Error { kernel::ResultCode::PlatformTimeout, "upstream", "cut" });
                        });
                        return;
                    }
                    if (workerFaults->misdirected.contains(id)) {
                        kernel::callLater(
                            this->context, latency, [callback] { callback(ports::OtherUpstream {}); });
                        return;
                    }
                    kernel::callLater(this->context, latency, [this, id, wanted, callback] {
                        waitForEnd(id, wanted, now() + wanted.wait, callback);
                    });
                },
            .start =
                [this, isCut, workerFaults](const scheduling::StartTask& order, ports::Term term,
                    ports::UpstreamTime leaseEnd, const ports::Permission& permission,
                    const store::Callback<ports::StartOutcome>& callback) {
                    if (isCut(order.upstream)) {
                        kernel::callLater(this->context, silence,
                            [callback] { callback(ports::StartAnswer { StartResult::Unknown }); });
                        return;
                    }
                    kernel::callLater(this->context, latency,
                        [this, workerFaults, order, term, leaseEnd, permission, callback] {
                            const ports::StartOutcome outcome = permission()
                                ? start(order, term, leaseEnd)
                                : ports::StartAnswer { StartResult::NotTried };
                            if (workerFaults->losesStartAnswers) {
                                kernel::callLater(this->context, silence,
                                    [callback] { callback(ports::StartAnswer { StartResult::Unknown }); });
                                return;
                            }
                            callback(outcome);
                        });
                },
            .stop =
                [this, isCut](const scheduling::StopTask& order, ports::Term term,
                    const store::Callback<ports::OrderOutcome>& callback) {
                    if (isCut(order.upstream)) {
                        kernel::callLater(this->context, silence, [callback] { callback(false); });
                        return;
                    }
                    kernel::callLater(this->context, latency,
                        [this, order, term, callback] { callback(stop(order, term)); });
                },
            .pace =
                [this](const scheduling::PaceTask&, ports::Term,
                    const store::Callback<ports::OrderOutcome>& callback) {
                    kernel::callLater(this->context, latency, [callback] { callback(true); });
                },
        });
    } };
}

void Workers::raiseFence(const std::string& name, std::uint64_t term)
{
    auto& worker = *std::ranges::find(this->workers, name, &Worker::name);
    worker.fence = std::max(worker.fence, term);
    worker.vmFence = std::max(worker.vmFence, term);
}

std::size_t Workers::startsOf(const jobs::JobId& job) const
{
    const auto found = this->starts.find(job);
    return found != this->starts.end() ? found->second : 0;
}

scheduling::UpstreamId Workers::busiest() const
{
    return std::ranges::max_element(this->workers, {}, [](const Worker& worker) {
        return worker.running.size();
    })->id;
}

std::size_t Workers::runningCount() const
{
    std::size_t count = 0;
    for (const auto& worker : this->workers) {
        count += worker.running.size();
    }
    return count;
}

std::size_t Workers::runningOf(const jobs::JobId& job) const
{
    std::size_t count = 0;
    for (const auto& worker : this->workers) {
        count += static_cast<std::size_t>(
            std::ranges::count_if(worker.running, [&](const auto& entry) { return entry.first.job == job; }));
    }
    return count;
}

} // namespace wasabiroad::standin
