#include "wasabiroad/platform/memory_store.hpp"

#include <algorithm>

namespace wasabiroad::platform {

using kernel::ResultCode;

kernel::Expected<Entry> MemoryStore::get(const std::string& key) const
{
    const auto found = this->values.find(key);
    if (found == this->values.end()) {
        return kernel::fail(ResultCode::KeyNotFound, key);
    }
    return Entry { key, found->second.text, found->second.version };
}

Listing MemoryStore::list(const std::string& prefix) const
{
    std::vector<Entry> entries;
    for (auto value = this->values.lower_bound(prefix);
         value != this->values.end() && value->first.starts_with(prefix); ++value) {
        entries.emplace_back(Entry { value->first, value->second.text, value->second.version });
    }
    return { this->lastRevision, std::move(entries) };
}

kernel::Expected<void> MemoryStore::checkVersion(
    const std::string& key, std::optional<std::uint64_t> ifVersion) const
{
    if (!ifVersion) {
        return {};
    }
    const auto found = this->values.find(key);
    const auto current = found == this->values.end() ? 0 : found->second.version;
    if (current != *ifVersion) {
        return kernel::fail(
            ResultCode::VersionConflict, key, std::to_string(current), std::to_string(*ifVersion));
    }
    return {};
}

kernel::Expected<std::uint64_t> MemoryStore::put(const std::string& key, std::string value,
    std::optional<std::uint64_t> ifVersion, std::optional<LeaseId> lease)
{
    if (value.size() > maxValueBytes) {
        return kernel::fail(ResultCode::DocumentTooLarge, key, std::to_string(value.size()),
            "at most " + std::to_string(maxValueBytes) + " bytes");
    }
    if (lease && !this->leases.contains(*lease)) {
        return kernel::fail(ResultCode::LeaseExpired, key, std::to_string(lease->value));
    }
    if (const auto checked = checkVersion(key, ifVersion); !checked) {
        return tl::unexpected(checked.error());
    }
    const auto version = ++this->lastRevision;
    this->values.insert_or_assign(key, Value { std::move(value), version, lease });
    this->changes[key] = version;
    return version;
}

kernel::Expected<std::uint64_t> MemoryStore::erase(
    const std::string& key, std::optional<std::uint64_t> ifVersion)
{
    if (!this->values.contains(key)) {
        return kernel::fail(ResultCode::KeyNotFound, key);
    }
    if (const auto checked = checkVersion(key, ifVersion); !checked) {
        return tl::unexpected(checked.error());
    }
    this->values.erase(key);
    return this->changes[key] = ++this->lastRevision;
}

LeaseId MemoryStore::grantLease(kernel::Duration timeToLive, kernel::Instant now)
{
    const LeaseId lease { ++this->lastLease };
    this->leases.insert_or_assign(lease, Lease { timeToLive, now + timeToLive });
    return lease;
}

kernel::Expected<void> MemoryStore::renewLease(LeaseId lease, kernel::Instant now)
{
    expire(now);
    const auto found = this->leases.find(lease);
    if (found == this->leases.end()) {
        return kernel::fail(ResultCode::LeaseExpired, std::to_string(lease.value));
    }
    found->second.expiry = now + found->second.timeToLive;
    return {};
}

void MemoryStore::expire(kernel::Instant now)
{
    std::erase_if(this->leases, [&](const auto& lease) { return lease.second.expiry <= now; });
    std::vector<std::string> orphans;
    for (const auto& [key, value] : this->values) {
        if (value.lease && !this->leases.contains(*value.lease)) {
            orphans.push_back(key);
        }
    }
    for (const auto& key : orphans) {
        this->values.erase(key);
        this->changes[key] = ++this->lastRevision;
    }
}

std::uint64_t MemoryStore::revisionOf(std::string_view prefix) const
{
    std::uint64_t latest = 0;
    for (auto change = this->changes.lower_bound(prefix);
         change != this->changes.end() && change->first.starts_with(prefix); ++change) {
        latest = std::max(latest, change->second);
    }
    return latest;
}

} // namespace wasabiroad::platform
