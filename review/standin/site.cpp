#include "site.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {

constexpr milliseconds heartbeat { 1500 };

/** Time that a machine takes for its maintenance, `upkeepS` of hallbach-foundry. */
constexpr milliseconds upkeepTime { 2000 };

/** The configuration that the operator writes: one queue, its pool, and a spare pool of other machines. */
constexpr const char* configuration
    = R"({"version":7,"routes":[{"name":"queue","host":"queue.example",)"
      R"("prefix":"/q/","kind":"non_idempotent","timeoutMs":3000,"sloMs":600,)"
      R"("priority":0,"service":"desk","maxAttempts":4,"stretch":1.6}],)"
      R"("services":[{"name":"desk","healthPath":"/health","maxConns":64,)"
      R"("protocol":"h1","tls":false,"enforcesCapacity":false,"spare":false},)"
      R"({"name":"rest","healthPath":"/health","maxConns":64,"protocol":"h1",)"
      R"("tls":false,"enforcesCapacity":false,"spare":true}],)"
      R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
      R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::string rackOf(const std::string& machine) { return "r-" + machine; }

/** @return A free port of a loopback address that only this process and its daemons use. */
std::string freeAddress()
{
    constexpr int span = 250;
    const auto process = getpid();
    const auto address
        = "127.77." + std::to_string(process / span % span + 1) + "." + std::to_string(process % span + 1);
    return address + ":" + std::to_string(freePort(address));
}

} // namespace

Site::Site(std::string temporary, Record& siteRecord)
    : folder(std::move(temporary))
    , record(siteRecord)
    , log(siteRecord)
    , vms([this](const Request& request) { return answerVms(request); })
{
    this->store.put("op/config", configuration);
    std::thread { [this] {
        while (true) {
            writeEntries();
            std::this_thread::sleep_for(heartbeat);
        }
    } }.detach();
}

void Site::endDaemons()
{
    for (const auto& daemon : this->daemons) {
        kill(daemon.process, SIGCONT);
        kill(daemon.process, SIGKILL);
        waitpid(daemon.process, nullptr, 0);
    }
}

void Site::writeEntries()
{
    const std::lock_guard lock { this->mutex };
    for (auto& worker : this->workers) {
        if (!this->lost.contains(worker.id())) {
            this->store.put("servers/" + worker.id(),
                worker.entry("desk", rackOf(this->machines.at(worker.id())), "ready"));
        }
    }
}

std::optional<Answer> Site::answerVms(const Request& request)
{
    if (pathOf(request) == "/machine-upkeep") {
        return maintain(request);
    }
    if (pathOf(request) != "/machines") {
        return Answer { 400, "{}" };
    }
    const std::lock_guard lock { this->mutex };
    std::map<std::string, json::object> rows;
    for (const auto& [worker, machine] : this->machines) {
        const bool up = !this->lost.contains(worker);
        const bool maintenance
            = std::ranges::any_of(this->maintained, [&, name = machine](const auto& upkeep) {
                  return upkeep.machine == name && this->record.now() < upkeep.end;
              });
        auto& row = rows[machine];
        if (row.empty() || up) {
            row = { { "machine", machine }, { "pool", "desk" },
                { "state",
                    maintenance ? "upkeep"
                        : up    ? "up"
                                : "down" },
                { "zone", "hall-a" }, { "labels", { "a", rackOf(machine) } },
                { "capacity", { { "cpu", 16000 }, { "memMb", 65536 }, { "gpu", 0 } } },
                { "id", up ? worker : "" } };
        }
    }
    json::array list;
    for (auto& [name, row] : rows) {
        list.push_back(std::move(row));
    }
    return Answer { 200,
        json::serialize(json::object { { "machines", std::move(list) }, { "nextToken", nullptr } }) };
}

std::optional<Answer> Site::maintain(const Request& request)
{
    const auto body = json::parse(request.body()).as_object();
    const auto machine = textField(body, "machine");
    const std::int64_t token = std::stoll(std::string { request["Wasabiroad-Fencing-Token"] });
    this->record.add("order from " + std::string { request["Wasabiroad-Lease-Holder"] }
        + " for the upkeep of " + machine + ", fencing token " + std::to_string(token));
    if (this->lateOrders && this->lateOrders(machine)) {
        this->record.add("the order for " + machine + " gets no answer and is carried out later");
        return std::nullopt;
    }
    {
        const std::lock_guard lock { this->mutex };
        auto& fence = this->fences[machine];
        if (token < fence) {
            return Answer { 409, R"({"reason":"fence"})" };
        }
        fence = token;
    }
    beginUpkeep(machine);
    return Answer {};
}

