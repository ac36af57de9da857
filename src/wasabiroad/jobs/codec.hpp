#pragma once

#include "wasabiroad/jobs/job.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiroad::jobs {

/** @return The serialized job. */
std::string encode(const Job& job);

/** @return The serialized record. */
std::string encode(const Record& record);

/** @return The serialized list of upstream ids. */
std::string encode(const std::vector<std::string>& upstreams);

/** @brief Upstreams that may run tasks of a pool. */
struct UsedUpstreams {
    const std::vector<std::string> ids {};
    /** @brief Longest time for which leases last after the owner that wrote this has stopped; an upstream is
     * absent if its leases may still be renewed. */
    const std::map<std::string, kernel::Duration> leaseLeft {};

    friend bool operator==(const UsedUpstreams&, const UsedUpstreams&) = default;
};

/** @return The serialized record of used upstreams. */
std::string encode(const UsedUpstreams& used);

/** @return The record of used upstreams, or nothing when the bytes cannot be parsed. */
std::optional<UsedUpstreams> decodeUsedUpstreams(std::string_view bytes);

/** @brief Number of pending jobs by queue: jobs that have not begun and have no due time of their own. */
using PendingCounts = std::map<QueueId, std::uint64_t>;

/** @brief Demand and pending jobs of a pool, as its owner publishes them in the store. */
struct PoolReport {
    const PendingCounts pending {};
    /** @brief Resources of all tasks that are running or are ready to run. */
    const Resources wanted {};
    /** @brief Resources that are occupied on the upstreams that accept new tasks. */
    const Resources taken {};
    /** @brief Largest number of upstreams that one long-running step needs. */
    const std::uint32_t spread { 0 };
    /** @brief Upstreams that are expected to have no tasks soon, the earliest first. */
    const std::vector<std::string> releasable {};
    /** @brief CPU needed to keep up with arriving work and for long-running tasks, in thousandths of a core.
     */
    const std::int64_t arriving { 0 };
    /** @brief Revision of the store; the report covers all changes of the pool up to it. */
    const std::uint64_t asOf { 0 };
    /** @brief Capacity of the upstreams that accept new tasks. */
    const Resources room {};

    friend bool operator==(const PoolReport&, const PoolReport&) = default;
};

/** @brief Request to the owner of a pool to drain an upstream. */
struct Drain {
    const std::string upstream {};
    /** @brief Whether tasks that do not end soon are stopped. */
    const bool stopsTasks { false };

    friend auto operator<=>(const Drain&, const Drain&) = default;
};

/** @return The serialized drain request. */
std::string encode(const Drain& drain);

/** @return The drain request, or nothing when the bytes cannot be parsed or name no upstream. */
std::optional<Drain> decodeDrain(std::string_view bytes);

/** @return The serialized report. */
std::string encode(const PoolReport& report);

/** @return The report, or nothing when the bytes cannot be parsed. */
std::optional<PoolReport> decodePoolReport(std::string_view bytes);

/** @return The job, or nothing when the bytes are not a valid job. */
std::optional<Job> decodeJob(std::string_view bytes);

/** @return The record, or nothing when the bytes are not a valid record. */
std::optional<Record> decodeRecord(std::string_view bytes);

/** @return The upstream ids, or nothing when the bytes cannot be parsed. */
std::optional<std::vector<std::string>> decodeUpstreams(std::string_view bytes);

} // namespace wasabiroad::jobs
