#pragma once

#include "wasabiroad/jobs/job.hpp"

#include <vector>

namespace wasabiroad::jobs {

/** @brief Routing of calls to a queue of jobs, and the service level that the operator promises for it. */
struct Queue {
    const QueueId id {};
    /** @brief Host name that callers use. */
    const std::string host {};
    /** @brief Prefix of the path; the longest matching prefix selects the queue. */
    const std::string prefix {};
    /** @brief Service whose upstreams run the jobs. */
    const model::ServiceId service {};
    const std::uint32_t priority { 0 };
    const std::uint32_t maxAttempts { 1 };
    /** @brief Part of the deadline of jobs that is proportional to their length, see Job::stretch. */
    const double stretch { 1 };
    /** @brief Constant part of the deadline of jobs, see Job::stretch. */
    const kernel::Duration allowance {};
    /** @brief Maximum time to answer a call. */
    const kernel::Duration timeout {};

    friend bool operator==(const Queue&, const Queue&) = default;
};

/** @brief A service in the operator's configuration. */
struct ServicePool {
    const model::ServiceId service {};
    /** @brief Whether the pool is the spare pool, whose VMs are switched off. */
    const bool spare { false };

    friend auto operator<=>(const ServicePool&, const ServicePool&) = default;
};

/** @brief The operator's configuration of queues and pools. */
struct Configuration {
    /** @brief Increases with each new configuration. */
    const model::Generation generation {};
    const std::vector<Queue> queues {};
    const std::vector<ServicePool> pools {};
    /** @brief Maximum size of a request body. */
    const std::uint64_t maxBodyBytes { 262144 };

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

/**
 * @brief Finds the queue of a call.
 * @param configuration Queues to search.
 * @param host Host name of the call, without a port.
 * @param path Path of the call.
 * @return The queue of the host with the longest matching prefix, or null.
 */
const Queue* findQueue(const Configuration& configuration, std::string_view host, std::string_view path);

} // namespace wasabiroad::jobs
