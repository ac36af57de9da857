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

using PendingCounts = std::map<QueueId, std::uint64_t>;

/** @return The stored form of the numbers of jobs that have not begun. */
std::string encode(const PendingCounts& counts);

/** @return The numbers of jobs that have not begun, or nothing when the bytes are none. */
std::optional<PendingCounts> decodePendingCounts(std::string_view bytes);

/** @return The job, or nothing when the bytes are no job. */
std::optional<Job> decodeJob(std::string_view bytes);

/** @return The record, or nothing when the bytes are no record. */
std::optional<Record> decodeRecord(std::string_view bytes);

/** @return The list of upstreams, or nothing when the bytes are no list. */
std::optional<std::vector<std::string>> decodeUpstreams(std::string_view bytes);

} // namespace wasabiroad::jobs
