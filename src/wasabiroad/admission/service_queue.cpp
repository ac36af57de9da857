#include "wasabiroad/admission/service_queue.hpp"

#include <algorithm>

namespace wasabiroad::admission {

std::uint32_t ServiceQueue::laneOf(const Requirement& requirement)
{
    const auto found = std::ranges::find(this->pairs, requirement, &LanePair::requirement);
    const auto index = static_cast<std::uint32_t>(found - this->pairs.begin());
    if (found == this->pairs.end()) {
        this->pairs.emplace_back(LanePair { .requirement = requirement });
    }
    return index;
}

void ServiceQueue::push(RequestTable& table, RecordIndex index, Lane::End end, const TeamShares& shares)
{
    laneOf(table[index]).push(table, index, end, shares);
    count(table[index], 1);
}

void ServiceQueue::erase(RequestTable& table, RecordIndex index)
{
    laneOf(table[index]).erase(table, index);
    count(table[index], -1);
}

void ServiceQueue::count(const Record& record, int change)
{
    const auto index = static_cast<std::size_t>(record.workClass);
    this->counts[index] += static_cast<std::size_t>(change);
    // Rounding errors of many additions do not outlive an empty queue.
    this->queuedWork[index]
        = this->counts[index] == 0 ? 0 : this->queuedWork[index] + change * record.estimate;
}

std::optional<Choice> ServiceQueue::choose(
    const model::QueuePolicy& policy, const SlotTable& slots, Part part, kernel::Instant now) const
{
    std::optional<Choice> best;
    for (const auto& pair : this->pairs) {
        for (const auto workClass : { WorkClass::Short, WorkClass::Long }) {
            const auto head = pair.lanes[static_cast<std::size_t>(workClass)].head();
            if (!head) {
                continue;
            }
            const Waiting waiting { workClass, head->overShare, pair.overtaken, head->order };
            const auto itsRank = rank(policy, waiting);
            if (best && best->rank < itsRank) {
                continue;
            }
            const bool limited = workClass == WorkClass::Long && !atBound(policy, waiting);
            if (limited && part == Part::Urgent) {
                continue;
            }
            if (const auto tier = slots.findTier(pair.route, policy, limited, now)) {
                best.emplace(Choice { head->record, itsRank, *tier });
            }
        }
    }
    return best;
}

void ServiceQueue::grant(RequestTable& table, RecordIndex index)
{
    const auto& record = table[index];
    erase(table, index);
    if (record.workClass == WorkClass::Long) {
        this->pairs[record.lane].overtaken = 0;
    }
}

void ServiceQueue::overtake(std::uint64_t order, std::uint32_t upstream, const SlotTable& slots)
{
    for (auto& pair : this->pairs) {
        const auto head = pair.lanes[static_cast<std::size_t>(WorkClass::Long)].head();
        // A slot that the long request could not have used does not count against its bound.
        if (head && !head->overShare && head->order < order && slots.meets(upstream, pair.requirement)) {
            ++pair.overtaken;
        }
    }
}

void ServiceQueue::setOverShare(std::uint32_t team, bool overShare)
{
    for (auto& pair : this->pairs) {
        for (auto& lane : pair.lanes) {
            lane.setOverShare(team, overShare);
        }
    }
}

void ServiceQueue::refresh(const TeamShares& shares)
{
    for (auto& pair : this->pairs) {
        for (auto& lane : pair.lanes) {
            lane.refresh(shares);
        }
    }
}

double ServiceQueue::expectedWait(WorkClass workClass) const
{
    // Each slot that a class holds works off one ms of its queue in a ms; short work that ends is
    // followed by short work, and long by long.
    const auto index = static_cast<std::size_t>(workClass);
    return this->queuedWork[index] / std::max(1U, this->running[index]);
}

void ServiceQueue::countRunning(WorkClass workClass, int change)
{
    this->running[static_cast<std::size_t>(workClass)] += static_cast<std::uint32_t>(change);
}

} // namespace wasabiroad::admission