void Site::beginUpkeep(const std::string& machine)
{
    const std::lock_guard lock { this->mutex };
    const bool known = std::ranges::any_of(
        this->maintained, [&](const auto& upkeep) { return upkeep.machine == machine; });
    if (known) {
        return;
    }
    const auto begin = this->record.add("the upkeep of " + machine + " begins");
    this->maintained.push_back({ machine, begin, begin + upkeepTime.count() });
    for (auto& worker : this->workers) {
        if (this->machines.at(worker.id()) == machine && this->lost.insert(worker.id()).second) {
            worker.crash();
            this->store.remove("servers/" + worker.id());
        }
    }
    std::thread { [this, machine] {
        std::this_thread::sleep_for(upkeepTime);
        const std::lock_guard again { this->mutex };
        createWorker("i-" + machine + "-" + std::to_string(++this->lives[machine]), machine);
        this->record.add("the upkeep of " + machine + " has ended");
    } }.detach();
}

void Site::setLateOrders(std::function<bool(const std::string&)> isLate)
{
    this->lateOrders = std::move(isLate);
}

void Site::carryOutLate(const std::string& machine) { beginUpkeep(machine); }

std::vector<Upkeep> Site::upkeeps()
{
    const std::lock_guard lock { this->mutex };
    return this->maintained;
}

void Site::requestWave(const std::vector<std::string>& names, int maxCount)
{
    json::array list;
    for (const auto& name : names) {
        list.emplace_back(name);
    }
    this->record.add("the operator requests wave 1, maxCount " + std::to_string(maxCount));
    this->store.put("op/wave/1",
        json::serialize(json::object {
            { "wave", 1 }, { "machines", std::move(list) }, { "durationS", 30 }, { "maxCount", maxCount } }));
}

std::int64_t Site::memoryOf(const Daemon& daemon)
{
    std::ifstream status { "/proc/" + std::to_string(daemon.process) + "/status" };
    std::string line;
    const std::string name = "VmRSS:";
    while (std::getline(status, line)) {
        if (line.starts_with(name)) {
            return std::stoll(line.substr(name.size()));
        }
    }
    return 0;
}

std::set<std::string> Site::running()
{
    const std::lock_guard lock { this->mutex };
    std::set<std::string> tasks;
    for (auto& worker : this->workers) {
        tasks.merge(worker.running());
    }
    return tasks;
}

Worker& Site::addWorker(const std::string& id, const std::string& machine)
{
    const std::lock_guard lock { this->mutex };
    return createWorker(id, machine);
}

Worker& Site::createWorker(const std::string& id, const std::string& machine)
{
    this->machines[id] = machine;
    auto& worker = this->workers.emplace_back(id, this->log);
    this->store.put("servers/" + id, worker.entry("desk", rackOf(machine), "ready"));
    return worker;
}

void Site::loseWorker(Worker& worker)
{
    {
        const std::lock_guard lock { this->mutex };
        this->lost.insert(worker.id());
    }
    worker.crash();
    this->record.add(worker.id() + " is lost for good");
    std::thread { [this, id = worker.id()] {
        std::this_thread::sleep_for(3 * heartbeat);
        this->store.remove("servers/" + id);
    } }.detach();
}

Daemon& Site::addDaemon(const std::string& name)
{
    auto& daemon = this->daemons.emplace_back(Daemon { name, freeAddress(), freeAddress(), 0 });
    // The fields of deploy/settings.json.tmpl, with the figures of hallbach-foundry.
    const json::object settings { { "version", 1 }, { "entry", name }, { "zone", "hall-a" },
        { "callers", daemon.callers }, { "operators", freeAddress() }, { "platform", this->store.address() },
        { "traffic-threads", 1 }, { "vm", { { "cores", 0.25 }, { "link-mbps", 1000.0 } } },
        { "fleet",
            { { "readiness", daemon.readiness }, { "vms", this->vms.address() }, { "advice", "" },
                { "task-lease-ms", 6000 }, { "stop-grace-ms", 6000 }, { "retention-ms", 120000 },
                { "order-gap-ms", 3000 } } } };
    const auto path = this->folder + "/" + name + ".json";
    std::ofstream { path } << json::serialize(settings);
    launch(daemon);
    return daemon;
}

