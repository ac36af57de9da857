#include "wasabiroad/admission/request_table.hpp"

#include <memory>

namespace wasabiroad::admission {

namespace {

/** Allows 16 million requests at a time and 10^12 handles in a dispatcher's lifetime. */
constexpr std::uint32_t indexBits = 24;
constexpr std::uint64_t indexMask = (std::uint64_t { 1 } << indexBits) - 1;

} // namespace

RecordIndex RequestTable::create(const RequestAttributes& attributes)
{
    auto index = this->firstFree;
    if (index == noRecord) {
        index = size();
        this->records.emplace_back();
    } else {
        this->firstFree = this->records[index].next;
    }
    // The record is constructed anew, because its immutable attributes cannot be assigned.
    std::destroy_at(&this->records[index]);
    auto& record = *std::construct_at(&this->records[index]);
    record.handle = { (++this->serial << indexBits) | index };
    record.attributes.emplace(attributes);
    return index;
}

void RequestTable::release(RecordIndex index)
{
    setPhase(index, Phase::Free);
    auto& record = this->records[index];
    record.handle = {};
    record.attributes.reset();
    record.next = this->firstFree;
    this->firstFree = index;
}

Handle RequestTable::handleWithoutRecord() { return { (++this->serial << indexBits) | indexMask }; }

std::optional<RecordIndex> RequestTable::find(Handle handle) const
{
    const auto index = handle.value & indexMask;
    if (index >= this->records.size() || this->records[index].handle != handle || handle.value == 0) {
        return std::nullopt;
    }
    return static_cast<RecordIndex>(index);
}

void RequestTable::setPhase(RecordIndex index, Phase phase)
{
    auto& current = this->records[index].phase;
    if (current != Phase::Free) {
        --this->counts[static_cast<std::size_t>(current)];
    }
    if (phase != Phase::Free) {
        ++this->counts[static_cast<std::size_t>(phase)];
    }
    current = phase;
}

} // namespace wasabiroad::admission
