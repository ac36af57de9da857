#include "wasabiroad/http/server.hpp"
#include "wasabiroad/operations/listener.hpp"

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
        co_return internal::answerMetrics(request, *this->metrics);
    }

    const std::shared_ptr<metrics::Metrics> metrics;
    http::Server server;
};

void stop(kernel::Kernel& kernel) { kernel.find<MetricsListener>()->close(); }

const kernel::Registration registration { kernel::Plugin {
    .name = "operators",
    .version = { 1, 0 },
    .dependencies = { "metrics" },
    .start = internal::startListener<MetricsListener>,
    .stop = stop,
} };

} // namespace

} // namespace wasabiroad::operations
