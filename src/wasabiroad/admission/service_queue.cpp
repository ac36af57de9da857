#include "wasabiroad/admission/service_queue.hpp"

#include <algorithm>

namespace wasabiroad::admission {

std::uint32_t ServiceQueue::lanePairFor(const Requirement& requirement)
{
    const auto found = std::ranges::find(this->lanePairs, requirement, &LanePair::requirement);
    const auto index = static_cast<std::uint32_t>(found - this->lanePairs.begin());
    if (found == this->lanePairs.end()) {
        this->lanePairs.emplace_back(LanePair { .requirement = requirement });
    }
    return index;
}

void ServiceQueue::push(RequestTable& table, RecordIndex index, Lane::End end, const TeamShares& shares)
{
    laneOf(table[index]).push(table, index, end, shares);
    adjustCounts(table[index], 1);
}

void ServiceQueue::erase(RequestTable& table, RecordIndex index)
{
    laneOf(table[index]).erase(table, index);
    adjustCounts(table[index], -1);
}

void ServiceQueue::adjustCounts(const Record& record, int change)
{
    const auto index = static_cast<std::size_t>(record.workClass);
    this->queuedCounts[index] += static_cast<std::size_t>(change);
    // Reset when the class is empty, so that rounding errors do not accumulate.
    this->queuedWork[index]
        = this->queuedCounts[index] == 0 ? 0 : this->queuedWork[index] + change * record.estimate;
}

std::optional<Choice> ServiceQueue::choose(
    const model::QueuePolicy& policy, const SlotTable& slots, ServePass pass, kernel::Instant now) const
{
    std::optional<Choice> best;
    for (const auto& pair : this->lanePairs) {
        for (const auto workClass : { WorkClass::Short, WorkClass::Long }) {
            const auto head = pair.lanes[static_cast<std::size_t>(workClass)].head();
            if (!head) {
                continue;
            }
            const QueueCandidate candidate { workClass, head->atShare, pair.overtaken, head->order };
            const auto candidateRank = rank(policy, candidate);
            if (best && best->rank < candidateRank) {
                continue;
            }
            const bool excludeReserved = workClass == WorkClass::Long && !atOvertakeBound(policy, candidate);
            if (excludeReserved && pass == ServePass::Urgent) {
                continue;
            }
            if (const auto tier = slots.findTier(pair.route, policy, excludeReserved, now)) {
                best.emplace(Choice { head->record, candidateRank, *tier });
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
        this->lanePairs[record.lanePair].overtaken = 0;
    }
}

void ServiceQueue::recordOvertake(std::uint64_t order, std::uint32_t upstream, const SlotTable& slots)
{
    for (auto& pair : this->lanePairs) {
        const auto head = pair.lanes[static_cast<std::size_t>(WorkClass::Long)].head();
        // A slot that the long request could not have used is no overtake.
        if (head && !head->atShare && head->order < order && slots.meets(upstream, pair.requirement)) {
            ++pair.overtaken;
        }
    }
}

void ServiceQueue::setAtShare(std::uint32_t team, bool atShare)
{
    for (auto& pair : this->lanePairs) {
        for (auto& lane : pair.lanes) {
            lane.setAtShare(team, atShare);
        }
    }
}

void ServiceQueue::updateShares(const TeamShares& shares)
{
    for (auto& pair : this->lanePairs) {
        for (auto& lane : pair.lanes) {
            lane.updateShares(shares);
        }
    }
}

double ServiceQueue::expectedWait(WorkClass workClass, std::uint32_t reserved) const
{
    // Each slot held by a class reduces its queued work by 1 ms per ms, assuming that a request that ends is
    // followed by one of the same class. A class whose queue has just formed may hold few or no slots, so
    // short work counts at least the reserved slots, and long work without a slot counts those of both
    // classes.
    const auto index = static_cast<std::size_t>(workClass);
    const auto held = this->running[index];
    const auto all = this->running[0] + this->running[1];
    const auto slots = workClass == WorkClass::Short ? std::max(held, reserved) : (held > 0 ? held : all);
    return this->queuedWork[index] / std::max(1U, slots);
}

void ServiceQueue::adjustRunning(WorkClass workClass, int change)
{
    this->running[static_cast<std::size_t>(workClass)] += static_cast<std::uint32_t>(change);
}

} // namespace wasabiroad::admission
