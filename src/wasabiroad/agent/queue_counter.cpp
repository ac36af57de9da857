#include "wasabiroad/agent/queue_counter.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/kernel/log.hpp"

#include <algorithm>

namespace wasabiroad::agent {

using kernel::Duration;

namespace {

/** Maximum age in ms of the pending counts that are returned to callers. */
constexpr Duration countAgeLimit { 2000 };

/** @return The report of a pool, or nothing if it cannot be decoded, which is logged. */
std::optional<jobs::PoolReport> decodeReport(const store::Entry& entry)
{
    auto report = jobs::decodePoolReport(entry.value);
    if (!report) {
        kernel::logEvent("report-unreadable", { { "key", entry.key }, { "revision", entry.revision.value } });
    }
    return report;
}

} // namespace

/** @brief The count of a queue while some of its pools are still being counted. */
struct QueueCounter::Sum {
    const jobs::QueueId queue {};
    const Callback callback {};
    const std::size_t pools { 0 };
    std::size_t counted { 0 };
    std::uint64_t count { 0 };
    /** @brief All pools are counted up to this revision. */
    std::optional<store::Revision> asOf {};
    bool answered { false };
};

QueueCounter::QueueCounter(std::shared_ptr<const store::Store> jobStore,
    std::shared_ptr<const RevisionClock> revisionClock, OwnCounts countsOfOwnPool)
    : store(std::move(jobStore))
    , revisions(std::move(revisionClock))
    , ownCounts(std::move(countsOfOwnPool))
    , inStore(std::make_shared<PendingCounter>(store))
{
}

void QueueCounter::setQueues(const std::vector<jobs::Queue>& queues)
{
    this->pools.addRoutes(queues, kernel::bootNow());
}

std::set<model::ServiceId> QueueCounter::setReports(
    const store::Listing& reports, const std::vector<jobs::Queue>& queues)
{
    std::set<model::ServiceId> current;
    const auto now = kernel::bootNow();
    this->pools.addRoutes(queues, now);
    for (const auto& entry : reports.entries) {
        const model::ServiceId pool { entry.key.substr(keys::reports.size()) };
        if (const auto report = decodeReport(entry)) {
            this->pools.addReport(pool, report->pending, now);
            if (isCurrent({ report->asOf })) {
                current.insert(pool);
            }
        }
    }
    this->pools.forgetUnused(now);
    return current;
}

void QueueCounter::count(const model::ServiceId& service, const jobs::QueueId& queue, Callback callback)
{
    auto holders = this->pools.poolsOf(queue);
    holders.insert(service);
    const auto sum = std::make_shared<Sum>(Sum { queue, std::move(callback), holders.size() });
    for (const auto& pool : holders) {
        countPool(pool,
            [self = shared_from_this(), sum, pool](std::string_view source,
                const PendingCounter::CountResult& counted) { self->add(*sum, pool, source, counted); });
    }
}

void QueueCounter::countPool(const model::ServiceId& pool, const PoolCallback& callback)
{
    if (const auto own = this->ownCounts(pool); own && isCurrent(own->asOf)) {
        callback("owner", *own);
        return;
    }
    this->store->read(keys::report(pool),
        [self = shared_from_this(), pool, callback](
            const kernel::Expected<std::optional<store::Entry>>& entry) {
            if (!entry) {
                callback("report", tl::unexpected(entry.error()));
                return;
            }
            const auto report = *entry ? decodeReport(**entry) : std::nullopt;
            if (report && self->isCurrent({ report->asOf })) {
                callback("report", PendingView { report->pending, { report->asOf } });
                return;
            }
            self->inStore->count(
                pool, [callback](const PendingCounter::CountResult& counted) { callback("store", counted); });
        });
}

void QueueCounter::add(Sum& sum, const model::ServiceId& pool, std::string_view source,
    const PendingCounter::CountResult& counted)
{
    if (sum.answered) {
        return;
    }
    const auto answerUnknown = [&](std::string_view failed, const kernel::Error& error) {
        kernel::logEvent("pending-unknown",
            { { "queue", sum.queue.text() }, { "pool", pool.text() }, { "source", failed },
                { "code", number(error.code) }, { "reason", error.found } });
        sum.answered = true;
        sum.callback(std::nullopt);
    };
    if (!counted) {
        answerUnknown(source, counted.error());
        return;
    }
    const auto count = counted->countOf(sum.queue);
    kernel::logEvent("pending-counted",
        { { "queue", sum.queue.text() }, { "pool", pool.text() }, { "source", source },
            { "revision", counted->asOf.value },
            { "age_ms", ageText(this->revisions->ageOf(counted->asOf, kernel::bootNow())) },
            { "count", count } });
    sum.count += count;
    sum.asOf.emplace(sum.asOf ? std::min(*sum.asOf, counted->asOf) : counted->asOf);
    if (++sum.counted < sum.pools) {
        return;
    }
    // Over a slow link a count may be outdated when it arrives, or when that of the last pool does.
    if (!isCurrent(*sum.asOf)) {
        answerUnknown(
            "sum", { kernel::ResultCode::PlatformTimeout, "store", "count is outdated on arrival" });
        return;
    }
    sum.answered = true;
    kernel::logEvent("pending-answered",
        { { "queue", sum.queue.text() }, { "pools", sum.pools }, { "revision", sum.asOf->value },
            { "count", sum.count } });
    sum.callback(sum.count);
}

bool QueueCounter::isCurrent(store::Revision asOf) const
{
    const auto age = this->revisions->ageOf(asOf, kernel::bootNow());
    return age && *age <= countAgeLimit;
}

} // namespace wasabiroad::agent
