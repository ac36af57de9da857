#include "wasabiroad/agent/revision_clock.hpp"

#include <algorithm>

namespace wasabiroad::agent {

using kernel::Duration;
using kernel::Instant;

namespace {

/** Time after which responses are discarded; an older view is outdated for every user. */
constexpr Duration retention { 10000 };

/** Responses to calls that were sent closer together than this are merged. */
constexpr Duration resolution { 20 };

} // namespace

void RevisionClock::recordResponse(Instant sent, store::Revision revision)
{
    auto& known = this->observations;
    const auto later = std::ranges::lower_bound(known, sent, {}, &Observation::sent);
    if (later != known.end() && later->revision <= revision) {
        return;
    }
    // Revisions never decrease, so the store had at most this revision at all earlier times too. This makes
    // earlier observations of the same or a higher revision redundant.
    auto first = later;
    while (first != known.begin() && std::prev(first)->revision >= revision) {
        --first;
    }
    const auto next = known.erase(first, later);
    if (next == known.begin() || sent - std::prev(next)->sent >= resolution) {
        known.insert(next, { sent, revision });
    }
    while (known.back().sent - known.front().sent > retention) {
        known.pop_front();
    }
}

std::optional<Duration> RevisionClock::ageOf(store::Revision asOf, Instant now) const
{
    const auto beyond = std::ranges::upper_bound(this->observations, asOf, {}, &Observation::revision);
    return beyond != this->observations.begin() ? std::optional { now - std::prev(beyond)->sent }
                                                : std::nullopt;
}

std::string ageText(std::optional<Duration> age)
{
    return age ? std::to_string(age->milliseconds) : "unknown";
}

store::Store trackRevisions(std::shared_ptr<const store::Store> store, std::shared_ptr<RevisionClock> clock)
{
    return {
        .read = store->read,
        .list =
            [store, clock](std::string prefix, store::Callback<kernel::Expected<store::Listing>> callback) {
                store->list(std::move(prefix),
                    [clock, sent = kernel::bootNow(), callback = std::move(callback)](
                        kernel::Expected<store::Listing> listing) {
                        if (listing) {
                            clock->recordResponse(sent, listing->asOf);
                        }
                        callback(std::move(listing));
                    });
            },
        .watch =
            [store, clock](std::string prefix, store::Revision after, Duration wait,
                store::Callback<store::WatchOutcome> callback) {
                store->watch(std::move(prefix), after, wait,
                    [clock, sent = kernel::bootNow(), callback = std::move(callback)](
                        store::WatchOutcome outcome) {
                        if (const auto* const changes = std::get_if<store::KeyEvents>(&outcome)) {
                            clock->recordResponse(sent, changes->asOf);
                        }
                        callback(std::move(outcome));
                    });
            },
        .change =
            [store, clock](store::Change change, store::Callback<store::ChangeOutcome> callback) {
                store->change(std::move(change),
                    [clock, sent = kernel::bootNow(), callback = std::move(callback)](
                        store::ChangeOutcome outcome) {
                        if (const auto* const committed = std::get_if<store::Committed>(&outcome)) {
                            clock->recordResponse(sent, committed->revision);
                        }
                        callback(std::move(outcome));
                    });
            },
        .grant = store->grant,
        .renew = store->renew,
        .end = store->end,
    };
}

} // namespace wasabiroad::agent
