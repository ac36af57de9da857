#pragma once

#include "wasabiroad/jobs/job.hpp"

#include <vector>

namespace wasabiroad::jobs {

/** @brief How calls of callers reach a queue of jobs, and what the operator promises for it. */
struct Queue {
    const QueueId id {};
    /** @brief Host name that callers use. */
    const std::string host {};
    /** @brief Beginning of the path; the longest that fits selects the queue. */
    const std::string prefix {};
    /** @brief Service whose upstreams run the jobs. */
    const model::ServiceId service {};
    const std::uint32_t priority { 0 };
    const std::uint32_t maxAttempts { 1 };
    const double stretch { 1 };
    const kernel::Duration allowance {};
    /** @brief Longest time for the answer to a call. */
    const kernel::Duration timeout {};

    friend bool operator==(const Queue&, const Queue&) = default;
};

/** @brief A service in the operator's configuration. */
struct ServicePool {
    const model::ServiceId service {};
    /** @brief Its VMs are a reserve that is switched off. */
    const bool spare { false };

    friend auto operator<=>(const ServicePool&, const ServicePool&) = default;
};

/** @brief The operator's configuration of queues. */
struct Configuration {
    /** @brief Rises with each configuration. */
    const model::Generation generation {};
    const std::vector<Queue> queues {};
    const std::vector<ServicePool> pools {};
    const std::uint64_t bodyBytes { 262144 };

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

/**
 * @brief Finds the queue of a call.
 * @param host Host name of the call, without a port.
 * @param path Path of the call.
 * @return The queue with the longest prefix that fits, or null.
 */
const Queue* findQueue(const Configuration& configuration, std::string_view host, std::string_view path);

} // namespace wasabiroad::jobs
