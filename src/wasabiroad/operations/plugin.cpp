#include "wasabiroad/control/snapshots.hpp"
#include "wasabiroad/http/server.hpp"
#include "wasabiroad/operations/listener.hpp"
#include "wasabiroad/operations/status.hpp"

namespace wasabiroad::operations {

namespace {

/** @brief Serves metrics, health and status; it runs on the control thread. */
class Listener {
public:
    explicit Listener(kernel::Kernel& daemonKernel)
        : kernel(daemonKernel)
        , server(daemonKernel.threads().control(),
              [this](http::Request request) { return handle(std::move(request)); })
    {
    }

    kernel::Expected<std::string> listen(const std::string& address) { return this->server.listen(address); }

    /** @brief Makes the readiness check fail, so that a balancer sends no more callers. */
    void stopBeingReady() { this->stopping = true; }

    void close() { this->server.close(); }

private:
    Status status() const
    {
        const auto settings = this->kernel.find<const settings::Settings>();
        const auto& configuration = this->kernel.find<control::Snapshots>()->inForce();
        return {
            .entry = settings->entry,
            .zone = settings->zone,
            .generation = configuration ? configuration->generation : model::Generation {},
            .digest = configuration ? configuration->digest : std::string {},
            .ready = configuration != nullptr && !this->stopping,
        };
    }

    http::Response route(const http::Request& request) const
    {
        constexpr std::string_view json { "application/json" };
        using internal::plainText;
        const auto target = request.target();
        if (target == "/live") {
            return http::respond(request, 200, plainText, "live\n");
        }
        if (target == "/ready") {
            const bool ready = status().ready;
            return http::respond(request, ready ? 200 : 503, plainText, ready ? "ready\n" : "not ready\n");
        }
        if (target == "/status") {
            return http::respond(request, 200, json, toJson(status()));
        }
        return internal::answerMetrics(request, *this->kernel.find<metrics::Metrics>());
    }

    boost::asio::awaitable<http::Response> handle(http::Request request) { co_return route(request); }

    kernel::Kernel& kernel;
    http::Server server;
    bool stopping { false };
};

void drain(kernel::Kernel& kernel, std::function<void()> done)
{
    kernel.find<Listener>()->stopBeingReady();
    done();
}

void stop(kernel::Kernel& kernel) { kernel.find<Listener>()->close(); }

const kernel::Registration registration { kernel::Plugin {
    .name = "operations",
    .version = { 1, 0 },
    .dependencies = { "control", "metrics", "traffic" },
    .start = internal::startListener<Listener>,
    .drain = drain,
    .stop = stop,
} };

} // namespace

} // namespace wasabiroad::operations
