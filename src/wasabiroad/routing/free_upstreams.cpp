#include "wasabiroad/routing/free_upstreams.hpp"

#include <bit>

namespace wasabiroad::routing {

namespace {

constexpr std::uint32_t bitsPerWord = 64;

} // namespace

std::uint32_t FreeUpstreams::add()
{
    const auto member = size();
    this->positions.emplace_back();
    if (member % bitsPerWord == 0) {
        this->freeBits.push_back(0);
    }
    return member;
}

void FreeUpstreams::markFree(std::uint32_t member, std::uint32_t outstanding)
{
    if (this->positions[member].bucket == outstanding) {
        return;
    }
    markUnavailable(member);
    if (this->buckets.size() <= outstanding) {
        this->buckets.resize(outstanding + 1);
    }
    auto& bucket = this->buckets[outstanding];
    this->positions[member] = { outstanding, static_cast<std::uint32_t>(bucket.size()) };
    bucket.push_back(member);
    this->freeBits[member / bitsPerWord] |= std::uint64_t { 1 } << (member % bitsPerWord);
    ++this->freeCount;
}

void FreeUpstreams::markUnavailable(std::uint32_t member)
{
    const auto position = this->positions[member];
    if (position.bucket == noBucket) {
        return;
    }
    auto& bucket = this->buckets[position.bucket];
    const auto last = bucket.back();
    bucket[position.index] = last;
    this->positions[last].index = position.index;
    bucket.pop_back();
    this->positions[member].bucket = noBucket;
    this->freeBits[member / bitsPerWord] &= ~(std::uint64_t { 1 } << (member % bitsPerWord));
    --this->freeCount;
}

std::uint32_t FreeUpstreams::leastLoad() const
{
    std::uint32_t load = 0;
    while (load < this->buckets.size() && this->buckets[load].empty()) {
        ++load;
    }
    return load < this->buckets.size() ? load : 0;
}

std::optional<std::uint32_t> FreeUpstreams::leastLoaded(
    std::uint64_t draw, std::optional<std::uint32_t> avoid) const
{
    std::optional<std::uint32_t> last;
    for (const auto& bucket : this->buckets) {
        if (bucket.empty()) {
            continue;
        }
        const auto start = draw % bucket.size();
        if (bucket[start] != avoid) {
            return bucket[start];
        }
        if (bucket.size() > 1) {
            return bucket[(start + 1) % bucket.size()];
        }
        last = bucket[start];
    }
    return last;
}

std::optional<std::uint32_t> FreeUpstreams::nextFree(
    std::uint32_t from, std::optional<std::uint32_t> avoid) const
{
    if (this->freeCount == 0) {
        return std::nullopt;
    }
    const auto start = from % size();
    auto found = firstFree(start, size());
    if (!found) {
        found = firstFree(0, start);
    }
    if (found == avoid && this->freeCount > 1) {
        return nextFree(*found + 1, std::nullopt);
    }
    return found;
}

std::optional<std::uint32_t> FreeUpstreams::firstFree(std::uint32_t from, std::uint32_t to) const
{
    auto position = from;
    while (position < to) {
        const auto word = this->freeBits[position / bitsPerWord] >> (position % bitsPerWord);
        if (word != 0) {
            position += static_cast<std::uint32_t>(std::countr_zero(word));
            return position < to ? std::optional { position } : std::nullopt;
        }
        position = (position / bitsPerWord + 1) * bitsPerWord;
    }
    return std::nullopt;
}

} // namespace wasabiroad::routing
