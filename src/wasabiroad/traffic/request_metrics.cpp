#include "wasabiroad/traffic/request_metrics.hpp"

namespace wasabiroad::traffic {

void RequestMetrics::waited(const model::ServiceId& service, kernel::Duration wait)
{
    auto found = this->waits.find(service);
    if (found == this->waits.end()) {
        const auto handle
            = this->metrics.histogram("wasabiroad_wait_milliseconds", { { "service", service.text() } });
        found = this->waits.emplace(service, handle).first;
    }
    found->second.observe(static_cast<double>(wait.milliseconds));
}

void RequestMetrics::attempted(const model::ServiceId& service, lifecycle::RequestState state)
{
    const std::pair key { service, state };
    auto found = this->attempts.find(key);
    if (found == this->attempts.end()) {
        const auto handle = this->metrics.counter("wasabiroad_attempts_total",
            { { "service", service.text() }, { "state", std::string { name(state) } } });
        found = this->attempts.emplace(key, handle).first;
    }
    found->second.increment();
}

void RequestMetrics::refused(kernel::ResultCode code)
{
    auto found = this->refusals.find(code);
    if (found == this->refusals.end()) {
        const auto handle = this->metrics.counter(
            "wasabiroad_refusals_total", { { "code", std::string { kernel::name(code) } } });
        found = this->refusals.emplace(code, handle).first;
    }
    found->second.increment();
}

} // namespace wasabiroad::traffic
