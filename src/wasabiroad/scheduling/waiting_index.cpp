#include "wasabiroad/scheduling/waiting_index.hpp"

namespace wasabiroad::scheduling {

namespace {

bool fits(const jobs::Resources& needed, const jobs::Resources& room)
{
    return needed.cpu <= room.cpu && needed.memory <= room.memory && needed.accelerators <= room.accelerators;
}

} // namespace

void WaitingIndex::hideFirst(const Class& held)
{
    if (!held.aside && !held.steps.empty()) {
        this->heads.erase(*held.steps.begin());
    }
}

void WaitingIndex::showFirst(const Class& held)
{
    if (!held.aside && !held.steps.empty()) {
        this->heads.insert(*held.steps.begin());
    }
}

void WaitingIndex::insert(const Rank& rank, const Needs& needs)
{
    auto& held = this->classes[needs];
    hideFirst(held);
    held.steps.insert(rank);
    showFirst(held);
}

void WaitingIndex::erase(const Rank& rank, const Needs& needs)
{
    const auto found = this->classes.find(needs);
    if (found == this->classes.end()) {
        return;
    }
    hideFirst(found->second);
    found->second.steps.erase(rank);
    showFirst(found->second);
    if (found->second.steps.empty()) {
        this->aside.erase(needs);
        this->classes.erase(found);
    }
}

const StepId* WaitingIndex::first() const
{
    return this->heads.empty() ? nullptr : &this->heads.begin()->step;
}

void WaitingIndex::setAside(const Needs& needs)
{
    const auto found = this->classes.find(needs);
    if (found != this->classes.end()) {
        hideFirst(found->second);
        found->second.aside = true;
        this->aside.insert(needs);
    }
}

std::size_t WaitingIndex::takeBack(const jobs::Resources& room)
{
    std::size_t compared = 0;
    for (auto needs = this->aside.begin(); needs != this->aside.end() && needs->resources.cpu <= room.cpu;) {
        ++compared;
        if (!fits(needs->resources, room)) {
            ++needs;
            continue;
        }
        auto& held = this->classes.at(*needs);
        held.aside = false;
        showFirst(held);
        needs = this->aside.erase(needs);
    }
    return compared;
}

} // namespace wasabiroad::scheduling
