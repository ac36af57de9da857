#include "wasabiroad/http/server.hpp"
#include "wasabiroad/kernel/kernel.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/metrics/metrics.hpp"
#include "wasabiroad/settings/settings.hpp"

namespace wasabiroad::operations {

namespace {

/** @brief Serves the metrics of a daemon without configuration of its own; it runs on the control thread. */
class MetricsListener {
public:
    explicit MetricsListener(kernel::Kernel& kernel)
        : metrics(kernel.find<metrics::Metrics>())
        , server(kernel.threads().control(),
              [this](http::Request request) { return answer(std::move(request)); })
    {
    }

    kernel::Expected<std::string> listen(const std::string& address) { return this->server.listen(address); }

    void close() { this->server.close(); }

private:
    boost::asio::awaitable<http::Response> answer(http::Request request)
    {
        constexpr std::string_view plain { "text/plain; version=0.0.4" };
        if (request.target() == "/metrics") {
            co_return http::respond(request, 200, plain, this->metrics->text());
        }
        co_return http::respond(request, 404, plain, "not found\n");
    }

    const std::shared_ptr<metrics::Metrics> metrics;
    http::Server server;
};

kernel::Expected<void> start(kernel::Kernel& kernel)
{
    auto listener = std::make_shared<MetricsListener>(kernel);
    const auto address = listener->listen(kernel.find<const settings::Settings>()->operators);
    if (!address) {
        return tl::unexpected(address.error());
    }
    kernel::logEvent("listening", { { "listener", "operators" }, { "address", *address } });
    kernel.provide(std::move(listener));
    return {};
}

void stop(kernel::Kernel& kernel) { kernel.find<MetricsListener>()->close(); }

const kernel::Registration registration { kernel::Plugin {
    .name = "operators",
    .version = { 1, 0 },
    .dependencies = { "metrics" },
    .start = start,
    .stop = stop,
} };

} // namespace

} // namespace wasabiroad::operations
