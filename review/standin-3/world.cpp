#include "world.hpp"

#include <algorithm>
#include <iostream>

namespace review {

namespace json = boost::json;

namespace {

/** Figures of the site hallbach-foundry, in ms. */
constexpr std::int64_t longestLease = 6000;
constexpr std::int64_t gangWait = 3000;
constexpr std::int64_t checkpointInterval = 500;
constexpr std::int64_t contact = 3000;
constexpr std::int64_t early = 250;
constexpr milliseconds heartbeatInterval { 1500 };
constexpr milliseconds entryLag { 800 };
constexpr milliseconds advanceInterval { 10 };
constexpr milliseconds patience { 3000 };
constexpr std::int64_t cores = 16000;
constexpr std::int64_t memory = 65536;
constexpr std::size_t listedEnds = 500;
constexpr std::int64_t readyTime = 20000;
constexpr const char* service = "alpha";

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts { "" };
    for (const char character : text) {
        if (character == '.') {
            parts.emplace_back();
        } else {
            parts.back() += character;
        }
    }
    return parts;
}

std::string encodeCheckpoint(std::int64_t progress, const std::string& task, std::size_t size)
{
    char text[17] {};
    std::snprintf(text, sizeof text, "%08llx", static_cast<unsigned long long>(progress));
    auto checkpoint = text + task.substr(0, 8);
    checkpoint.resize(size, '0');
    return checkpoint;
}

std::int64_t decodeCheckpoint(const std::string& text)
{
    return text.empty() ? 0 : std::stoll(text.substr(0, 8), nullptr, 16);
}

/** @return The beginning of a checkpoint, for the record. */
std::string shorten(const std::string& checkpoint)
{
    constexpr std::size_t shown = 16;
    return checkpoint.substr(0, shown);
}

std::string encode(const Job& job)
{
    json::array rows;
    for (const auto& step : job.steps) {
        json::object row { { "count", step.count }, { "cpu", step.cpu }, { "memMb", 256 },
            { "estimateMs", step.duration } };
        if (!rows.empty() && step.chained) {
            row["after"] = json::array { rows.size() - 1 };
        }
        if (step.gang) {
            row["gang"] = true;
        }
        if (step.saves) {
            row["savesProgress"] = true;
        }
        if (!step.label.empty()) {
            row["requires"] = step.label;
        }
        if (step.perServer > 0) {
            row["maxPerServer"] = step.perServer;
        }
        rows.push_back(std::move(row));
    }
    json::object body { { "spec", "review" }, { "steps", std::move(rows) } };
    if (job.runs > 0) {
        body["runCount"] = job.runs;
        body["startMs"] = job.firstDue;
        body["intervalMs"] = job.interval;
    }
    return json::serialize(body);
}

std::string configuration()
{
    const json::object route { { "name", "queue-a" }, { "host", "queue.example" }, { "prefix", "/a/" },
        { "kind", "non_idempotent" }, { "timeoutMs", 3000 }, { "sloMs", 600 }, { "service", service },
        { "maxAttempts", 4 }, { "stretch", 1.6 } };
    const json::object pool { { "name", service }, { "healthPath", "/health" }, { "maxConns", 64 },
        { "protocol", "h1" } };
    return json::serialize(json::object { { "version", 7 }, { "routes", json::array { route } },
        { "services", json::array { pool } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 } } } });
}

} // namespace

std::string gangName(const std::string& task, std::int64_t run)
{
    return task.substr(0, task.rfind('.')) + "#" + std::to_string(run);
}

Worker::Worker(World& owner, std::string id, std::string machine, std::string itsRack, std::string kind)
    : world(owner)
    , name(std::move(id))
    , vm(std::move(machine))
    , rack(std::move(itsRack))
    , label(std::move(kind))
    , started(nowMs())
    , born(unixMs())
    , server(owner.io(), [this](Request request) { return answer(std::move(request)); })
{
}

