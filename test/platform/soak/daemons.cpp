#include "daemons.hpp"

#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wasabiroad::soak {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** Processor quota of a daemon in a period. */
constexpr std::int64_t quota = 25;
constexpr std::int64_t period = 100;

/** Interval at which the quota is checked. */
constexpr milliseconds quotaCheck { 5 };

/** Time between SIGTERM and SIGKILL. */
constexpr std::int64_t grace = 6000;

/** Time in which a daemon that cannot bind its addresses ends, and how often it gets others. */
constexpr std::int64_t bindTime = 2000;
constexpr int bindTries = 3;

/** @return A free port of a loopback address that only this process and its daemons use. */
std::string freeAddress()
{
    constexpr int span = 250;
    const auto process = getpid();
    const auto address
        = "127.78." + std::to_string(process / span % span + 1) + "." + std::to_string(process % span + 1);
    asio::io_context context;
    const asio::ip::tcp::acceptor probe { context, { asio::ip::make_address(address), 0 } };
    return address + ":" + std::to_string(probe.local_endpoint().port());
}

} // namespace

Daemon::Daemon(asio::io_context& io, std::string name, Place at, Store::Entrance& storeEntrance)
    : context(io)
    , id(std::move(name))
    , place(std::move(at))
    , entrance(storeEntrance)
    , callerAddress(freeAddress())
    , readinessAddress(freeAddress())
    , operatorAddress(freeAddress())
{
    start(this->context, keepQuota());
}

void Daemon::launch()
{
    const json::object settings { { "version", 1 }, { "entry", this->id }, { "zone", this->place.zone },
        { "callers", this->callerAddress }, { "operators", this->operatorAddress },
        { "platform", this->entrance.server.address() }, { "traffic-threads", 1 },
        { "vm", { { "cores", 0.25 }, { "link-mbps", 1000.0 } } },
        { "fleet",
            { { "readiness", this->readinessAddress }, { "vms", this->place.vms }, { "advice", "" },
                { "task-lease-ms", 10000 }, { "stop-grace-ms", 6000 }, { "retention-ms", 120000 },
                { "order-gap-ms", 3000 } } } };
    const auto path = this->place.folder + "/" + this->id + ".json";
    std::ofstream { path } << json::serialize(settings);
    const auto variable = "WASABIROAD_BOOT=" + path;
    int ends[2] {};
    if (pipe2(ends, O_CLOEXEC) != 0) {
        throw std::runtime_error { "no pipe for the output of a daemon" };
    }
    this->process = fork();
    if (this->process == 0) {
        // No daemon outlives this process.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(ends[1], STDOUT_FILENO);
        dup2(ends[1], STDERR_FILENO);
        const char* const arguments[]
            = { this->place.program.c_str(), "--settings-variable", "WASABIROAD_BOOT", nullptr };
        const char* const environment[] = { variable.c_str(), nullptr };
        execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        _exit(127);
    }
    close(ends[1]);
    this->launchedAt = nowMs();
    this->frozen = false;
    start(this->context, readOutput(ends[0]));
}

Task<> Daemon::readOutput(int descriptor)
{
    asio::posix::stream_descriptor input { this->context, descriptor };
    std::ofstream log { this->place.folder + "/" + this->id + ".log", std::ios::app };
    std::string buffer(16384, '\0');
    while (true) {
        while (this->outputHeld) {
            co_await pause(milliseconds { 50 });
        }
        const auto [failed, size]
            = co_await input.async_read_some(asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
        if (failed) {
            co_return;
        }
        log.write(buffer.data(), static_cast<std::streamsize>(size)).flush();
    }
}

std::int64_t Daemon::processorTime() const
{
    clockid_t clock {};
    timespec used {};
    if (clock_getcpuclockid(this->process, &clock) != 0 || clock_gettime(clock, &used) != 0) {
        return 0;
    }
    return used.tv_sec * 1000 + used.tv_nsec / 1000000;
}

Task<> Daemon::keepQuota()
{
    while (true) {
        if (this->process == 0 || this->frozen || (!this->limited && !this->throttled)) {
            co_await pause(milliseconds { period });
            continue;
        }
        const auto owner = this->process;
        const auto begin = nowMs();
        const auto used = processorTime();
        const auto spent = [&] { return this->throttled ? nowMs() - begin : processorTime() - used; };
        while (nowMs() - begin < period && this->process == owner && spent() < quota) {
            co_await pause(quotaCheck);
        }
        if (nowMs() - begin < period && this->process == owner && !this->frozen) {
            ::kill(owner, SIGSTOP);
            co_await pause(milliseconds { begin + period - nowMs() });
            if (this->process == owner && !this->frozen) {
                ::kill(owner, SIGCONT);
            }
        }
    }
}

void Daemon::signal(int number)
{
    if (this->process != 0) {
        ::kill(this->process, number);
    }
}

void Daemon::kill()
{
    if (this->process != 0) {
        signal(SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = 0;
    }
}

Task<> Daemon::stop()
{
    signal(SIGTERM);
    this->stopping = true;
    const auto owner = this->process;
    const auto until = nowMs() + grace;
    while (owner != 0 && this->process == owner) {
        if (waitpid(owner, nullptr, WNOHANG) != 0) {
            this->process = 0;
        } else if (nowMs() > until) {
            kill();
        } else {
            co_await pause(milliseconds { 10 });
        }
    }
    this->stopping = false;
}

void Daemon::freeze(bool isFrozen)
{
    this->frozen = isFrozen;
    signal(isFrozen ? SIGSTOP : SIGCONT);
}

bool Daemon::hasEnded()
{
    int status = 0;
    if (this->process == 0 || this->stopping || waitpid(this->process, &status, WNOHANG) <= 0) {
        return false;
    }
    this->process = 0;
    std::cout << nowMs() << " ms: " << this->id << " has ended, status " << status << std::endl;
    if (nowMs() - this->launchedAt < bindTime && this->retries < bindTries) {
        ++this->retries;
        this->callerAddress = freeAddress();
        this->readinessAddress = freeAddress();
        this->operatorAddress = freeAddress();
        launch();
        return false;
    }
    return true;
}

Task<bool> Daemon::ready()
{
    Call request { "GET", this->readinessAddress, "ready", "/ready", {} };
    const auto answer = co_await call(std::move(request), milliseconds { 500 });
    co_return answer.status == 200;
}

} // namespace wasabiroad::soak
