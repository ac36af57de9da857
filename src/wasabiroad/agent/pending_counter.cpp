#include "wasabiroad/agent/pending_counter.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/kernel/log.hpp"

#include <set>

namespace wasabiroad::agent {

using kernel::Duration;
using kernel::Instant;

namespace {

/** Lifetime of a cached count; short compared with the 2 s that counts may be old. */
constexpr Duration cacheLifetime { 500 };

} // namespace

std::uint64_t PendingView::countOf(const jobs::QueueId& queue) const
{
    const auto found = this->counts.find(queue);
    return found != this->counts.end() ? found->second : 0;
}

PendingView countPending(
    const model::ServiceId& service, const store::Listing& progress, const store::Listing& open)
{
    std::set<std::string_view> begun;
    for (const auto& entry : progress.entries) {
        begun.insert(std::string_view { entry.key }.substr(keys::progressOf(service).size()));
    }
    jobs::PendingCounts counts;
    for (const auto& entry : open.entries) {
        if (begun.contains(std::string_view { entry.key }.substr(keys::jobsOf(service).size()))) {
            continue;
        }
        const auto job = jobs::decodeJob(entry.value);
        if (!job) {
            kernel::logEvent(
                "job-unreadable", { { "key", entry.key }, { "revision", entry.revision.value } });
            continue;
        }
        if (job->firstDue == Instant {}) {
            ++counts[job->queue];
        }
    }
    return { std::move(counts), open.asOf };
}

PendingCounter::PendingCounter(std::shared_ptr<const store::Store> jobStore)
    : store(std::move(jobStore))
{
}

void PendingCounter::count(const model::ServiceId& service, store::Callback<CountResult> callback)
{
    const auto last = this->cache.find(service);
    if (last != this->cache.end() && kernel::bootNow() - last->second.sent < cacheLifetime) {
        callback(last->second.view);
        return;
    }
    auto& callers = this->callbacks[service];
    callers.push_back(std::move(callback));
    if (callers.size() > 1) {
        return;
    }
    this->poolsToCount.push_back(service);
    if (this->poolsToCount.size() == 1) {
        countNext();
    }
}

void PendingCounter::countNext()
{
    const auto& service = this->poolsToCount.front();
    const auto sent = kernel::bootNow();
    this->store->list(keys::progressOf(service),
        [self = shared_from_this(), service, sent](const kernel::Expected<store::Listing>& progress) {
            if (!progress) {
                self->finish(sent, tl::unexpected(progress.error()));
                return;
            }
            self->store->list(keys::jobsOf(service),
                [self, service, sent, progress = *progress](const kernel::Expected<store::Listing>& open) {
                    self->finish(sent,
                        open ? CountResult { countPending(service, progress, *open) }
                             : tl::unexpected(open.error()));
                });
        });
}

void PendingCounter::finish(Instant sent, const CountResult& counted)
{
    const auto service = this->poolsToCount.front();
    this->poolsToCount.pop_front();
    if (counted) {
        this->cache.erase(service);
        this->cache.emplace(service, CachedCount { *counted, sent });
    }
    const auto callers = std::exchange(this->callbacks[service], {});
    if (!this->poolsToCount.empty()) {
        countNext();
    }
    for (const auto& callback : callers) {
        callback(counted);
    }
}

} // namespace wasabiroad::agent
