#include "wasabiroad/routing/free_upstreams.hpp"

#include <bit>

namespace wasabiroad::routing {

namespace {

constexpr std::uint32_t bitsPerWord = 64;

} // namespace

std::uint32_t FreeUpstreams::add()
{
    const auto member = size();
    this->places.emplace_back();
    if (member % bitsPerWord == 0) {
        this->freeBits.push_back(0);
    }
    return member;
}

void FreeUpstreams::offer(std::uint32_t member, std::uint32_t outstanding)
{
    if (this->places[member].bucket == outstanding) {
        return;
    }
    withdraw(member);
    if (this->buckets.size() <= outstanding) {
        this->buckets.resize(outstanding + 1);
    }
    auto& bucket = this->buckets[outstanding];
    this->places[member] = { outstanding, static_cast<std::uint32_t>(bucket.size()) };
    bucket.push_back(member);
    this->freeBits[member / bitsPerWord] |= std::uint64_t { 1 } << (member % bitsPerWord);
    ++this->available;
}

void FreeUpstreams::withdraw(std::uint32_t member)
{
    const auto place = this->places[member];
    if (place.bucket == noBucket) {
        return;
    }
    auto& bucket = this->buckets[place.bucket];
    const auto last = bucket.back();
    bucket[place.index] = last;
    this->places[last].index = place.index;
    bucket.pop_back();
    this->places[member].bucket = noBucket;
    this->freeBits[member / bitsPerWord] &= ~(std::uint64_t { 1 } << (member % bitsPerWord));
    --this->available;
}

std::uint32_t FreeUpstreams::leastLoad() const
{
    std::uint32_t load = 0;
    while (load < this->buckets.size() && this->buckets[load].empty()) {
        ++load;
    }
    return load < this->buckets.size() ? load : 0;
}

std::optional<std::uint32_t> FreeUpstreams::least(
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

std::optional<std::uint32_t> FreeUpstreams::next(std::uint32_t from, std::optional<std::uint32_t> avoid) const
{
    if (this->available == 0) {
        return std::nullopt;
    }
    const auto start = from % size();
    auto found = firstFree(start, size());
    if (!found) {
        found = firstFree(0, start);
    }
    if (found == avoid && this->available > 1) {
        return next(*found + 1, std::nullopt);
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
