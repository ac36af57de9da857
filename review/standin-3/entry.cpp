#include "entry.hpp"

#include <csignal>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** @return A free port of a loopback address that only this process and its daemons use. */
std::string freeAddress()
{
    constexpr int span = 250;
    const auto process = getpid();
    const auto address
        = "127.79." + std::to_string(process / span % span + 1) + "." + std::to_string(process % span + 1);
    asio::io_context context;
    const asio::ip::tcp::acceptor probe { context, { asio::ip::make_address(address), 0 } };
    return address + ":" + std::to_string(probe.local_endpoint().port());
}

} // namespace

Entry::Entry(std::string name, Place place)
    : id(std::move(name))
    , at(std::move(place))
{
    chooseAddresses();
}

void Entry::chooseAddresses()
{
    this->callerAddress = freeAddress();
    this->readinessAddress = freeAddress();
    this->operatorAddress = freeAddress();
}

void Entry::launch()
{
    // The settings template of the deploy file with the figures of hallbach-foundry.
    const json::object settings { { "version", 1 }, { "entry", this->id }, { "zone", "zone-a" },
        { "callers", this->callerAddress }, { "operators", this->operatorAddress },
        { "platform", this->at.store }, { "traffic-threads", 1 },
        { "vm", { { "cores", 0.25 }, { "link-mbps", 1000.0 } } },
        { "fleet",
            { { "readiness", this->readinessAddress }, { "vms", this->at.vms }, { "advice", "" },
                { "task-lease-ms", 6000 }, { "stop-grace-ms", 6000 }, { "retention-ms", 120000 },
                { "order-gap-ms", 3000 } } } };
    const auto path = this->at.folder + "/" + this->id + ".json";
    std::ofstream { path } << json::serialize(settings);
    const auto log = open(
        (this->at.folder + "/" + this->id + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const auto variable = "WASABIROAD_BOOT=" + path;
    this->process = fork();
    if (this->process == 0) {
        // No daemon outlives this process.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        const char* const arguments[]
            = { this->at.program.c_str(), "--settings-variable", "WASABIROAD_BOOT", nullptr };
        const char* const environment[] = { variable.c_str(), nullptr };
        execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        _exit(127);
    }
    close(log);
}

void Entry::kill()
{
    if (this->process != 0) {
        ::kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = 0;
    }
}

void Entry::check()
{
    int status = 0;
    if (this->process != 0 && waitpid(this->process, &status, WNOHANG) > 0) {
        chooseAddresses();
        launch();
    }
}

Task<bool> Entry::ready()
{
    Call request { "GET", this->readinessAddress, "ready", "/ready", {} };
    const auto answer = co_await call(std::move(request), milliseconds { 500 });
    co_return answer.status == 200;
}

} // namespace review