void Site::launch(Daemon& daemon)
{
    const auto logPath = this->folder + "/" + daemon.name + ".log";
    const auto variable = "WASABIROAD_BOOT=" + this->folder + "/" + daemon.name + ".json";
    daemon.process = fork();
    if (daemon.process == 0) {
        // No daemon outlives this process.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        const char* const arguments[]
            = { "target/bin/wasabiroad-fleetd", "--settings-variable", "WASABIROAD_BOOT", nullptr };
        const char* const environment[] = { variable.c_str(), nullptr };
        execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        _exit(127);
    }
    this->record.add("start " + daemon.name);
}

bool Site::stopAndStart(Daemon& daemon, milliseconds grace)
{
    signal(daemon, SIGTERM);
    const auto until = Clock::now() + grace;
    while (waitpid(daemon.process, nullptr, WNOHANG) == 0) {
        if (Clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds { 10 });
    }
    this->record.add(daemon.name + " has ended");
    launch(daemon);
    return true;
}

bool Site::awaitReady(milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    for (const auto& daemon : this->daemons) {
        while (call("GET", daemon.readiness, "ready", "/ready", "", milliseconds { 500 }).status != 200) {
            if (Clock::now() > until) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds { 50 });
        }
    }
    return true;
}

void Site::setStoreSilent(bool silent)
{
    this->record.add(silent ? "the store falls silent" : "the store answers again");
    this->store.setSilent(silent);
}

void Site::signal(const Daemon& daemon, int number)
{
    this->record.add("signal " + std::to_string(number) + " to " + daemon.name);
    kill(daemon.process, number);
}

Daemon* Site::ownerOf(const std::string& duty)
{
    const auto owner = this->store.find("owner/" + duty).value_or("");
    for (auto& daemon : this->daemons) {
        if (owner.starts_with(daemon.name + "#")) {
            return &daemon;
        }
    }
    return nullptr;
}

void Site::killAndStart(Daemon& daemon)
{
    signal(daemon, SIGKILL);
    waitpid(daemon.process, nullptr, 0);
    launch(daemon);
}

Answer Site::request(const Daemon& daemon, const std::string& method, const std::string& job,
    const std::string& body, milliseconds timeout)
{
    this->record.add("client: " + method + " " + job + " to " + daemon.name);
    auto answer = call(method, daemon.callers, "queue.example", "/q/" + job, body, timeout);
    this->record.add("client: " + method + " " + job + " answered "
        + (answer.status == 0 ? std::string { "nothing" }
                              : std::to_string(answer.status) + " " + answer.body));
    return answer;
}

std::string makeJob(int count, std::int64_t duration, int cpu, int memory)
{
    const json::object step { { "count", count }, { "cpu", cpu }, { "memMb", memory },
        { "estimateMs", duration } };
    return json::serialize(
        json::object { { "spec", std::to_string(duration) }, { "steps", json::array { step } } });
}

std::string makeLastingJob(int count)
{
    json::object step { { "count", count }, { "cpu", 1000 }, { "memMb", 512 }, { "estimateMs", 700 },
        { "longRunning", true } };
    return json::serialize(json::object { { "spec", "0" }, { "steps", json::array { step } } });
}

std::string makeScheduledJob(int count, int runCount)
{
    constexpr std::int64_t hourMs = 3600000;
    constexpr std::int64_t minuteMs = 60000;
    const auto now
        = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    const json::object step { { "count", count }, { "cpu", 1000 }, { "memMb", 512 }, { "estimateMs", 500 } };
    return json::serialize(json::object { { "spec", "500" }, { "steps", json::array { step } },
        { "runCount", runCount }, { "startMs", now + hourMs }, { "intervalMs", minuteMs } });
}

} // namespace review
