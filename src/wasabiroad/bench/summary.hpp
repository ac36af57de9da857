#pragma once

#include "wasabiroad/bench/record.hpp"
#include "wasabiroad/kernel/clock.hpp"

#include <map>
#include <vector>

namespace wasabiroad::bench {

/** @brief Result of a load, joined with the run logs of the upstreams. */
struct Summary {
    const std::uint64_t sent { 0 };
    const std::uint64_t answered { 0 };
    /** @brief Answers of upstreams with status 500 or higher; part of `answered`. */
    const std::uint64_t failed { 0 };
    /** @brief Answers that the request did not run, by result code. */
    const std::map<unsigned, std::uint64_t> refused {};
    const std::uint64_t unknown { 0 };
    const std::uint64_t broken { 0 };
    /** @brief Neither an answer nor a broken connection. */
    const std::uint64_t lost { 0 };
    /** @brief Requests that are not idempotent and ran more than once. */
    const std::uint64_t doubled { 0 };
    /** @brief Answers of other requests, and answers to requests that never ran. */
    const std::uint64_t mixedUp { 0 };
    /** @brief Requests that ran although the answer was that they did not. */
    const std::uint64_t falseNotRun { 0 };
    /** @brief Time from the intended send time to the start of the run, in milliseconds. */
    const double shortWaitP50 { 0 };
    const double shortWaitP99 { 0 };
    const double longWaitP50 { 0 };
    const double longWaitP99 { 0 };
    /** @brief Mean time from the intended send time to the answer of long work, in milliseconds. */
    const double longMean { 0 };
    /** @brief Answered requests a second. */
    const double throughput { 0 };

    friend auto operator<=>(const Summary&, const Summary&) = default;

    std::uint64_t refusedTotal() const;

    /** @return Whether nothing was lost, doubled, mixed up or falsely reported as not run. */
    bool correct() const
    {
        return this->lost == 0 && this->doubled == 0 && this->mixedUp == 0 && this->falseNotRun == 0;
    }
};

/** @brief Joins the records of the callers with the runs of the upstreams. */
Summary summarise(
    const std::vector<Record>& records, const std::vector<UpstreamRun>& runs, kernel::Duration length);

} // namespace wasabiroad::bench