std::string Worker::entry()
{
    return json::serialize(json::object { { "service", service }, { "address", this->server.address() },
        { "zone", "zone-a" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
        { "capacity", { { "cpu", cores }, { "memMb", memory } } },
        { "labels", json::array { this->label, this->rack } }, { "born", this->born },
        { "seq", ++this->sequence } });
}

void Worker::crash(bool resets)
{
    this->world.note("crash " + this->name + (resets ? " reset" : " silent"));
    this->up = false;
    const auto lost = this->runs;
    for (const auto& [task, run] : lost) {
        if (isRunning(task)) {
            end(task, "lost");
        }
    }
    this->ends.clear();
    this->ended.notify();
    if (resets) {
        this->server.path().reset();
    } else {
        this->server.path().sever();
    }
}

void Worker::restart(std::string kind)
{
    this->label = std::move(kind);
    this->lastRuns.clear();
    this->lastEnd = 0;
    this->fence = 0;
    this->leaseEnd = 0;
    this->sequence = 0;
    this->started = nowMs();
    this->born = unixMs();
    this->up = true;
    this->world.note(
        "restart " + this->name + " kind " + this->label + " born " + std::to_string(this->born));
}

Task<std::optional<Answer>> Worker::answer(Request request)
{
    const auto path = pathOf(request);
    if (!this->up) {
        co_return std::nullopt;
    }
    if (path == "/health") {
        co_return Answer {};
    }
    const auto target = request["Wasabiroad-Target-Instance"];
    if (!target.empty() && target != this->name) {
        co_return Answer { 421, "{}" };
    }
    const auto body = bodyOf(request);
    const auto life = this->born;
    if (path == "/run-start" && this->holdsStarts) {
        this->world.note("kept back " + this->name + " " + textField(body, "task") + " run "
            + std::to_string(numberField(body, "run")));
        this->keptStart = body;
        this->holdsStarts = false;
        co_return std::nullopt;
    }
    auto first = act(path, body);
    if (path != "/hold" || first.status != 200) {
        co_return first;
    }
    const auto until = Clock::now() + milliseconds { numberField(body, "waitMs") };
    while (this->ends.empty() && this->up && life == this->born && Clock::now() < until) {
        co_await this->ended.wait(until);
    }
    if (!this->up || life != this->born) {
        co_return std::nullopt;
    }
    co_return list();
}

void Worker::deliverStart()
{
    this->world.note("delivers the start that was kept back");
    act("/run-start", this->keptStart);
    this->keptStart.clear();
}

Answer Worker::act(const std::string& path, const json::object& body)
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
            this->leaseEnd = std::max(this->leaseEnd, std::min(until, clock() + longestLease));
        }
        const auto acknowledged = numberField(body, "ackedUpto");
        const auto last = this->ends.upper_bound(acknowledged);
        for (auto end = this->ends.begin(); end != last; ++end) {
            this->world.note("acknowledged " + this->name + " " + end->second.task + " run "
                + std::to_string(end->second.run) + " " + end->second.how);
            if (end->second.how == "done") {
                this->world.completed.insert(end->second.task);
            }
        }
        this->ends.erase(this->ends.begin(), last);
    }
    return { 200, json::serialize(json::object { { "clockMs", clock() } }) };
}

Answer Worker::refuse(const std::string& reason) const
{
    return { 409, json::serialize(json::object { { "clockMs", clock() }, { "reason", reason } }) };
}

