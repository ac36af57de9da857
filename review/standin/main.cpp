#include "site.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <stdlib.h>

namespace review {

namespace {

enum class Verdict : int { Held = 0, Broken = 1, NotRun = 2 };

/** Figures of hallbach-foundry, in ms. */
constexpr std::int64_t cancelMs = 3000;
constexpr std::int64_t stopMs = 400;
constexpr std::int64_t contactMs = 3000;
constexpr milliseconds grace { 6000 };

/** Time in which a task that lasts has to run again, and the calm time before it: rule LOST. */
constexpr std::int64_t idleMs = 3000;
constexpr std::int64_t calmMs = 4000;

void sleepUntil(const Record& record, std::int64_t at)
{
    std::this_thread::sleep_for(milliseconds { std::max<std::int64_t>(0, at - record.now()) });
}

/** Time without any disruption before a case begins. */
constexpr std::int64_t settleMs = 4000;

Verdict notRun(Record& record, const std::string& reason)
{
    record.add("the case could not run: " + reason);
    return Verdict::NotRun;
}

/**
 * A client hands a job in at a machine that stands still, leaves, and cancels the job at another machine. The
 * cancelling is acknowledged; then the first machine wakes.
 */
Verdict cancelWhileFrozen(Site& site, Record& record, bool trouble)
{
    constexpr std::int64_t frozenMs = 3500;
    constexpr milliseconds clientPatience { 300 };
    constexpr std::int64_t watchMs = 12000;
    const std::string job = "00000000000000c1";
    site.addWorker("i-a", "m-a");
    site.addWorker("i-b", "m-b");
    std::vector<Daemon*> daemons;
    for (const auto* const name : { "front-1", "front-2", "front-3" }) {
        daemons.push_back(&site.addDaemon(name));
    }
    if (!site.awaitReady(milliseconds { 10000 })) {
        return notRun(record, "a daemon is not ready");
    }
    sleepUntil(record, record.now() + settleMs);
    const auto* const owner = site.ownerOf("pool/desk");
    if (owner == nullptr) {
        return notRun(record, "nobody owns the pool");
    }
    std::erase(daemons, owner);
    const auto& frozen = *daemons[0];
    const auto& other = *daemons[1];
    record.add("the pool is owned by " + owner->name);
    const auto begin = record.now();
    if (trouble) {
        site.signal(frozen, SIGSTOP);
        sleepUntil(record, begin + 100);
    }
    site.request(frozen, "POST", job, makeJob(2, 25000), clientPatience);
    const auto cancelled = site.request(other, "DELETE", job, "", milliseconds { 3000 });
    const auto acknowledged = record.now();
    if (cancelled.status != 200 && cancelled.status != 410) {
        return notRun(record, "the cancelling was not acknowledged");
    }
    if (trouble) {
        sleepUntil(record, begin + frozenMs);
        site.signal(frozen, SIGCONT);
    }
    sleepUntil(record, begin + watchMs);
    site.request(other, "GET", job, "", milliseconds { 3000 });
    bool broken = false;
    for (const auto& event : site.runs().events()) {
        if (event.task.starts_with(job) && event.kind == "start" && event.at > acknowledged + cancelMs) {
            record.add("UNASKED: " + event.task + " was started " + std::to_string(event.at - acknowledged)
                + " ms after its cancelling was acknowledged");
            broken = true;
        }
    }
    // No disruption is near now: the machine woke longer than the time of contact ago.
    static_assert(watchMs > frozenMs + contactMs + cancelMs + stopMs);
    for (const auto& task : site.running()) {
        if (task.starts_with(job)) {
            record.add("UNASKED: " + task + " runs " + std::to_string(record.now() - acknowledged)
                + " ms after its cancelling was acknowledged");
            broken = true;
        }
    }
    return broken ? Verdict::Broken : Verdict::Held;
}

/**
 * The machines of the system are stopped and started in turn, that which owns the pool first each time. A
 * worker that runs a task of a job that lasts is lost for good shortly before.
 */
Verdict loseWorkerInRollingRestart(Site& site, Record& record, bool trouble)
{
    constexpr std::int64_t firstTermMs = 1000;
    constexpr std::int64_t watchMs = 16000;
    const std::string job = "00000000000000c2";
    std::vector<Worker*> workers;
    for (const std::string name : { "a", "b", "c", "d", "e" }) {
        workers.push_back(&site.addWorker("i-" + name, "m-" + name));
    }
    for (const auto* const name : { "front-1", "front-2", "front-3" }) {
        site.addDaemon(name);
    }
    if (!site.awaitReady(milliseconds { 10000 })) {
        return notRun(record, "a daemon is not ready");
    }
    sleepUntil(record, record.now() + settleMs);
    auto* owner = site.ownerOf("pool/desk");
    if (owner == nullptr
        || site.request(*owner, "POST", job, makeLastingJob(3), milliseconds { 3000 }).status != 200) {
        return notRun(record, "the job was not accepted");
    }
    sleepUntil(record, record.now() + settleMs);
    const auto running
        = std::ranges::find_if(workers, [](auto* worker) { return !worker->running().empty(); });
    if (running == workers.end()) {
        return notRun(record, "no task runs");
    }
    const auto lostTasks = (*running)->running();
    const auto lostAt = record.now();
    if (trouble) {
        site.loseWorker(**running);
    }
    sleepUntil(record, lostAt + firstTermMs);
    for (int turn = 0; turn < 2; ++turn) {
        owner = site.ownerOf("pool/desk");
        for (int tries = 0; owner == nullptr && tries < 100; ++tries) {
            std::this_thread::sleep_for(milliseconds { 20 });
            owner = site.ownerOf("pool/desk");
        }
        if (owner == nullptr || !site.stopAndStart(*owner, grace)) {
            return notRun(record, "a daemon did not end in time, or nobody owns the pool");
        }
    }
    sleepUntil(record, lostAt + watchMs);
    bool broken = false;
    for (const auto& task : lostTasks) {
        std::int64_t startedAgain = record.now();
        for (const auto& event : site.runs().events()) {
            if (event.task == task && event.kind == "start" && event.at > lostAt) {
                startedAgain = std::min(startedAgain, event.at);
            }
        }
        const bool kept = !trouble && site.running().contains(task);
        // The loss is near for the time of contact; then the calm time begins, then the 3 s of the rule.
        if (!kept && startedAgain > lostAt + contactMs + calmMs + idleMs) {
            record.add("LOST: " + task + " lasts and did not run for " + std::to_string(startedAgain - lostAt)
                + " ms, with four other workers idle");
            broken = true;
        }
    }
    return broken ? Verdict::Broken : Verdict::Held;
}

/**
 * An order for the upkeep of a machine gets no answer and is carried out late. The machine of the system that
 * sent it is stopped and started meanwhile, and another one goes on with the wave.
 */
Verdict carryOutUpkeepLate(Site& site, Record& record, bool trouble)
{
    constexpr std::int64_t earliestMs = 2000;
    constexpr std::int64_t latestMs = 12000;
    constexpr std::int64_t watchMs = 20000;
    for (const std::string name : { "a", "b", "c", "d" }) {
        site.addWorker("i-" + name, "m-" + name);
    }
    for (const auto* const name : { "front-1", "front-2", "front-3" }) {
        site.addDaemon(name);
    }
    if (!site.awaitReady(milliseconds { 10000 })) {
        return notRun(record, "a daemon is not ready");
    }
    sleepUntil(record, record.now() + settleMs);
    auto* const first = site.ownerOf("fleet");
    if (first == nullptr) {
        return notRun(record, "nobody gives orders");
    }
    std::mutex mutex;
    std::string late;
    std::int64_t sentAt = 0;
    site.setLateOrders([&](const std::string& machine) {
        const std::lock_guard lock { mutex };
        // All orders of the first daemon for its first machine are hit; they come within three seconds.
        if (trouble && late.empty()) {
            late = machine;
            sentAt = record.now();
        }
        return trouble && machine == late && site.ownerOf("fleet") == first;
    });
    const auto lateMachine = [&] {
        const std::lock_guard lock { mutex };
        return late;
    };
    site.requestWave({ "m-a", "m-b" }, 1);
    const auto begin = record.now();
    while (record.now() < begin + 5000 && lateMachine().empty() && site.upkeeps().empty()) {
        std::this_thread::sleep_for(milliseconds { 10 });
    }
    if (!site.stopAndStart(*first, grace)) {
        return notRun(record, "a daemon did not end in time");
    }
    while (trouble && record.now() < sentAt + latestMs) {
        const auto upkeeps = site.upkeeps();
        if (record.now() > sentAt + earliestMs && !upkeeps.empty()
            && record.now() > upkeeps.front().begin + 300) {
            break;
        }
        std::this_thread::sleep_for(milliseconds { 10 });
    }
    if (trouble) {
        record.add("the first order for " + lateMachine() + " is carried out "
            + std::to_string(record.now() - sentAt) + " ms after it was sent");
        site.carryOutLate(lateMachine());
    }
    sleepUntil(record, begin + watchMs);
    bool broken = false;
    const auto upkeeps = site.upkeeps();
    for (const auto& upkeep : upkeeps) {
        const auto down = std::ranges::count_if(upkeeps, [&](const auto& other) {
            return other.machine != upkeep.machine && other.begin <= upkeep.begin && upkeep.begin < other.end;
        });
        if (down >= 1) {
            record.add("LIMIT: the upkeep of " + upkeep.machine + " began while " + std::to_string(down)
                + " machine of its wave was down, and maxCount is 1");
            broken = true;
        }
    }
    return broken ? Verdict::Broken : Verdict::Held;
}

/**
 * Clients hand in a few large jobs at once: each is scheduled every minute for a week. The platform kills a
 * process that exceeds its memory and starts it again.
 */
Verdict handInLargeJobs(Site& site, Record& record, bool trouble)
{
    constexpr std::int64_t memoryKb = 260 * 1024;
    constexpr int largeJobs = 5;
    constexpr int tasksOfRun = 24;
    constexpr int runsOfJob = 10000;
    constexpr std::int64_t trafficMs = 30000;
    constexpr std::int64_t finishMs = 14000;
    constexpr std::int64_t watchMs = 60000;
    constexpr std::int64_t jobIntervalMs = 2000;
    for (const std::string name : { "a", "b", "c" }) {
        site.addWorker("i-" + name, "m-" + name);
    }
    for (const auto* const name : { "front-1", "front-2", "front-3" }) {
        site.addDaemon(name);
    }
    if (!site.awaitReady(milliseconds { 10000 })) {
        return notRun(record, "a daemon is not ready");
    }
    sleepUntil(record, record.now() + settleMs);
    auto& daemons = site.allDaemons();
    for (int number = 0; trouble && number < largeJobs; ++number) {
        site.request(daemons.front(), "POST", "00000000000000f" + std::to_string(number),
            makeScheduledJob(tasksOfRun, runsOfJob), milliseconds { 3000 });
    }
    std::map<std::string, int> kills;
    std::vector<std::string> accepted;
    const auto begin = record.now();
    auto nextJob = begin;
    while (record.now() < begin + watchMs) {
        for (auto& daemon : daemons) {
            const auto memory = Site::memoryOf(daemon);
            if (memory > memoryKb) {
                record.add(daemon.name + " uses " + std::to_string(memory / 1024) + " MB");
                ++kills[daemon.name];
                site.killAndStart(daemon);
            }
        }
        if (record.now() >= nextJob && record.now() < begin + trafficMs) {
            nextJob += jobIntervalMs;
            const auto job = "00000000000000" + std::to_string(10 + accepted.size());
            if (site.request(daemons.back(), "POST", job, makeJob(2, 300), milliseconds { 1000 }).status
                == 200) {
                accepted.push_back(job);
            }
        }
        std::this_thread::sleep_for(milliseconds { 20 });
    }
    static_assert(watchMs > trafficMs + finishMs + idleMs);
    const auto end = record.now();
    const auto events = site.runs().events();
    const auto running = site.running();
    std::size_t idle = 0;
    for (const auto& job : accepted) {
        const auto answer = site.request(daemons.back(), "GET", job, "", milliseconds { 3000 });
        const bool completed = answer.body.find("completed") != std::string::npos;
        const bool ran = std::ranges::any_of(events,
            [&](const auto& event) { return event.task.starts_with(job) && event.at > end - idleMs; });
        const bool runs
            = std::ranges::any_of(running, [&](const auto& task) { return task.starts_with(job); });
        idle += !completed && !ran && !runs ? 1 : 0;
    }
    for (const auto& [name, count] : kills) {
        record.add(name + " was killed " + std::to_string(count) + " times for its memory");
    }
    record.add("the workers run " + std::to_string(running.size()) + " tasks");
    if (idle > 0) {
        record.add("LOST: " + std::to_string(idle) + " of " + std::to_string(accepted.size())
            + " small jobs that were accepted had nothing running for 3 s, "
            + std::to_string(end - begin - trafficMs) + " ms after the end of the traffic");
        return Verdict::Broken;
    }
    return Verdict::Held;
}

/**
 * The store falls silent while a job of many short tasks runs. More tasks end on a worker than one answer
 * lists before the store is back and the pool has a new owner.
 */
Verdict endManyTasks(Site& site, Record& record, bool trouble)
{
    constexpr int tasks = 4000;
    constexpr std::int64_t beforeMs = 300;
    constexpr std::int64_t silentMs = 4000;
    constexpr std::int64_t watchMs = 14000;
    const std::string job = "00000000000000c6";
    for (const std::string name : { "a", "b" }) {
        site.addWorker("i-" + name, "m-" + name);
    }
    for (const auto* const name : { "front-1", "front-2", "front-3" }) {
        site.addDaemon(name);
    }
    if (!site.awaitReady(milliseconds { 10000 })) {
        return notRun(record, "a daemon is not ready");
    }
    sleepUntil(record, record.now() + settleMs);
    const auto begin = record.now();
    if (site.request(site.allDaemons().front(), "POST", job, makeJob(tasks, 10, 10, 8), milliseconds { 3000 })
            .status
        != 200) {
        return notRun(record, "the job was not accepted");
    }
    sleepUntil(record, begin + beforeMs);
    if (trouble) {
        site.setStoreSilent(true);
        sleepUntil(record, begin + beforeMs + silentMs);
        site.setStoreSilent(false);
    }
    sleepUntil(record, begin + watchMs);
    const auto events = site.runs().events();
    std::set<std::pair<std::string, std::int64_t>> noted;
    for (const auto& event : events) {
        if (event.kind == "noted") {
            noted.emplace(event.task, event.run);
        }
    }
    // The first end of each task that was taken note of.
    std::map<std::string, std::int64_t> done;
    std::size_t ended = 0;
    std::size_t twice = 0;
    for (const auto& event : events) {
        if (event.kind == "done") {
            ++ended;
            if (noted.contains({ event.task, event.run })) {
                done.try_emplace(event.task, event.at);
            }
        } else if (event.kind == "start" && done.contains(event.task)) {
            if (++twice <= 5) {
                record.add("TWICE: " + event.task + " ended done at " + std::to_string(done[event.task])
                    + " ms, which was taken note of, and was started again at " + std::to_string(event.at)
                    + " ms");
            }
        }
    }
    record.add(std::to_string(ended) + " runs ended done; " + std::to_string(twice)
        + " starts came after the end of their task");
    return twice > 0 ? Verdict::Broken : Verdict::Held;
}

Verdict run(const std::string& name, const std::string& recordPath, const std::string& folder)
{
    const auto* const setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string { setting } != "0";
    Record record { recordPath };
    record.add(name + (trouble ? " with the disruption" : " without the disruption"));
    auto verdict = Verdict::NotRun;
    {
        // Threads of the site run until the process ends.
        auto& site = *new Site { folder, record };
        if (name == "cancel") {
            verdict = cancelWhileFrozen(site, record, trouble);
        } else if (name == "rolling-restart") {
            verdict = loseWorkerInRollingRestart(site, record, trouble);
        } else if (name == "late-upkeep") {
            verdict = carryOutUpkeepLate(site, record, trouble);
        } else if (name == "large-jobs") {
            verdict = handInLargeJobs(site, record, trouble);
        } else if (name == "many-ends") {
            verdict = endManyTasks(site, record, trouble);
        }
        site.endDaemons();
    }
    record.add("exit " + std::to_string(static_cast<int>(verdict)));
    return verdict;
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: site CASE RECORD FOLDER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    int code = 2;
    try {
        code = static_cast<int>(review::run(argv[1], argv[2], argv[3]));
    } catch (const std::exception& exception) {
        std::cerr << exception.what() << "\n";
    }
    // Threads that still wait for requests end with the process.
    std::_Exit(code);
}
