#pragma once

#include "wasabiroad/jobs/job.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiroad::jobs {

/** @return The stored form of a job. */
std::string encode(const Job& job);

/** @return The stored form of a record. */
std::string encode(const Record& record);

/** @return The stored form of a list of upstreams. */
std::string encode(const std::vector<std::string>& upstreams);

/** @brief Jobs that have not begun, by queue. */
using PendingCounts = std::map<QueueId, std::uint64_t>;

/** @brief What the owner of a pool reports of it. */
struct PoolReport {
    const PendingCounts pending {};
    /** @brief Resources of all tasks that run or could run now. */
    const Resources wanted {};
    /** @brief The part of them that has room. */
    const Resources taken {};
    /** @brief Upstreams that the widest long-running step needs. */
    const std::uint32_t spread { 0 };
    /** @brief Upstreams that run out of tasks soon, the first of them first. */
    const std::vector<std::string> releasable {};
    /** @brief Thousandths of a core that keep up with the work that arrives. */
    const std::int64_t arriving { 0 };
    /** @brief Revision of the store up to which all changes of the pool are in the report. */
    const std::uint64_t asOf { 0 };

    friend bool operator==(const PoolReport&, const PoolReport&) = default;
};

/** @brief Asks the owner of a pool to empty an upstream. */
struct Drain {
    const std::string upstream {};
    /** @brief Tasks that do not end soon are stopped. */
    const bool stopsTasks { false };

    friend auto operator<=>(const Drain&, const Drain&) = default;
};

/** @return The stored form of a drain. */
std::string encode(const Drain& drain);

/** @return The drain, or nothing when the bytes are none. */
std::optional<Drain> decodeDrain(std::string_view bytes);

/** @return The stored form of a report. */
std::string encode(const PoolReport& report);

/** @return The report, or nothing when the bytes are none. */
std::optional<PoolReport> decodePoolReport(std::string_view bytes);

/** @return The job, or nothing when the bytes are no job. */
std::optional<Job> decodeJob(std::string_view bytes);

/** @return The record, or nothing when the bytes are no record. */
std::optional<Record> decodeRecord(std::string_view bytes);

/** @return The list of upstreams, or nothing when the bytes are no list. */
std::optional<std::vector<std::string>> decodeUpstreams(std::string_view bytes);

} // namespace wasabiroad::jobs