Answer Worker::begin(const json::object& body)
{
    const auto task = textField(body, "task");
    const auto run = numberField(body, "run");
    const auto until = numberField(body, "untilMs");
    const auto checkpoint = textField(body, "checkpoint");
    const auto* const step = this->world.stepOf(task);
    const auto order = "order " + this->name + " " + task + " run " + std::to_string(run) + " checkpoint "
        + (checkpoint.empty() ? "-" : shorten(checkpoint));
    if (step == nullptr) {
        this->world.note(order + " -> 400");
        this->world.violate("UNASKED", task + " was handed in by no client");
        return { 400, "{}" };
    }
    if (until <= clock()) {
        return refuse("late");
    }
    this->leaseEnd = std::max(this->leaseEnd, std::min(until, clock() + longestLease));
    const auto found = this->runs.find(task);
    if (found != this->runs.end() && found->second.number == run) {
        return { 200, json::serialize(json::object { { "clockMs", clock() } }) };
    }
    const auto last = this->lastRuns.find(task);
    if (found != this->runs.end() || (last != this->lastRuns.end() && run <= last->second)) {
        this->world.note(order + " -> 409 old");
        return refuse("old");
    }
    if (step->gang) {
        auto& gang = this->world.gangs[gangName(task, run)];
        if (gang.members.empty()) {
            gang.checkpoint = checkpoint;
        } else if (gang.checkpoint != checkpoint) {
            // All members of a run have to carry the same value, so this order is not valid.
            this->world.note(
                order + " -> 400, the run carries " + (gang.checkpoint.empty() ? "-" : gang.checkpoint));
            this->world.violate("UNASKED",
                task + " run " + std::to_string(run) + " is started with " + checkpoint
                    + ", another member of the run with " + gang.checkpoint);
            return { 400, json::serialize(json::object { { "clockMs", clock() } }) };
        }
        gang.members[task] = this;
        if (gang.members.size() == static_cast<std::size_t>(step->count)) {
            gang.began = nowMs();
        }
    }
    this->world.note(order + " -> 200 kind " + this->label);
    if (!step->label.empty() && step->label != this->label && step->label != this->rack) {
        this->world.violate("ROUTE",
            task + " requires " + step->label + " and is started on " + this->name + ", a worker of kind "
                + this->label);
    }
    if (this->world.completed.contains(task)) {
        this->world.violate("TWICE", task + " is started on " + this->name + " after an end that was noted");
    }
    std::int64_t used = step->cpu;
    for (const auto& [other, running] : this->runs) {
        used += this->world.stepOf(other)->cpu;
    }
    if (used > cores) {
        this->world.violate("LIMIT", task + " on " + this->name);
    }
    const auto parts = split(task);
    const auto& job = *this->world.jobOf(task);
    if (job.runs > 0 && unixMs() < job.firstDue + job.interval * std::stoll(parts[1]) - early) {
        this->world.violate("ORDER", task + " is started before its time");
    }
    for (const auto& worker : this->world.all()) {
        if (worker.get() != this && worker->isUp() && worker->isRunning(task)) {
            this->world.violate("TWICE", task + " runs on " + worker->id() + " and " + this->name);
        }
    }
    this->runs[task] = { run, nowMs(), checkpoint };
    return { 200, json::serialize(json::object { { "clockMs", clock() } }) };
}

Answer Worker::stop(const json::object& body)
{
    const auto task = textField(body, "task");
    const auto run = numberField(body, "run");
    this->world.note("stop " + this->name + " " + task + " run " + std::to_string(run));
    auto& last = this->lastRuns[task];
    last = std::max(last, run);
    const auto found = this->runs.find(task);
    if (found != this->runs.end() && found->second.number <= run) {
        end(task, "stopped");
    }
    return { 200, json::serialize(json::object { { "clockMs", clock() } }) };
}

std::int64_t Worker::progress(const std::string& task, const Run& run) const
{
    auto since = run.since;
    if (this->world.stepOf(task)->gang) {
        const auto& gang = this->world.gangs.at(gangName(task, run.number));
        if (gang.began == 0) {
            return decodeCheckpoint(run.checkpoint);
        }
        since = gang.began;
    }
    return decodeCheckpoint(run.checkpoint) + nowMs() - since;
}

std::string Worker::saved(const std::string& task, const Run& run, bool exactly) const
{
    if (!this->world.stepOf(task)->saves) {
        return "";
    }
    const auto done = progress(task, run);
    const auto carried = decodeCheckpoint(run.checkpoint);
    const auto value = exactly ? done : carried + (done - carried) / checkpointInterval * checkpointInterval;
    return value > carried ? encodeCheckpoint(value, task, this->world.checkpointSize) : run.checkpoint;
}

Answer Worker::list()
{
    json::array listed;
    for (const auto& [task, run] : this->runs) {
        const auto whole = this->world.stepOf(task)->duration;
        listed.push_back(json::array { task, run.number, saved(task, run, false),
            std::min<std::int64_t>(100, progress(task, run) * 100 / whole), this->world.stepOf(task)->cpu });
    }
    json::array done;
    for (const auto& [number, end] : this->ends) {
        if (done.size() == listedEnds) {
            break;
        }
        done.push_back(json::array { number, end.task, end.run, end.how, end.saved });
    }
    return { 200,
        json::serialize(json::object { { "clockMs", clock() }, { "born", this->born },
            { "runningTasks", std::move(listed) }, { "ended", std::move(done) } }) };
}

