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

/** @brief Where a request is: exactly one of these at any moment. */
enum class Phase : std::uint8_t {
    Free,
    Queued,
    /** @brief Waits for the delay before a retry. */
    Delayed,
    Running,
};

/** @brief Mutable state of one request; owned and changed by the dispatcher only. */
struct Record {
    Handle handle {};
    std::optional<RequestAttributes> attributes {};
    Phase phase { Phase::Free };
    WorkClass workClass { WorkClass::Short };
    /** @brief Whether an attempt was lost after it was sent; `not-run` is then ruled out. */
    bool mayHaveRun { false };
    /** @brief Whether the request is in the list that is checked for overruns. */
    bool overrunCandidate { false };
    /** @brief Lane of the service's queue. */
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
 * A handle holds the index of its record, so that a lookup costs O(1) and no hash, and a serial
 * number, so that a handle of an ended request is recognised. Handles ascend in order of creation.
 */
class RequestTable {
public:
    /** @brief Adds a record in phase `Free`; the caller sets its phase. */
    RecordIndex create(const RequestAttributes& attributes);

    /** @brief Removes a record; its index is used again. */
    void release(RecordIndex index);

    /** @return A handle that no record has, for a request that is refused at once. */
    Handle handleWithoutRecord();

    /** @return The record of a handle, or nothing when its request has ended. */
    std::optional<RecordIndex> find(Handle handle) const;

    /** @brief Moves a record to another phase. */
    void setPhase(RecordIndex index, Phase phase);

    /** @return Number of records in a phase. */
    std::size_t count(Phase phase) const { return this->counts[static_cast<std::size_t>(phase)]; }

    /** @return Number of indices in use or free. */
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
