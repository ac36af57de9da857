#pragma once

#include "wasabiroad/admission/decision.hpp"
#include "wasabiroad/admission/request_attributes.hpp"
#include "wasabiroad/admission/work_class.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace wasabiroad::admission {

/** @brief Index of a record in the table. */
using RecordIndex = std::uint32_t;

inline constexpr RecordIndex noRecord = UINT32_MAX;

/** @brief State of a request in the dispatcher. */
enum class Phase : std::uint8_t {
    Free,
    Queued,
    /** @brief Waits until the delay before a retry has passed. */
    Delayed,
    Running,
};

/** @brief Mutable state of one request; owned and changed by the dispatcher only. */
struct Record {
    Handle handle {};
    std::optional<RequestAttributes> attributes {};
    Phase phase { Phase::Free };
    WorkClass workClass { WorkClass::Short };
    /** @brief Whether an attempt was lost after sending; the request is then never reported as not run. */
    bool mayHaveRun { false };
    /** @brief Whether the request is in its service's `overrunCandidates`. */
    bool overrunCandidate { false };
    /** @brief Index of the lanes for short and long requests with the same requirement. */
    std::uint32_t lanePair { 0 };
    /** @brief Attempts that have ended. */
    std::uint32_t attempts { 0 };
    /** @brief Upstream of the current attempt, or of the last one. */
    std::uint32_t upstream { UINT32_MAX };
    /** @brief Estimated run time in ms while the request is queued. */
    double estimate { 0 };
    kernel::Instant grantedAt {};
    RecordIndex previous { noRecord };
    RecordIndex next { noRecord };
};

/**
 * @brief Records of all requests that are queued, delayed or running.
 *
 * A handle consists of a serial number and the index of its record. The index makes a lookup O(1) without
 * hashing; the serial number detects handles of ended requests. Handles ascend in order of creation.
 */
class RequestTable {
public:
    /** @brief Adds a record in phase `Free`; the caller sets its phase. */
    RecordIndex create(const RequestAttributes& attributes);

    /** @brief Removes a record; its index will be reused. */
    void release(RecordIndex index);

    /** @return A new handle without a record, for a request that is refused at once. */
    Handle handleWithoutRecord();

    /** @return Index of the record of a handle; empty when the request has ended. */
    std::optional<RecordIndex> find(Handle handle) const;

    /** @brief Moves a record to another phase. */
    void setPhase(RecordIndex index, Phase phase);

    /** @return Number of records in a phase. */
    std::size_t count(Phase phase) const { return this->counts[static_cast<std::size_t>(phase)]; }

    /** @return Number of indices, used and free. */
    RecordIndex size() const { return static_cast<RecordIndex>(this->records.size()); }

    Record& operator[](RecordIndex index) { return this->records[index]; }
    const Record& operator[](RecordIndex index) const { return this->records[index]; }

private:
    std::vector<Record> records {};
    RecordIndex firstFree { noRecord };
    std::uint64_t serial { 0 };
    std::size_t counts[4] {};
};

} // namespace wasabiroad::admission