void Worker::end(const std::string& task, const std::string& how)
{
    const auto run = this->runs.at(task);
    const auto* const step = this->world.stepOf(task);
    const auto value = saved(task, run, how == "stopped");
    this->runs.erase(task);
    if (how == "done") {
        this->world.ended.insert(task);
    }
    auto& last = this->lastRuns[task];
    last = std::max(last, run.number);
    if (how != "lost") {
        this->ends[++this->lastEnd] = { task, run.number, how, how == "done" ? "" : value };
    }
    this->world.note("end " + this->name + " " + task + " run " + std::to_string(run.number) + " " + how
        + " saved " + (value.empty() ? "-" : shorten(value)));
    if (how == "alone" && nowMs() - this->world.lastDisruption > contact + gangWait
        && this->world.jobOf(task)->cancelled == 0) {
        this->world.violate("GANG", task + " run " + std::to_string(run.number) + " ended alone");
    }
    this->ended.notify();
    if (!step->gang || how == "broken") {
        return;
    }
    auto& gang = this->world.gangs.at(gangName(task, run.number));
    gang.members.erase(task);
    if (gang.began == 0) {
        return;
    }
    const auto others = gang.members;
    for (const auto& [other, worker] : others) {
        if (worker->isRunning(other)) {
            worker->end(other, how == "done" ? "done" : "broken");
        }
    }
}

void Worker::advance()
{
    const auto current = this->runs;
    const bool lapsed = clock() > this->leaseEnd;
    for (const auto& [task, run] : current) {
        if (!this->runs.contains(task)) {
            continue;
        }
        const auto* const step = this->world.stepOf(task);
        const bool waits = step->gang && this->world.gangs.at(gangName(task, run.number)).began == 0;
        if (lapsed) {
            end(task, "lapsed");
        } else if (waits) {
            if (nowMs() - run.since > gangWait) {
                end(task, "alone");
            }
        } else if (progress(task, run) >= step->duration) {
            end(task, step->fails ? "failed" : "done");
        }
    }
}

World::World(boost::asio::io_context& io, Place place, int count, const std::vector<std::string>& kinds)
    : context(io)
    , at(std::move(place))
    , record(at.record)
    , dice(static_cast<std::uint64_t>(unixMs()))
    , store(io, 1)
{
    this->store.put("op/config", configuration());
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        const auto number = std::to_string(100 + index);
        this->workers.push_back(std::make_unique<Worker>(
            *this, "w-" + number, "m-" + number, "r-" + std::to_string(index / 4), kinds[index]));
        this->store.put("servers/w-" + number, this->workers.back()->entry());
    }
    for (int number = 1; number <= count; ++number) {
        this->platforms.emplace_back(
            this->context, [this](Request request) { return answer(std::move(request)); });
        this->gates.emplace_back(this->context, this->store.addEntrance().server.address(),
            [this](const std::string& line) { note(line); });
        this->daemons.push_back(std::make_unique<Entry>("front-" + std::to_string(number),
            Entry::Place { this->at.program, this->at.folder, this->platforms.back().address(),
                this->gates.back().address() }));
    }
    start(this->context, heartbeat());
    start(this->context, advance());
}

Task<std::optional<Answer>> World::answer(Request request)
{
    if (pathOf(request) != "/machines") {
        co_return Answer { 409, R"({"reason":"busy"})" };
    }
    json::array machines;
    for (const auto& worker : this->workers) {
        json::object machine { { "machine", worker->machine() }, { "pool", service },
            { "state", worker->isUp() ? "up" : "down" }, { "zone", "zone-a" },
            { "labels", json::array { worker->kind(), "r" } },
            { "capacity", { { "cpu", cores }, { "memMb", memory } } } };
        if (worker->isUp()) {
            machine["id"] = worker->id();
        }
        machines.push_back(std::move(machine));
    }
    co_return Answer { 200, json::serialize(json::object { { "machines", std::move(machines) } }) };
}

Task<> World::heartbeat()
{
    while (true) {
        co_await pause(heartbeatInterval);
        for (const auto& worker : this->workers) {
            if (worker->isUp()) {
                start(this->context, publish(*worker));
            }
        }
    }
}

Task<> World::publish(Worker& worker)
{
    const auto entry = worker.entry();
    co_await pause(entryLag);
    if (worker.isUp()) {
        this->store.put("servers/" + worker.id(), entry);
    }
}

