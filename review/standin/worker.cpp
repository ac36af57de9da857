#include "worker.hpp"

#include <algorithm>

namespace review {

namespace json = boost::json;

namespace {

/** Longest lease that an upstream grants, `maxHoldMs` of hallbach-foundry. */
constexpr std::int64_t maxLease = 6000;

/** Ends that an answer lists at most. */
constexpr std::size_t listedEnds = 500;

/** Time after which a task that lasts is at work. */
constexpr std::int64_t startup = 700;

constexpr milliseconds checkInterval { 5 };

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

void RunLog::add(
    const std::string& worker, const std::string& task, std::int64_t run, const std::string& kind)
{
    const auto at = this->record.add(worker + " " + kind + " " + task + " run " + std::to_string(run));
    const std::lock_guard lock { this->mutex };
    this->all.push_back({ at, worker, task, run, kind });
}

std::vector<RunEvent> RunLog::events()
{
    const std::lock_guard lock { this->mutex };
    return this->all;
}

Worker::Worker(std::string id, RunLog& runLog)
    : name(std::move(id))
    , born(unixMilliseconds())
    , log(runLog)
    , server([this](const Request& request) { return answer(request); })
{
    std::thread { [this] { advanceRegularly(); } }.detach();
}

std::int64_t Worker::clock() const
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - this->started).count();
}

std::string Worker::entry(const std::string& service, const std::string& rack, const std::string& state)
{
    return json::serialize(json::object { { "service", service }, { "address", this->server.address() },
        { "zone", "hall-a" }, { "version", "v1" }, { "slots", 8 }, { "state", state },
        { "coldRemainingMs", 0 }, { "capacity", { { "cpu", 16000 }, { "memMb", 65536 }, { "gpu", 0 } } },
        { "labels", { "a", rack } }, { "clockMs", clock() }, { "born", this->born },
        { "seq", ++this->sequence } });
}

void Worker::crash()
{
    const std::lock_guard lock { this->mutex };
    this->up = false;
    for (const auto& [task, running] : this->runs) {
        this->log.add(this->name, task, running.run, "lost with the upstream");
    }
    this->runs.clear();
    this->ended.notify_all();
}

std::set<std::string> Worker::running()
{
    const std::lock_guard lock { this->mutex };
    std::set<std::string> tasks;
    for (const auto& [task, running] : this->runs) {
        tasks.insert(task);
    }
    return tasks;
}

std::optional<Answer> Worker::answer(const Request& request)
{
    std::unique_lock lock { this->mutex };
    if (!this->up) {
        return std::nullopt;
    }
    const auto path = pathOf(request);
    if (path == "/health") {
        return Answer {};
    }
    const auto target = request["Wasabiroad-Target-Instance"];
    if (!target.empty() && target != this->name) {
        return Answer { 421, "{}" };
    }
    const auto body = json::parse(request.body()).as_object();
    const auto token = numberField(body, "fencingToken");
    if (token < this->fence) {
        return refuse("fence");
    }
    this->fence = token;
    advance();
    if (path == "/run-start") {
        return start(body);
    }
    if (path == "/run-stop") {
        return stop(body);
    }
    if (path == "/hold") {
        auto held = hold(body, lock);
        return this->up ? std::optional { held } : std::nullopt;
    }
    return Answer { 200, json::serialize(json::object { { "clockMs", clock() } }) };
}

Answer Worker::refuse(const std::string& reason) const
{
    return { 409, json::serialize(json::object { { "clockMs", clock() }, { "reason", reason } }) };
}

void Worker::acknowledge(std::int64_t number)
{
    const auto last = this->ends.upper_bound(number);
    for (auto end = this->ends.begin(); end != last; ++end) {
        if (end->second.lapses == this->lapses) {
            this->log.add(this->name, end->second.task, end->second.run, "noted");
        }
    }
    this->ends.erase(this->ends.begin(), last);
}

void Worker::extendLease(std::int64_t until)
{
    if (clock() > this->leaseEnd) {
        ++this->lapses;
    }
    this->leaseEnd = std::max(this->leaseEnd, std::min(until, clock() + maxLease));
}

Answer Worker::start(const json::object& body)
{
    const auto task = textField(body, "task");
    const auto run = numberField(body, "run");
    const auto until = numberField(body, "untilMs");
    if (until <= clock()) {
        return refuse("late");
    }
    extendLease(until);
    const auto found = this->runs.find(task);
    if (found != this->runs.end() && found->second.run == run) {
        return { 200, json::serialize(json::object { { "clockMs", clock() } }) };
    }
    const auto last = this->closed.find(task);
    if (found != this->runs.end() || (last != this->closed.end() && run <= last->second)) {
        return refuse("old");
    }
    this->runs[task] = { run, Clock::now(), std::stoll(textField(body, "spec")) };
    this->log.add(this->name, task, run, "start");
    return { 200, json::serialize(json::object { { "clockMs", clock() } }) };
}

Answer Worker::stop(const json::object& body)
{
    const auto task = textField(body, "task");
    const auto run = numberField(body, "run");
    auto& last = this->closed[task];
    last = std::max(last, run);
    const auto found = this->runs.find(task);
    if (found != this->runs.end() && found->second.run <= run) {
        endRun(task, "stopped");
    }
    return { 200, json::serialize(json::object { { "clockMs", clock() } }) };
}

Answer Worker::hold(const json::object& body, std::unique_lock<std::mutex>& lock)
{
    if (const auto until = numberField(body, "untilMs"); until != 0) {
        extendLease(until);
    }
    acknowledge(numberField(body, "ackedUpto"));
    this->ended.wait_for(lock, milliseconds { numberField(body, "waitMs") },
        [this] { return !this->ends.empty() || !this->up; });
    json::array listed;
    for (const auto& [task, running] : this->runs) {
        const auto passed = std::chrono::duration_cast<milliseconds>(Clock::now() - running.started).count();
        const auto whole = running.duration != 0 ? running.duration : startup;
        listed.push_back(
            json::array { task, running.run, "", std::min<std::int64_t>(100, passed * 100 / whole), 0 });
    }
    json::array done;
    for (const auto& [number, end] : this->ends) {
        if (done.size() == listedEnds) {
            break;
        }
        done.push_back(json::array { number, end.task, end.run, end.how, "" });
    }
    return { 200,
        json::serialize(json::object { { "clockMs", clock() }, { "born", this->born },
            { "runningTasks", std::move(listed) }, { "ended", std::move(done) } }) };
}

void Worker::endRun(const std::string& task, const std::string& how)
{
    const auto found = this->runs.find(task);
    this->ends[++this->lastEnd] = { task, found->second.run, how, this->lapses };
    auto& last = this->closed[task];
    last = std::max(last, found->second.run);
    this->log.add(this->name, task, found->second.run, how);
    this->runs.erase(found);
    this->ended.notify_all();
}

void Worker::advance()
{
    const auto now = Clock::now();
    const bool lapsed = clock() > this->leaseEnd;
    const auto current = this->runs;
    for (const auto& [task, running] : current) {
        if (lapsed) {
            endRun(task, "lapsed");
        } else if (running.duration != 0 && now - running.started >= milliseconds { running.duration }) {
            endRun(task, "done");
        }
    }
}

void Worker::advanceRegularly()
{
    while (true) {
        std::this_thread::sleep_for(checkInterval);
        const std::lock_guard lock { this->mutex };
        advance();
    }
}

} // namespace review
