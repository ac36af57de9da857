#include "wasabiroad/traffic/snapshot_progress.hpp"

#include <algorithm>

namespace wasabiroad::traffic {

std::optional<std::uint64_t> SnapshotProgress::report(std::size_t thread, std::uint64_t sequence)
{
    this->sequences.at(thread) = sequence;
    const auto slowest = *std::ranges::min_element(this->sequences);
    if (slowest <= this->inUse) {
        return std::nullopt;
    }
    this->inUse = slowest;
    return slowest;
}

} // namespace wasabiroad::traffic