Task<> World::forget(Worker& worker, milliseconds after)
{
    co_await pause(after);
    if (!worker.isUp()) {
        this->store.remove("servers/" + worker.id());
    }
}

Task<> World::advance()
{
    while (true) {
        co_await pause(advanceInterval);
        for (const auto& worker : this->workers) {
            if (worker->isUp()) {
                worker->advance();
            }
        }
    }
}

Task<bool> World::begin()
{
    for (const auto& daemon : this->daemons) {
        daemon->launch();
    }
    const auto until = nowMs() + readyTime;
    for (const auto& daemon : this->daemons) {
        while (!co_await daemon->ready()) {
            if (nowMs() > until) {
                co_return false;
            }
            daemon->check();
            co_await pause(milliseconds { 100 });
        }
    }
    // The owner of the pool reaches the workers.
    co_await pause(milliseconds { 6000 });
    co_return true;
}

void World::endDaemons()
{
    for (const auto& daemon : this->daemons) {
        daemon->kill();
    }
}

Task<Answer> World::ask(const char* method, std::string id, std::string body)
{
    Call request { method, this->dice.pick(this->daemons)->callers(), "queue.example", "/a/" + id,
        std::move(body) };
    auto answer = co_await call(std::move(request), patience);
    note(std::string { "client " } + method + " " + id + " -> " + std::to_string(answer.status)
        + (std::string_view { method } == "GET" ? " " + answer.body : ""));
    co_return answer;
}

Task<> World::submit(std::string id, Job job)
{
    const auto body = encode(job);
    this->jobs.emplace(id, std::move(job));
    for (int attempt = 0; attempt < 20; ++attempt) {
        const auto answer = co_await ask("POST", id, body);
        if (answer.status == 200) {
            this->jobs.at(id).accepted = true;
            co_return;
        }
        co_await pause(milliseconds { 300 });
    }
}

Task<std::string> World::state(std::string id)
{
    for (int attempt = 0; attempt < 10; ++attempt) {
        const std::string none;
        const auto answer = co_await ask("GET", id, none);
        if (answer.status == 200) {
            co_return textField(json::parse(answer.body).as_object(), "state");
        }
        if (answer.status == 410) {
            co_return "410";
        }
        co_await pause(milliseconds { 300 });
    }
    co_return "no answer";
}

void World::note(const std::string& line) { this->record << nowMs() << " " << line << std::endl; }

void World::violate(const std::string& rule, const std::string& detail)
{
    note("BROKEN " + rule + ": " + detail);
    ++this->broken[rule];
}

std::size_t World::violations(const std::string& rule) const
{
    const auto found = this->broken.find(rule);
    return found != this->broken.end() ? found->second : 0;
}

bool World::stands(const std::string& id) const
{
    const auto& steps = this->jobs.at(id).steps;
    bool isDone = true;
    for (std::size_t step = 0; step < steps.size(); ++step) {
        for (int index = 0; index < steps[step].count; ++index) {
            const auto task = id + ".0." + std::to_string(step) + "." + std::to_string(index);
            const bool runs = std::ranges::any_of(
                this->workers, [&](const auto& worker) { return worker->isRunning(task); });
            if (runs) {
                return false;
            }
            isDone = isDone && this->ended.contains(task);
        }
    }
    return !isDone;
}

double World::usedShare() const
{
    std::int64_t used = 0;
    for (const auto& worker : this->workers) {
        for (const auto& [task, run] : worker->runs) {
            used += stepOf(task)->cpu;
        }
    }
    return static_cast<double>(used) / static_cast<double>(cores * std::ssize(this->workers));
}

const Job* World::jobOf(const std::string& task) const
{
    const auto found = this->jobs.find(task.substr(0, task.find('.')));
    return found != this->jobs.end() ? &found->second : nullptr;
}

const Step* World::stepOf(const std::string& task) const
{
    const auto* const job = jobOf(task);
    const auto parts = split(task);
    if (job == nullptr || parts.size() != 4) {
        return nullptr;
    }
    const auto step = static_cast<std::size_t>(std::stoll(parts[2]));
    return step < job->steps.size() ? &job->steps[step] : nullptr;
}

} // namespace review
