#include "upstream.hpp"

#include <algorithm>

namespace wasabiroad::soak {

namespace json = boost::json;

namespace {

/** Longest lease that an upstream grants, in ms. */
constexpr std::int64_t maxLease = 10000;

/** Ends that an answer lists at most. */
constexpr std::size_t listedEnds = 500;

/** Time after which a task that lasts is at work, in ms. */
constexpr std::int64_t startup = 500;

/** Work after which a checkpoint is made, in ms. */
constexpr std::int64_t checkpointInterval = 2000;

/** Share of tasks that last which fail in each step of `advance`. */
constexpr double failures = 0.00005;

} // namespace

Upstream::Upstream(boost::asio::io_context& io, Ledger& rules, std::string id, std::string pool, Place place,
    std::uint64_t seed)
    : name(std::move(id))
    , service(std::move(pool))
    , at(std::move(place))
    , ledger(rules)
    , context(io)
    , dice(seed)
    , born(unixMs())
    , started(nowMs())
    , slowness(dice.within(0, 20))
    , server(io, [this](Request request) { return answer(std::move(request)); })
{
}

std::int64_t Upstream::clock() const { return (nowMs() - this->started) * (1000 - this->slowness) / 1000; }

std::string Upstream::entry()
{
    json::object entry { { "service", this->service }, { "address", this->server.address() },
        { "zone", this->at.zone }, { "version", "v1" }, { "slots", 8 },
        { "state", this->draining ? "draining" : "ready" }, { "coldRemainingMs", 0 },
        { "capacity", { { "cpu", this->at.cpu }, { "memMb", this->at.memory }, { "gpu", 0 } } },
        { "labels", { "a", this->at.rack } }, { "clockMs", clock() }, { "born", this->born },
        { "seq", ++this->sequence } };
    if (this->draining) {
        entry["remainingMs"] = 2000;
    }
    return json::serialize(entry);
}

void Upstream::crash(bool resets)
{
    this->up = false;
    this->ledger.lose(life());
    this->runs.clear();
    this->ends.clear();
    this->ended.notify();
    if (resets) {
        this->server.path().reset();
    }
}

void Upstream::depart()
{
    this->departed = true;
    crash(this->dice.chance(0.5));
}

void Upstream::revive()
{
    ++this->incarnation;
    this->born = unixMs();
    this->started = nowMs();
    this->lastRuns.clear();
    this->lastEnd = 0;
    this->fence = 0;
    this->leaseEnd = 0;
    this->sequence = 0;
    this->draining = false;
    this->up = true;
}

Room Upstream::room() const
{
    Room room { this->name, this->at.cpu, this->at.memory };
    for (const auto& [task, running] : this->runs) {
        room.cpu -= running.step.cpu;
        room.memory -= running.step.memory;
    }
    return room;
}

Task<std::optional<Answer>> Upstream::answer(Request request)
{
    const auto path = pathOf(request);
    if (!this->up) {
        if (this->departed && path == "/run-start") {
            const auto task = textField(bodyOf(request), "task");
            this->ledger.violate("GONE", task.substr(0, task.find('.')),
                task + " is started on " + this->name + " after its VM was ordered away");
        }
        co_return std::nullopt;
    }
    if (path == "/health") {
        co_return Answer {};
    }
    const auto target = request["Wasabiroad-Target-Instance"];
    if (!target.empty() && target != this->name) {
        co_return Answer { 421, "{}" };
    }
    if (this->dice.chance(this->late)) {
        start(this->context, actLater(std::move(request), this->incarnation));
        co_return std::nullopt;
    }
    auto body = bodyOf(request);
    const auto first = act(path, body);
    if (path != "/hold" || first.status != 200) {
        co_return first;
    }
    const auto before = this->incarnation;
    auto held = co_await hold(std::move(body));
    if (!this->up || before != this->incarnation) {
        co_return std::nullopt;
    }
    co_return held;
}

Task<> Upstream::actLater(Request request, std::int64_t sentTo)
{
    co_await pause(milliseconds { this->dice.within(500, 5000) });
    if (this->up && this->incarnation == sentTo) {
        act(pathOf(request), bodyOf(request));
    }
}

Answer Upstream::act(const std::string& path, const json::object& body)
{
    const auto token = numberField(body, "fencingToken");
    if (token < this->fence) {
        return refuse("fence");
    }
    this->fence = token;
    advance();
    if (path == "/run-start") {
        return begin(body);
    }
    if (path == "/run-stop") {
        return stop(body);
    }
    if (path == "/hold") {
        if (const auto until = numberField(body, "untilMs"); until != 0) {
            extendLease(until);
        }
        acknowledge(numberField(body, "ackedUpto"));
    }
    return { 200, json::serialize(json::object { { "clockMs", clock() } }) };
}

Answer Upstream::refuse(const std::string& reason) const
{
    return { 409, json::serialize(json::object { { "clockMs", clock() }, { "reason", reason } }) };
}

void Upstream::acknowledge(std::int64_t number)
{
    const auto last = this->ends.upper_bound(number);
    for (auto end = this->ends.begin(); end != last; ++end) {
        this->ledger.note(life(), end->second.task, end->second.run, end->second.lapses == this->lapses);
    }
    this->ends.erase(this->ends.begin(), last);
}

void Upstream::extendLease(std::int64_t until)
{
    if (clock() > this->leaseEnd) {
        ++this->lapses;
    }
    this->leaseEnd = std::max(this->leaseEnd, std::min(until, clock() + maxLease));
}

Answer Upstream::begin(const json::object& body)
{
    const auto task = textField(body, "task");
    const auto run = numberField(body, "run");
    const auto until = numberField(body, "untilMs");
    const auto step = this->ledger.stepOf(task);
    if (!step) {
        this->ledger.violate("UNASKED", task, "no client asked for it");
        return { 400, "{}" };
    }
    if (until <= clock()) {
        return refuse("late");
    }
    extendLease(until);
    const auto found = this->runs.find(task);
    if (found != this->runs.end() && found->second.run == run) {
        return { 200, json::serialize(json::object { { "clockMs", clock() } }) };
    }
    const auto last = this->lastRuns.find(task);
    if (found != this->runs.end() || (last != this->lastRuns.end() && run <= last->second)) {
        return refuse("old");
    }
    const auto checkpoint = textField(body, "checkpoint");
    this->runs[task] = { run, nowMs(), checkpoint.empty() ? 0 : std::stoll(checkpoint), *step };
    this->ledger.begin(life(), task, run);
    return { 200, json::serialize(json::object { { "clockMs", clock() } }) };
}

Answer Upstream::stop(const json::object& body)
{
    const auto task = textField(body, "task");
    const auto run = numberField(body, "run");
    auto& last = this->lastRuns[task];
    last = std::max(last, run);
    const auto found = this->runs.find(task);
    if (found != this->runs.end() && found->second.run <= run) {
        endRun(task, "stopped");
    }
    return { 200, json::serialize(json::object { { "clockMs", clock() } }) };
}

Task<Answer> Upstream::hold(json::object body)
{
    const auto until = Clock::now() + milliseconds { numberField(body, "waitMs") };
    while (this->ends.empty() && this->up && Clock::now() < until) {
        co_await this->ended.wait(until);
    }
    co_return listRuns();
}

Answer Upstream::listRuns()
{
    json::array listed;
    for (const auto& [task, running] : this->runs) {
        const auto whole = running.step.lasts() ? startup : running.step.duration;
        const auto saved
            = running.step.saves ? progress(running) / checkpointInterval * checkpointInterval : 0;
        listed.push_back(json::array { task, running.run, saved > 0 ? std::to_string(saved) : "",
            std::min<std::int64_t>(100, progress(running) * 100 / whole), running.step.cpu });
    }
    json::array done;
    for (const auto& [number, end] : this->ends) {
        if (done.size() == listedEnds) {
            break;
        }
        if (end.how == "done") {
            this->ledger.list(end.task);
        }
        done.push_back(json::array { number, end.task, end.run, end.how, end.saved });
    }
    return { 200,
        json::serialize(json::object { { "clockMs", clock() }, { "born", this->born },
            { "runningTasks", std::move(listed) }, { "ended", std::move(done) } }) };
}

std::int64_t Upstream::progress(const Running& running) const
{
    return running.saved + nowMs() - running.started;
}

void Upstream::endRun(const std::string& task, const std::string& how)
{
    const auto running = this->runs.at(task);
    this->runs.erase(task);
    const bool saves = running.step.saves && how == "stopped";
    this->ends[++this->lastEnd]
        = { task, running.run, how, saves ? std::to_string(progress(running)) : "", this->lapses };
    auto& last = this->lastRuns[task];
    last = std::max(last, running.run);
    this->ledger.end(life(), task, running.run, how);
    this->ended.notify();
}

void Upstream::advance()
{
    const bool lapsed = clock() > this->leaseEnd;
    const auto current = this->runs;
    for (const auto& [task, running] : current) {
        if (lapsed) {
            endRun(task, "lapsed");
        } else if (!running.step.lasts() && progress(running) >= running.step.duration) {
            endRun(task, "done");
        } else if (running.step.lasts() && this->dice.chance(failures)) {
            endRun(task, "failed");
        }
    }
}

} // namespace wasabiroad::soak
