#pragma once

#include "wasabiroad/kernel/clock.hpp"
#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/platform/entry.hpp"

#include <map>
#include <optional>
#include <string_view>

namespace wasabiroad::platform {

/** @brief Number of a lease. */
struct LeaseId {
    std::uint64_t value { 0 };

    friend auto operator<=>(const LeaseId&, const LeaseId&) = default;
};

/** @brief Key-value store in memory with compare-and-swap and leases; it performs no I/O. */
class MemoryStore {
public:
    /** @brief Largest value in bytes. */
    static constexpr std::size_t maxValueBytes = 1048576;

    /** @return The entry. Errors: KeyNotFound. */
    kernel::Expected<Entry> get(const std::string& key) const;

    /** @return All entries whose key starts with the prefix. */
    Listing list(const std::string& prefix) const;

    /**
     * @brief Writes a value.
     * @param ifVersion Version that the key must have; 0 when it must not exist; nothing for any.
     * @param lease Lease that removes the key when it expires.
     * @return The new version. Errors: VersionConflict, LeaseExpired, DocumentTooLarge.
     */
    kernel::Expected<std::uint64_t> put(const std::string& key, std::string value,
        std::optional<std::uint64_t> ifVersion, std::optional<LeaseId> lease = {});

    /** @brief Removes a key. Errors: KeyNotFound, VersionConflict. */
    kernel::Expected<std::uint64_t> erase(const std::string& key, std::optional<std::uint64_t> ifVersion);

    /** @return A new lease that expires after `timeToLive`. */
    LeaseId grantLease(kernel::Duration timeToLive, kernel::Instant now);

    /** @brief Extends a lease by its time to live. Errors: LeaseExpired. */
    kernel::Expected<void> renewLease(LeaseId lease, kernel::Instant now);

    /** @brief Removes expired leases and their keys. */
    void expire(kernel::Instant now);

    /** @return Number of the last change. */
    std::uint64_t revision() const { return this->lastRevision; }

    /** @return Number of the last change of a key under the prefix, removals included. */
    std::uint64_t revisionOf(std::string_view prefix) const;

private:
    struct Value {
        std::string text;
        std::uint64_t version;
        std::optional<LeaseId> lease;
    };
    struct Lease {
        kernel::Duration timeToLive;
        kernel::Instant expiry;
    };

    kernel::Expected<void> checkVersion(const std::string& key, std::optional<std::uint64_t> ifVersion) const;

    std::map<std::string, Value> values {};
    std::map<std::string, std::uint64_t, std::less<>> changes {};
    std::map<LeaseId, Lease> leases {};
    std::uint64_t lastRevision { 0 };
    std::uint64_t lastLease { 0 };
};

} // namespace wasabiroad::platform
