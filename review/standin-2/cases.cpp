#include "cases.hpp"

#include <algorithm>

namespace review {

namespace soak = wasabiroad::soak;

namespace {

constexpr milliseconds second { 1000 };

Step tasks(int count)
{
    Step step;
    step.count = count;
    return step;
}

Step asGang(Step step)
{
    step.gang = true;
    return step;
}

/** @return The step, to be run after the first one. */
Step follow(Step step)
{
    step.after.push_back(0);
    return step;
}

Job makeJob(const std::vector<Step>& steps)
{
    Job job;
    job.pool = "melt";
    job.steps = steps;
    job.spec = "review";
    return job;
}

/** Submits jobs and gives each `patience` to be shown as completed. @return Whether the case could run. */
Task<bool> expectCompleted(
    World& world, std::vector<std::string> ids, std::string queue, std::int64_t patience)
{
    const auto until = nowMs() + patience;
    for (const auto& id : ids) {
        for (std::size_t daemon = 0; co_await world.state(daemon, id, queue) != "completed";
             daemon = (daemon + 1) % world.daemons().size()) {
            if (nowMs() > until) {
                const auto shown = world.ledger().jobs()[id].shown;
                world.journal().violate("LOST",
                    "job " + id + " was accepted, and "
                        + (shown.empty() ? "no daemon says what became of it" : "is shown as " + shown));
                break;
            }
            co_await soak::pause(second);
        }
    }
    co_return true;
}

void addWorkers(World& world, int count) { world.addWorkers("melt", count, { "a" }); }

void configure(World& world, int idleRoutes) { world.configure({ { "pour", "melt" } }, idleRoutes); }

Task<bool> playRevision(World& world, bool)
{
    addWorkers(world, 4);
    configure(world, 0);
    if (!co_await world.launch(3)) {
        co_return false;
    }
    std::vector<std::string> ids;
    for (int index = 0; index < 4; ++index) {
        ids.push_back(world.newId());
        auto job = makeJob({ tasks(3), follow(tasks(2)) });
        if (!co_await world.submit(0, ids.back(), "pour", std::move(job))) {
            co_return false;
        }
    }
    auto ran = co_await expectCompleted(world, ids, "pour", 25000);
    co_return ran;
}

/** A client sends a job whose first step is a gang without tasks. */
Task<bool> playEmptyGang(World& world, bool trouble)
{
    constexpr std::int64_t measured = 5000;
    constexpr std::int64_t finish = 14000;
    addWorkers(world, 4);
    configure(world, 0);
    if (!co_await world.launch(3)) {
        co_return false;
    }
    std::vector<std::string> ids { world.newId() };
    auto job = makeJob({ asGang(tasks(trouble ? 0 : 2)), follow(tasks(2)) });
    if (!co_await world.submit(0, ids.back(), "pour", std::move(job))) {
        co_return false;
    }
    co_await soak::pause(second * 3);
    std::vector<std::int64_t> used;
    for (const auto& daemon : world.daemons()) {
        used.push_back(daemon->processorTime());
    }
    co_await soak::pause(milliseconds { measured });
    for (std::size_t index = 0; index < used.size(); ++index) {
        const auto spent = world.daemons()[index]->processorTime() - used[index];
        world.journal().write(world.daemons()[index]->name() + " used " + std::to_string(spent)
            + " ms of processor time in " + std::to_string(measured) + " ms");
    }
    auto ran = co_await expectCompleted(world, ids, "pour", finish);
    co_return ran;
}

Task<bool> playGangSpread(World& world, bool trouble)
{
    addWorkers(world, 4);
    configure(world, 0);
    if (!co_await world.launch(3)) {
        co_return false;
    }
    std::vector<std::string> ids;
    for (int index = 0; index < 4; ++index) {
        ids.push_back(world.newId());
        auto step = tasks(4);
        step.perServer = 1;
        step.gang = trouble;
        auto job = makeJob({ step });
        if (!co_await world.submit(0, ids.back(), "pour", std::move(job))) {
            co_return false;
        }
    }
    auto ran = co_await expectCompleted(world, ids, "pour", 25000);
    co_return ran;
}

/** A worker that ran tasks crashes and starts again, under its id, as one of another kind. */
Task<bool> playOtherKind(World& world, bool trouble)
{
    const std::vector<std::string> kinds { "a", "a", "b", "b" };
    world.addWorkers("melt", 8, kinds);
    configure(world, 0);
    if (!co_await world.launch(3)) {
        co_return false;
    }
    auto step = tasks(60);
    step.label = "a";
    step.cpu = 10000;
    step.duration = 1500;
    std::vector<std::string> ids { world.newId() };
    auto job = makeJob({ step });
    if (!co_await world.submit(0, ids.back(), "pour", std::move(job))) {
        co_return false;
    }
    co_await soak::pause(second * 2);
    auto& worker = *world.workers().front();
    if (trouble) {
        worker.crash();
        co_await soak::pause(second * 2);
        worker.revive("b", milliseconds { 800 });
    }
    auto ran = co_await expectCompleted(world, ids, "pour", 40000);
    co_return ran;
}

/** A worker crashes without a word and is back within a second; later it is cut off and runs on. */
Task<bool> playFormerClock(World& world, bool trouble)
{
    constexpr milliseconds away { 900 };
    constexpr milliseconds cutTime { 5500 };
    constexpr milliseconds gap { 60 };
    constexpr int jobs = 45;
    const std::vector<std::string> kinds { "a" };
    world.addWorkers("melt", 8, kinds);
    configure(world, 0);
    if (!co_await world.launch(3)) {
        co_return false;
    }
    // The workers have been up for some time, as their clocks tell.
    co_await soak::pause(second * 5);
    auto& worker = *world.workers().front();
    std::vector<std::string> ids;
    bool crashed = false;
    for (int index = 0; index < jobs; ++index) {
        auto step = tasks(1);
        step.duration = 9000;
        step.cpu = 2000;
        ids.push_back(world.newId());
        auto job = makeJob({ step });
        if (!co_await world.submit(0, ids.back(), "pour", std::move(job))) {
            co_return false;
        }
        if (trouble && !crashed && worker.runCount() == 4) {
            crashed = true;
            worker.crash(true);
            soak::start(world.io(), [](Worker& gone, milliseconds time) -> Task<> {
                co_await soak::pause(time);
                gone.revive("a", milliseconds { 100 });
            }(worker, away));
        }
        co_await soak::pause(gap);
    }
    if (trouble) {
        worker.cut(true);
        co_await soak::pause(cutTime);
        worker.cut(false);
    }
    auto ran = co_await expectCompleted(world, ids, "pour", 40000);
    co_return ran;
}

/** A configuration sends a queue to another service while its jobs wait. */
Task<bool> playMovedQueue(World& world, bool trouble)
{
    constexpr int waitingJobs = 8;
    constexpr milliseconds visible { 3000 };
    constexpr milliseconds countAge { 2000 };
    using Queues = std::vector<std::pair<std::string, std::string>>;
    const std::vector<std::string> kinds { "a" };
    world.addWorkers("melt", 2, kinds);
    world.addWorkers("mould", 2, kinds);
    const Queues first { { "pour", "melt" }, { "core", "mould" } };
    world.configure(first, 0);
    if (!co_await world.launch(3)) {
        co_return false;
    }
    auto step = tasks(2);
    step.cpu = workerCpu;
    step.duration = 60000;
    auto filling = makeJob({ step });
    if (!co_await world.submit(0, world.newId(), "pour", std::move(filling))) {
        co_return false;
    }
    co_await soak::pause(second);
    for (int index = 0; index < waitingJobs; ++index) {
        auto job = makeJob({ tasks(1) });
        if (!co_await world.submit(0, world.newId(), "pour", std::move(job))) {
            co_return false;
        }
    }
    co_await soak::pause(visible + countAge);
    if (trouble) {
        const Queues moved { { "pour", "mould" }, { "core", "mould" } };
        world.configure(moved, 0);
    }
    co_await soak::pause(milliseconds { world.bounds().configApply } + second);
    for (int round = 0; round < 3; ++round) {
        for (std::size_t daemon = 0; daemon < world.daemons().size(); ++daemon) {
            const auto answer = co_await world.ask(daemon, "GET", "/pour/");
            if (answer.status != 200) {
                continue;
            }
            const auto count = soak::numberField(json::parse(answer.body).as_object(), "pendingCount");
            if (count * 2 < waitingJobs && world.ledger().starts() == 2) {
                world.journal().violate("MIXED",
                    world.daemons()[daemon]->name() + " gives " + std::to_string(count)
                        + " as pendingCount, and " + std::to_string(waitingJobs)
                        + " accepted jobs of the queue have not begun");
            }
        }
        co_await soak::pause(second);
    }
    co_return true;
}

} // namespace

const std::map<std::string, Case>& cases()
{
    static const std::map<std::string, Case> all {
        { "revision", { playRevision, 1'200'000'000 } },
        { "empty-gang", { playEmptyGang } },
        { "gang-spread", { playGangSpread } },
        { "moved-queue", { playMovedQueue } },
        { "former-clock", { playFormerClock } },
        { "other-kind", { playOtherKind } },
    };
    return all;
}

} // namespace review
