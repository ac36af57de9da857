#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/result_code.hpp"
#include "wasabiroad/lifecycle/request_machine.hpp"
#include "wasabiroad/metrics/metrics.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <map>
#include <unordered_map>
#include <utility>

namespace wasabiroad::traffic {

/** @brief Metrics of the requests of one traffic thread; it keeps the handles that requests need. */
class RequestMetrics {
public:
    explicit RequestMetrics(metrics::Metrics& metrics)
        : metrics(metrics)
    {
    }

    /** @brief Records the time from arrival to grant. */
    void waited(const model::ServiceId& service, kernel::Duration wait);

    /** @brief Records the end of an attempt. */
    void attempted(const model::ServiceId& service, lifecycle::RequestState state);

    /** @brief Records an answer of the system itself. */
    void refused(kernel::ResultCode code);

private:
    metrics::Metrics& metrics;
    std::unordered_map<model::ServiceId, metrics::Histogram> waits {};
    std::map<std::pair<model::ServiceId, lifecycle::RequestState>, metrics::Counter> attempts {};
    std::map<kernel::ResultCode, metrics::Counter> refusals {};
};

} // namespace wasabiroad::traffic
