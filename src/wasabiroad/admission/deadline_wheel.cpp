#include "wasabiroad/admission/deadline_wheel.hpp"

#include <algorithm>
#include <bit>

namespace wasabiroad::admission {

namespace {

std::uint64_t ticks(kernel::Instant instant)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, instant.milliseconds));
}

} // namespace

DeadlineWheel::DeadlineWheel() { this->heads.fill(none); }

void DeadlineWheel::add(std::uint32_t id, kernel::Instant due)
{
    if (id >= this->nodes.size()) {
        this->nodes.resize(id + 1);
    }
    this->nodes[id].due = ticks(due);
    insert(id);
}

void DeadlineWheel::insert(std::uint32_t id)
{
    auto& node = this->nodes[id];
    const auto due = std::max(node.due, this->current);
    // The highest digit of `bitsPerLevel` bits in which the due time differs from the current time selects
    // the level, so entries of lower levels are due first. An entry stays in its bucket until the current
    // time reaches the bucket's first instant.
    const auto difference = due ^ this->current;
    const auto level = difference == 0
        ? 0U
        : (63U - static_cast<std::uint32_t>(std::countl_zero(difference))) / bitsPerLevel;
    const auto slot = static_cast<std::uint32_t>(due >> (level * bitsPerLevel)) % slotsPerLevel;
    node.bucket = level * slotsPerLevel + slot;
    node.previous = none;
    node.next = this->heads[node.bucket];
    if (node.next != none) {
        this->nodes[node.next].previous = id;
    }
    this->heads[node.bucket] = id;
    this->occupied[level] |= std::uint64_t { 1 } << slot;
}

void DeadlineWheel::remove(std::uint32_t id)
{
    if (id >= this->nodes.size() || this->nodes[id].bucket == none) {
        return;
    }
    auto& node = this->nodes[id];
    (node.previous == none ? this->heads[node.bucket] : this->nodes[node.previous].next) = node.next;
    if (node.next != none) {
        this->nodes[node.next].previous = node.previous;
    }
    if (this->heads[node.bucket] == none) {
        this->occupied[node.bucket / slotsPerLevel]
            &= ~(std::uint64_t { 1 } << (node.bucket % slotsPerLevel));
    }
    node.bucket = none;
}

void DeadlineWheel::advance(kernel::Instant now, std::vector<std::uint32_t>& due)
{
    const auto target = ticks(now);
    while (true) {
        const auto level = static_cast<std::uint32_t>(std::ranges::find_if(this->occupied, [](auto bits) {
            return bits != 0;
        }) - this->occupied.begin());
        if (level == levels) {
            break;
        }
        const auto slot = static_cast<std::uint32_t>(std::countr_zero(this->occupied[level]));
        const auto shift = level * bitsPerLevel;
        const auto levelBase = shift + bitsPerLevel < 64
            ? (this->current >> (shift + bitsPerLevel)) << (shift + bitsPerLevel)
            : 0;
        const auto bucketStart = levelBase | (std::uint64_t { slot } << shift);
        if (bucketStart > target) {
            break;
        }
        this->current = std::max(this->current, bucketStart);
        const auto bucket = level * slotsPerLevel + slot;
        while (this->heads[bucket] != none) {
            const auto id = this->heads[bucket];
            remove(id);
            if (level == 0) {
                due.push_back(id);
            } else {
                insert(id);
            }
        }
    }
    this->current = std::max(this->current, target);
}

} // namespace wasabiroad::admission
