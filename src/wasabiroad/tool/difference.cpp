#include "wasabiroad/tool/difference.hpp"

#include <map>

namespace wasabiroad::tool {

namespace {

using Changes = std::vector<Change>;

std::string effectOf(const model::Vm* before, const model::Vm* after)
{
    if (before == nullptr) {
        return "joins pool " + after->pool.text() + " with " + std::to_string(after->slots) + " slots";
    }
    if (after == nullptr) {
        return "drains, then leaves pool " + before->pool.text();
    }
    if (before->pool != after->pool) {
        return "home pool changes from " + before->pool.text() + " to " + after->pool.text()
            + "; the ledger moves it within the budgets";
    }
    if (before->zone != after->zone) {
        return "availability zone changes; it counts as a removed and an added VM";
    }
    if (before->address != after->address) {
        return "new requests go to " + after->address;
    }
    return before->slots == after->slots
        ? std::string {}
        : "slots " + std::to_string(before->slots) + " to " + std::to_string(after->slots);
}

std::string effectOf(const model::Service* before, const model::Service* after)
{
    if (before == nullptr) {
        return "served by pool " + after->pool.text() + ", availability budget "
            + std::to_string(after->maxUnavailable);
    }
    if (after == nullptr) {
        return "requests are refused with unknown-service";
    }
    if (before->maxUnavailable != after->maxUnavailable) {
        return "availability budget " + std::to_string(before->maxUnavailable) + " to "
            + std::to_string(after->maxUnavailable);
    }
    return before->pool == after->pool ? std::string {} : "moves to pool " + after->pool.text();
}

template <typename Element> std::string effectOf(const Element*, const Element*) { return {}; }

template <typename Element>
std::map<std::remove_const_t<decltype(Element::id)>, const Element*> byId(
    const std::vector<Element>& elements)
{
    std::map<std::remove_const_t<decltype(Element::id)>, const Element*> index;
    for (const auto& element : elements) {
        index.emplace(element.id, &element);
    }
    return index;
}

template <typename Element>
void compare(const std::string& subject, const std::vector<Element>& current,
    const std::vector<Element>& next, Changes& changes)
{
    const auto before = byId(current);
    const auto after = byId(next);
    for (const auto& [id, element] : before) {
        if (!after.contains(id)) {
            const Element* const none = nullptr;
            changes.emplace_back(Change { ChangeKind::Removed, subject, id.text(), effectOf(element, none) });
        }
    }
    for (const auto& [id, element] : after) {
        const auto old = before.find(id);
        const Element* const previous = old == before.end() ? nullptr : old->second;
        if (previous == nullptr || *previous != *element) {
            const auto kind = previous == nullptr ? ChangeKind::Added : ChangeKind::Changed;
            changes.emplace_back(Change { kind, subject, id.text(), effectOf(previous, element) });
        }
    }
}

} // namespace

std::string_view name(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return "unlisted";
}

std::vector<Change> difference(const model::Manifest& current, const model::Manifest& next)
{
    Changes changes;
    compare("zone", current.zones, next.zones, changes);
    compare("pool", current.pools, next.pools, changes);
    compare("vm", current.vms, next.vms, changes);
    compare("service", current.services, next.services, changes);
    compare("team", current.teams, next.teams, changes);
    compare("wave", current.waves, next.waves, changes);
    if (current.policies != next.policies) {
        changes.emplace_back(Change { ChangeKind::Changed, "policies", next.site.text() });
    }
    if (current.weights != next.weights) {
        changes.emplace_back(Change { ChangeKind::Changed, "weights", next.site.text() });
    }
    return changes;
}

} // namespace wasabiroad::tool
