#include "wasabiroad/standin/key_value.hpp"

#include "wasabiroad/kernel/timer.hpp"

#include <algorithm>

namespace wasabiroad::standin {

using kernel::Duration;
using kernel::Instant;

namespace {

/** Time of an answer. */
constexpr Duration latency { 2 };

/** Time after which a caller gives up on a silent store. */
constexpr Duration silence { 300 };

Instant now() { return kernel::now(kernel::SteadyClock {}); }

kernel::Error timeout() { return { kernel::ResultCode::PlatformTimeout, "store", "no answer" }; }

kernel::Error refusal() { return { kernel::ResultCode::PlatformRejected, "store", "503" }; }

std::string_view keyOf(const store::KeyEvent& event)
{
    return std::visit([](const auto& specific) -> std::string_view { return specific.key; }, event);
}

bool isRefused(const store::Change& change, const std::string& prefix)
{
    return !prefix.empty() && std::ranges::any_of(change.puts, [&](const store::Put& put) {
        return put.key.starts_with(prefix);
    });
}

} // namespace

KeyValue::KeyValue(boost::asio::io_context& ioContext)
    : context(ioContext)
{
}

store::Store KeyValue::connect(std::shared_ptr<StoreFaults> faults)
{
    const auto reading = [this, faults](auto callback, auto answer) {
        if (faults->silent) {
            kernel::callLater(this->context, silence, [callback] { callback(tl::unexpected(timeout())); });
        } else if (faults->busy) {
            kernel::callLater(this->context, latency, [callback] { callback(tl::unexpected(refusal())); });
        } else {
            kernel::callLater(this->context, latency, [this, callback, answer] {
                expireLeases();
                callback(answer());
            });
        }
    };
    return {
        .read =
            [this, reading](const std::string& key,
                const store::Callback<kernel::Expected<std::optional<store::Entry>>>& callback) {
                reading(callback,
                    [this, key]() -> kernel::Expected<std::optional<store::Entry>> { return find(key); });
            },
        .list =
            [this, faults, reading](const std::string& prefix,
                const store::Callback<kernel::Expected<store::Listing>>& callback) {
                ++faults->lists;
                const auto delayed
                    = [this, faults, callback](const kernel::Expected<store::Listing>& listing) {
                          if (faults->listDelay.milliseconds == 0) {
                              callback(listing);
                              return;
                          }
                          kernel::callLater(
                              this->context, faults->listDelay, [callback, listing] { callback(listing); });
                      };
                reading(delayed, [this, faults, prefix]() -> kernel::Expected<store::Listing> {
                    if (!faults->omittedPrefix.empty() && prefix.starts_with(faults->omittedPrefix)) {
                        return store::Listing { {}, { this->revision } };
                    }
                    auto listing = list(prefix);
                    this->listed[prefix] += listing.entries.size();
                    return listing;
                });
            },
        .watch =
            [this, faults](std::string prefix, store::Revision after, Duration wait,
                store::Callback<store::WatchOutcome> callback) {
                watch(std::move(prefix), after, wait, faults, std::move(callback));
            },
        .change =
            [this, faults](
                const store::Change& change, const store::Callback<store::ChangeOutcome>& callback) {
                if (faults->silent) {
                    kernel::callLater(this->context, silence,
                        [callback] { callback(store::OutcomeUnknown { timeout() }); });
                    return;
                }
                if (faults->changeDelay.milliseconds != 0) {
                    kernel::callLater(this->context, faults->changeDelay, [this, change] {
                        expireLeases();
                        apply(change);
                    });
                    kernel::callLater(this->context, silence,
                        [callback] { callback(store::OutcomeUnknown { timeout() }); });
                    return;
                }
                kernel::callLater(this->context, latency, [this, faults, change, callback] {
                    if (faults->busy || isRefused(change, faults->refusedPrefix)) {
                        callback(store::NotDone { refusal() });
                        return;
                    }
                    expireLeases();
                    auto outcome = apply(change);
                    if (faults->losesAnswers) {
                        kernel::callLater(this->context, silence,
                            [callback] { callback(store::OutcomeUnknown { timeout() }); });
                        return;
                    }
                    callback(std::move(outcome));
                });
            },
        .grant =
            [this, reading](
                Duration lifetime, const store::Callback<kernel::Expected<store::Lease>>& callback) {
                reading(callback, [this, lifetime]() -> kernel::Expected<store::Lease> {
                    const auto lease = ++this->numbers;
                    this->leases[lease] = { lifetime, now() + lifetime };
                    return store::Lease { { lease }, lifetime };
                });
            },
        .renew =
            [this, faults, reading](
                store::LeaseId lease, const store::Callback<kernel::Expected<bool>>& callback) {
                const auto answer = [this, faults, callback](const kernel::Expected<bool>& alive) {
                    if (!faults->losesRenewals) {
                        callback(alive);
                        return;
                    }
                    kernel::callLater(
                        this->context, silence, [callback] { callback(tl::unexpected(timeout())); });
                };
                reading(answer, [this, lease]() -> kernel::Expected<bool> {
                    const auto found = this->leases.find(lease.value);
                    if (found == this->leases.end()) {
                        return false;
                    }
                    found->second.second = now() + found->second.first;
                    return true;
                });
            },
        .end =
            [this, reading](store::LeaseId lease, const store::Callback<kernel::Expected<void>>& callback) {
                reading(callback, [this, lease]() -> kernel::Expected<void> {
                    endLease(lease.value);
                    return {};
                });
            },
    };
}

void KeyValue::put(const std::string& key, const std::string& value)
{
    apply({ {}, { { key, value } }, {} });
}

std::optional<store::Entry> KeyValue::find(const std::string& key) const
{
    const auto found = this->items.find(key);
    return found != this->items.end() ? std::optional { entryOf(key, found->second) } : std::nullopt;
}

std::size_t KeyValue::listedCount(const std::string& prefix) const
{
    std::size_t count = 0;
    for (const auto& [asked, entries] : this->listed) {
        count += asked.starts_with(prefix) ? entries : 0;
    }
    return count;
}

store::Listing KeyValue::list(const std::string& prefix) const
{
    std::vector<store::Entry> entries;
    for (const auto& [key, item] : this->items) {
        if (key.starts_with(prefix)) {
            entries.push_back(entryOf(key, item));
        }
    }
    return { std::move(entries), { this->revision } };
}

store::Entry KeyValue::entryOf(const std::string& key, const Item& item) const
{
    return { key, item.value, { item.revision }, { item.created } };
}

store::ChangeOutcome KeyValue::apply(const store::Change& change)
{
    std::vector<store::Entry> current;
    bool holds = true;
    for (const auto& condition : change.conditions) {
        const auto found = this->items.find(condition.key);
        const auto actual = found != this->items.end() ? found->second.revision : 0;
        holds = holds && actual == condition.revision.value;
        if (found != this->items.end()) {
            current.push_back(entryOf(condition.key, found->second));
        }
    }
    if (!holds) {
        return store::Conflict { std::move(current) };
    }
    for (const auto& put : change.puts) {
        if (put.lease.value != 0 && !this->leases.contains(put.lease.value)) {
            return store::LeaseEnded {};
        }
    }
    ++this->revision;
    const auto made = this->revision;
    for (const auto& put : change.puts) {
        auto& item = this->items[put.key];
        item = { put.value, made, item.created != 0 ? item.created : made, put.lease.value };
        record(entryOf(put.key, item));
    }
    for (const auto& key : change.removals) {
        remove(key, made);
    }
    answerWatches();
    return store::Committed { { made } };
}

void KeyValue::remove(const std::string& key, std::uint64_t made)
{
    if (this->items.erase(key) != 0) {
        record(store::Removed { key, { made } });
    }
}

void KeyValue::record(store::KeyEvent event) { this->history.emplace_back(this->revision, std::move(event)); }

void KeyValue::dropHistory()
{
    this->history.clear();
    this->historyFrom = ++this->revision;
    answerWatches();
}

store::WatchOutcome KeyValue::eventsAfter(const std::string& prefix, std::uint64_t after) const
{
    if (after < this->historyFrom) {
        return store::HistoryGone {};
    }
    std::vector<store::KeyEvent> events;
    for (const auto& [made, event] : this->history) {
        if (made > after && keyOf(event).starts_with(prefix)) {
            events.push_back(event);
        }
    }
    return store::KeyEvents { std::move(events), { this->revision } };
}

void KeyValue::watch(std::string prefix, store::Revision after, Duration wait,
    const std::shared_ptr<StoreFaults>& faults, store::Callback<store::WatchOutcome> callback)
{
    if (faults->silent || faults->silentWatches) {
        kernel::callLater(this->context, wait + silence, [callback] { callback(timeout()); });
        return;
    }
    const auto number = ++this->numbers;
    this->watches.push_back({ std::move(prefix), after.value, faults, std::move(callback), number });
    kernel::callLater(this->context, latency, [this] { answerWatches(); });
    kernel::callLater(this->context, wait, [this, number] {
        const auto found = std::ranges::find(this->watches, number, &Watch::number);
        if (found == this->watches.end()) {
            return;
        }
        const auto watch = *found;
        this->watches.erase(found);
        if (watch.faults->silent || watch.faults->silentWatches) {
            kernel::callLater(this->context, silence, [callback = watch.callback] { callback(timeout()); });
        } else {
            watch.callback(eventsAfter(watch.prefix, watch.after));
        }
    });
}

void KeyValue::answerWatches()
{
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        auto outcome = eventsAfter(watch->prefix, watch->after);
        const auto* const events = std::get_if<store::KeyEvents>(&outcome);
        if (watch->faults->silent || watch->faults->silentWatches
            || (events != nullptr && events->events.empty())) {
            ++watch;
            continue;
        }
        kernel::callLater(
            this->context, latency, [callback = watch->callback, outcome] { callback(outcome); });
        watch = this->watches.erase(watch);
    }
}

void KeyValue::endLease(std::uint64_t lease)
{
    this->leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        apply({ {}, {}, keys });
    }
}

void KeyValue::removeUnseen(const std::string& key)
{
    ++this->revision;
    this->items.erase(key);
}

void KeyValue::endLeases()
{
    const auto all = this->leases;
    for (const auto& [lease, times] : all) {
        endLease(lease);
    }
}

void KeyValue::expireLeases()
{
    const auto all = this->leases;
    for (const auto& [lease, times] : all) {
        if (times.second < now()) {
            endLease(lease);
        }
    }
}

} // namespace wasabiroad::standin
