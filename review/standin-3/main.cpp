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

Task<> play(World& world, std::string name, bool trouble, int& result)
{
    const bool ready = co_await world.begin();
    if (ready && name == "gang-checkpoints") {
        result = co_await gangCheckpoints(world, trouble);
    }
    if (ready && name == "other-kind") {
        result = co_await otherKind(world, trouble);
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
