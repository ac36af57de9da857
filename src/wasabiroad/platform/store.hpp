#pragma once

#include "wasabiroad/platform/http_store.hpp"
#include "wasabiroad/platform/memory_store.hpp"

#include <memory>
#include <variant>

#include <boost/asio/awaitable.hpp>

namespace wasabiroad::platform {

/** @brief A store in the memory of this process, for tests. */
struct LocalStore {
    const std::shared_ptr<MemoryStore> memory;
};

/** @brief Back ends of the platform's key-value service. */
using Store = std::variant<HttpStore, LocalStore>;

template <typename Value> using Result = boost::asio::awaitable<kernel::Expected<Value>>;

/** @brief Reads a key. Errors: KeyNotFound, PlatformUnreachable, PlatformTimeout, PlatformRejected. */
Result<Entry> get(Store store, std::string key);

/** @brief Lists the entries under a prefix. Errors: PlatformUnreachable, PlatformTimeout, PlatformRejected.
 */
Result<Listing> list(Store store, std::string prefix);

/**
 * @brief Writes a key by compare-and-swap.
 * @param ifVersion Version that the key must have; 0 when it must not exist.
 * @return The new version. Errors: VersionConflict, PlatformUnreachable, PlatformRejected, and
 * PlatformTimeout when the write may have taken effect; the caller then reads the key back.
 */
Result<std::uint64_t> put(Store store, std::string key, std::string value, std::uint64_t ifVersion);

/**
 * @brief Waits until a key under the prefix changes after a revision.
 * @param wait Longest wait; the platform counts the call as one.
 * @return The listing at that time, unchanged when the wait ended first.
 */
Result<Listing> watch(Store store, std::string prefix, std::uint64_t after, kernel::Duration wait);

/** @brief Reads the lagging list of VMs. Errors: PlatformUnreachable, PlatformTimeout, PlatformRejected. */
Result<std::vector<ListedVm>> listVms(Store store);

/**
 * @brief Stops a VM for maintenance, once for each step; a repeated or older step has no effect.
 * @param step Step of the ledger that allowed the stop.
 * @return Whether this call started the stop. Errors: PlatformUnreachable, PlatformTimeout, PlatformRejected.
 */
Result<bool> startMaintenance(Store store, std::string vm, std::uint64_t step);

} // namespace wasabiroad::platform
