#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace wasabiroad::traffic {

/**
 * @brief Tracks which snapshot every traffic thread uses.
 * A snapshot is in use once the slowest thread has it, so progress is the minimum over threads.
 */
class SnapshotProgress {
public:
    /** @param threads Number of traffic threads, at least 1. */
    explicit SnapshotProgress(std::size_t threads)
        : sequences(threads, 0)
    {
    }

    /**
     * @brief Records that a thread uses a snapshot.
     * @return The latest snapshot that all threads use, when it advanced.
     */
    std::optional<std::uint64_t> report(std::size_t thread, std::uint64_t sequence);

private:
    std::vector<std::uint64_t> sequences;
    std::uint64_t inUse { 0 };
};

} // namespace wasabiroad::traffic
