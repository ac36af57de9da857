#include "wasabiroad/kernel/kernel.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/loop_monitor.hpp"
#include "wasabiroad/metrics/metrics.hpp"
#include "wasabiroad/settings/settings.hpp"

namespace wasabiroad::agent {

namespace {

using kernel::Duration;
using kernel::LoopSample;

/** Minimum logged delay of the control thread; each of its steps in answering a caller is delayed as much. */
constexpr Duration loggedDelay { 100 };

/** @brief Publishes the load of the control thread and of the process. */
class LoadReport {
public:
    LoadReport(std::shared_ptr<metrics::Metrics> processMetrics, settings::VmCapacity capacity)
        : metrics(std::move(processMetrics))
        , vm(capacity)
        , delays(metrics->histogram("wasabiroad_loop_delay_ms", {}))
        , processor(metrics->counter("wasabiroad_processor_ms_total", {}))
    {
        this->metrics->set("wasabiroad_processor_share", {}, static_cast<double>(this->vm.cpu));
    }

    void add(const LoopSample& sample)
    {
        this->delays.observe(static_cast<double>(sample.delay.milliseconds));
        this->processor.increment(static_cast<double>(sample.processor.milliseconds));
        if (sample.delay < loggedDelay) {
            return;
        }
        constexpr std::int64_t thousandths = 1000;
        const auto share = sample.interval.milliseconds * this->vm.cpu / thousandths;
        kernel::logEvent("daemon-load",
            { { "loop_delay_ms", sample.delay.milliseconds },
                { "processor_ms", sample.processor.milliseconds }, { "share_ms", share },
                { "interval_ms", sample.interval.milliseconds } });
    }

private:
    const std::shared_ptr<metrics::Metrics> metrics;
    const settings::VmCapacity vm;
    metrics::Histogram delays;
    metrics::Counter processor;
};

kernel::Expected<void> start(kernel::Kernel& kernel)
{
    const auto report = std::make_shared<LoadReport>(
        kernel.find<metrics::Metrics>(), kernel.find<const settings::Settings>()->vm);
    auto monitor = std::make_shared<kernel::LoopMonitor>(
        kernel.threads().control(), [report](const LoopSample& sample) { report->add(sample); });
    monitor->start();
    kernel.provide(std::move(monitor));
    return {};
}

void stop(kernel::Kernel& kernel) { kernel.find<kernel::LoopMonitor>()->stop(); }

const kernel::Registration registration { kernel::Plugin {
    .name = "load",
    .version = { 1, 0 },
    .dependencies = { "metrics" },
    .start = start,
    .stop = stop,
} };

} // namespace

} // namespace wasabiroad::agent
