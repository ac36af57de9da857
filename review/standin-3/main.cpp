#include "world.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace review {

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

std::string jobId(std::uint64_t number)
{
    char id[17] {};
    std::snprintf(id, sizeof id, "%08llx%08llx", static_cast<unsigned long long>(unixMs() & 0xffffffff),
        static_cast<unsigned long long>(number));
    return id;
}

Job gangJob()
{
    Step step;
    step.count = 4;
    step.cpu = 6000;
    step.duration = 9000;
    step.gang = true;
    step.saves = true;
    Job job;
    job.steps.push_back(step);
    return job;
}

Job labelledJob()
{
    Step step;
    step.count = 2;
    step.cpu = 2000;
    step.duration = 1500;
    step.label = "large";
    Job job;
    job.steps.push_back(step);
    return job;
}

/** A worker that runs members of gangs crashes, and is back after 4.5 s under its id. */
Task<int> gangCheckpoints(World& world, bool trouble)
{
    std::vector<std::string> ids;
    for (std::uint64_t number = 1; number <= 4; ++number) {
        ids.push_back(jobId(number));
        auto job = gangJob();
        co_await world.submit(ids.back(), std::move(job));
        co_await pause(milliseconds { 300 });
    }
    co_await pause(milliseconds { 4000 });
    const auto busy
        = std::ranges::max_element(world.all(), {}, [](const auto& worker) { return worker->runCount(); });
    if ((*busy)->runCount() == 0) {
        co_return notRun;
    }
    if (trouble) {
        (*busy)->crash(true);
        world.disrupt();
    }
    co_await pause(milliseconds { 4500 });
    if (trouble) {
        (*busy)->restart((*busy)->kind());
        world.disrupt();
        start(world.io(), world.publish(**busy));
    }
    co_await pause(milliseconds { 55000 });
    for (const auto& id : ids) {
        const auto shown = co_await world.state(id);
        world.note("state " + id + " " + shown);
    }
    co_return world.violations("GANG") > 0 ? broken : held;
}

/** A worker restarts under its id as another kind. */
Task<int> otherKind(World& world, bool trouble)
{
    auto& worker = *world.all().front();
    if (trouble) {
        worker.crash(false);
        world.disrupt();
    }
    co_await pause(milliseconds { 1000 });
    if (trouble) {
        worker.restart("plain");
        start(world.io(), world.publish(worker));
    }
    std::vector<std::string> ids;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        ids.push_back(jobId(number));
        auto job = labelledJob();
        co_await world.submit(ids.back(), std::move(job));
        co_await pause(milliseconds { 50 });
    }
    co_await pause(milliseconds { 15000 });
    for (const auto& id : ids) {
        const auto shown = co_await world.state(id);
        world.note("state " + id + " " + shown);
    }
    co_return world.violations("ROUTE") > 0 ? broken : held;
}

Job largeJob()
{
    Step first;
    first.cpu = 500;
    first.duration = 4000;
    Step step;
    step.chained = false;
    step.count = 1200;
    step.cpu = 40;
    step.duration = 90000;
    step.saves = true;
    Job job;
    job.steps = { first, step };
    return job;
}

Job chainedJob()
{
    Step step;
    step.count = 2;
    step.cpu = 500;
    step.duration = 1500;
    Job job;
    job.steps = { step, step };
    return job;
}

Job wideJob()
{
    Step step;
    step.count = 32;
    step.cpu = 200;
    step.duration = 300;
    Job job;
    job.steps = { step, step };
    return job;
}

/** The progress of a running job outgrows a value of the store, while other jobs come. */
Task<int> largeProgress(World& world, bool trouble)
{
    constexpr std::size_t size = 1000;
    constexpr std::uint64_t jobs = 200;
    if (trouble) {
        world.checkpointSize = size;
    }
    auto large = largeJob();
    const auto first = jobId(1);
    co_await world.submit(first, std::move(large));
    co_await pause(milliseconds { 8000 });
    std::vector<std::string> ids;
    for (std::uint64_t number = 2; number < 2 + jobs; ++number) {
        ids.push_back(jobId(number));
        auto job = wideJob();
        co_await world.submit(ids.back(), std::move(job));
        co_await pause(milliseconds { 100 });
    }
    co_await pause(milliseconds { 10000 });
    std::set<std::string> standing;
    std::ranges::copy_if(
        ids, std::inserter(standing, standing.end()), [&](const auto& id) { return world.stands(id); });
    for (int look = 0; look < 400; ++look) {
        co_await pause(milliseconds { 10 });
        const bool isFull = world.usedShare() >= 0.5;
        std::erase_if(standing, [&](const auto& id) { return isFull || !world.stands(id); });
    }
    for (const auto& id : standing) {
        world.violate("LOST", id + " has nothing running for 4 s, and the turn of tasks has come");
    }
    for (const auto& id : ids) {
        const auto shown = co_await world.state(id);
        world.note("state " + id + " " + shown);
    }
    world.note("in use " + std::to_string(world.usedShare()));
    co_return world.violations("LOST") + world.violations("TWICE") > 0 ? broken : held;
}

/** A start without an answer is delivered to a worker that has restarted under its id. */
Task<int> lateStart(World& world, bool trouble)
{
    auto& worker = *world.all().front();
    for (const auto& other : world.all()) {
        other->delayStarts(trouble && other.get() == &worker);
    }
    std::vector<std::string> ids;
    for (std::uint64_t number = 1; number <= 16; ++number) {
        ids.push_back(jobId(number));
        auto job = chainedJob();
        co_await world.submit(ids.back(), std::move(job));
    }
    co_await pause(milliseconds { 600 });
    if (trouble && !worker.hasKeptStart()) {
        co_return notRun;
    }
    if (trouble) {
        worker.crash(false);
        world.disrupt();
    }
    co_await pause(milliseconds { 7200 });
    if (trouble) {
        worker.restart(worker.kind());
        worker.deliverStart();
        start(world.io(), world.publish(worker));
    }
    co_await pause(milliseconds { 10000 });
    for (const auto& id : ids) {
        const auto shown = co_await world.state(id);
        world.note("state " + id + " " + shown);
    }
    co_return world.violations("TWICE") > 0 ? broken : held;
}

Task<> play(World& world, std::string name, bool trouble, int& result)
{
    const bool ready = co_await world.begin();
    if (ready && name == "gang-checkpoints") {
        result = co_await gangCheckpoints(world, trouble);
    }
    if (ready && name == "other-kind") {
        result = co_await otherKind(world, trouble);
    }
    if (ready && name == "large-progress") {
        result = co_await largeProgress(world, trouble);
    }
    if (ready && name == "late-start") {
        result = co_await lateStart(world, trouble);
    }
    world.note((ready ? "result " : "a daemon is not ready, result ") + std::to_string(result));
    world.io().stop();
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    using namespace review;
    if (argc != 5) {
        std::cerr << "usage: review-3 SCENARIO DAEMON FOLDER RECORD\n";
        return notRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto* const setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string { setting } != "0";
    const std::string name { argv[1] };
    int result = notRun;
    try {
        boost::asio::io_context context { 1 };
        std::vector<std::string> kinds(8, "plain");
        if (name == "other-kind") {
            kinds[0] = "large";
            kinds[1] = "large";
        }
        World world { context, { argv[2], argv[3], argv[4] }, 4, kinds };
        start(context, play(world, name, trouble, result));
        context.run();
        world.endDaemons();
        std::cout.flush();
        // Operations that still wait end with the process.
        std::_Exit(result);
    } catch (const std::exception& exception) {
        std::cerr << "not run: " << exception.what() << "\n";
        return notRun;
    }
}
