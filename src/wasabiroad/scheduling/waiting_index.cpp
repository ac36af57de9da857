#include "wasabiroad/scheduling/waiting_index.hpp"

namespace wasabiroad::scheduling {

namespace {

bool fits(const jobs::Resources& needed, const jobs::Resources& room)
{
    return needed.cpu <= room.cpu && needed.memory <= room.memory && needed.accelerators <= room.accelerators;
}

} // namespace

void WaitingIndex::removeHead(const Group& group)
{
    if (!group.blocked && !group.steps.empty()) {
        this->heads.erase(*group.steps.begin());
    }
}

void WaitingIndex::insertHead(const Group& group)
{
    if (!group.blocked && !group.steps.empty()) {
        this->heads.insert(*group.steps.begin());
    }
}

void WaitingIndex::insert(const Rank& rank, const Requirements& requirements)
{
    auto& group = this->groups[requirements];
    removeHead(group);
    group.steps.insert(rank);
    insertHead(group);
}

void WaitingIndex::erase(const Rank& rank, const Requirements& requirements)
{
    const auto found = this->groups.find(requirements);
    if (found == this->groups.end()) {
        return;
    }
    removeHead(found->second);
    found->second.steps.erase(rank);
    insertHead(found->second);
    if (found->second.steps.empty()) {
        this->blocked.erase(requirements);
        this->groups.erase(found);
    }
}

const StepId* WaitingIndex::first() const
{
    return this->heads.empty() ? nullptr : &this->heads.begin()->step;
}

void WaitingIndex::block(const Requirements& requirements)
{
    const auto found = this->groups.find(requirements);
    if (found != this->groups.end()) {
        removeHead(found->second);
        found->second.blocked = true;
        this->blocked.insert(requirements);
    }
}

std::size_t WaitingIndex::unblock(const jobs::Resources& room)
{
    std::size_t compared = 0;
    for (auto requirements = this->blocked.begin();
         requirements != this->blocked.end() && requirements->resources.cpu <= room.cpu;) {
        ++compared;
        if (!fits(requirements->resources, room)) {
            ++requirements;
            continue;
        }
        auto& group = this->groups.at(*requirements);
        group.blocked = false;
        insertHead(group);
        requirements = this->blocked.erase(requirements);
    }
    return compared;
}

} // namespace wasabiroad::scheduling
