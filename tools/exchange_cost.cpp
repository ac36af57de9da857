// Prints what an exchange with an upstream, a log line and a metric cost the thread that makes them.

#include "platform/upstream_client.hpp"

#include "wasabiroad/http/server.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/metrics/metrics.hpp"

#include <cstdio>
#include <iostream>
#include <thread>

#include <sys/resource.h>

namespace {

using namespace wasabiroad;

constexpr int rounds = 50'000;

/** Lines of a loaded owner between two flushes: 1,500 tasks a second with two lines each. */
constexpr int linesPerFlush = 150;

struct Usage {
    double user { 0 };
    double system { 0 };
    long waits { 0 };
};

double microseconds(const timeval& time)
{
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec);
}

Usage usage(int who)
{
    rusage used {};
    getrusage(who, &used);
    return { microseconds(used.ru_utime), microseconds(used.ru_stime), used.ru_nvcsw };
}

/**
 * Prints the processor time and the waits of one round.
 * @param who RUSAGE_THREAD for the calling thread alone, RUSAGE_SELF for the process.
 */
template <typename Function> void measure(const char* what, int who, Function function)
{
    const auto before = usage(who);
    function();
    const auto after = usage(who);
    std::fprintf(stderr, "%-14s user_us=%.2f system_us=%.2f waits=%.3f\n", what,
        (after.user - before.user) / rounds, (after.system - before.system) / rounds,
        static_cast<double>(after.waits - before.waits) / rounds);
}

/** @return The answer of an upstream with 10 running and 5 ended tasks. */
std::string lookAnswer()
{
    std::string running;
    std::string ended;
    for (int index = 0; index < 10; ++index) {
        running += (running.empty() ? "" : ",") + std::string { R"(["5c0e7a21d94b36f8.0.1.)" }
            + std::to_string(index) + R"(",1048577,"",41,0])";
    }
    for (int index = 0; index < 5; ++index) {
        ended += (ended.empty() ? "" : ",") + std::string { "[" } + std::to_string(index + 1)
            + R"(,"5c0e7a21d94b36f8.0.2.)" + std::to_string(index) + R"(",1048577,"done",""])";
    }
    return R"({"clockMs":482113,"born":9,"runningTasks":[)" + running + R"(],"ended":[)" + ended + "]}";
}

/** @brief Answers looks and orders on a thread of its own. */
class Upstream {
public:
    Upstream()
        : server(this->context, [this](http::Request request) { return answer(std::move(request)); })
        , address(this->server.listen("127.0.0.1:0").value())
        , thread([this] { this->context.run(); })
    {
    }

    ~Upstream()
    {
        this->context.stop();
        this->thread.join();
    }

    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    const std::string& at() const { return this->address; }

private:
    boost::asio::awaitable<http::Response> answer(http::Request request)
    {
        const bool look = request.target() == "/hold";
        co_return http::respond(
            request, 200, "application/json", look ? this->listed : R"({"clockMs":482113})");
    }

    const std::string listed { lookAnswer() };
    boost::asio::io_context context { 1 };
    http::Server server;
    const std::string address;
    std::thread thread;
};

/** Makes one call after another, each when the last one has been answered. */
template <typename Call> void repeat(boost::asio::io_context& context, Call call)
{
    int left = rounds;
    std::function<void()> next = [&] {
        if (left-- > 0) {
            call(next);
        } else {
            context.stop();
        }
    };
    next();
    context.restart();
    context.run();
}

void measureExchanges()
{
    const Upstream upstream;
    boost::asio::io_context context { 1 };
    const auto link = platform::makeUpstreams(context)
                          .open({ .id = scheduling::UpstreamId { "i-1" }, .address = upstream.at() })
                          .value();
    const jobs::TaskId task { jobs::JobId { "5c0e7a21d94b36f8" }, { 0, 1, 17 } };
    const scheduling::StartTask order { scheduling::UpstreamId { "i-1" }, task, { 1048577 },
        std::string(500, 's'), "" };
    measure("look", RUSAGE_THREAD, [&] {
        repeat(context, [&](const auto& next) {
            link->look({ { 7 }, 5, ports::UpstreamTime { 486000 }, { 1500 } },
                [next](const ports::LookOutcome&) { next(); });
        });
    });
    measure("start", RUSAGE_THREAD, [&] {
        repeat(context, [&](const auto& next) {
            link->start(
                order, { 7 }, ports::UpstreamTime { 486000 }, [] { return true; },
                [next](const ports::StartOutcome&) { next(); });
        });
    });
}

void measureLog()
{
    kernel::startLogging(std::cout);
    measure("log-line", RUSAGE_SELF, [] {
        for (int round = 0; round < rounds; ++round) {
            kernel::logEvent("task-ended",
                { { "task", "5c0e7a21d94b36f8.0.1.17" }, { "run", 1048577 }, { "upstream", "i-1" },
                    { "kind", "done" }, { "number", round } });
            if (round % linesPerFlush == 0) {
                kernel::flushLog();
            }
        }
    });
    kernel::stopLogging();
}

void measureMetrics()
{
    metrics::Metrics metrics;
    measure("count", RUSAGE_THREAD, [&] {
        for (int round = 0; round < rounds; ++round) {
            metrics.count("wasabiroad_task_ends_total", { { "pool", "desk" }, { "kind", "done" } });
        }
    });
    measure("histogram", RUSAGE_THREAD, [&] {
        for (int round = 0; round < rounds; ++round) {
            metrics.histogram("wasabiroad_submit_ms", { { "queue", "desk" } }).observe(1);
        }
    });
}

} // namespace

int main()
{
    measureExchanges();
    measureLog();
    measureMetrics();
    return 0;
}
