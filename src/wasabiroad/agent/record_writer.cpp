#include "wasabiroad/agent/record_writer.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/jobs/codec.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace wasabiroad::agent {

using kernel::Duration;

namespace {

/** Entries of a change for an open job: the condition, its state and its progress. */
constexpr std::size_t entriesPerOpenJob = 3;

/** Entries of a change for an ended job: the condition, its state, and the removal of its description and
 * progress. */
constexpr std::size_t entriesPerEndedJob = 4;

constexpr Duration retryInterval { 150 };

} // namespace

RecordWriter::RecordWriter(boost::asio::io_context& ioContext,
    std::shared_ptr<const store::Store> recordStore, model::ServiceId pool, ports::Term ownTerm,
    RecordCallbacks recordCallbacks)
    : context(ioContext)
    , store(std::move(recordStore))
    , service(std::move(pool))
    , term(ownTerm)
    , callbacks(std::move(recordCallbacks))
    , fence(ownTerm)
{
}

store::Revision RecordWriter::revisionOf(const jobs::JobId& job) const
{
    const auto found = this->revisions.find(job);
    return found != this->revisions.end() ? found->second : store::Revision {};
}

bool RecordWriter::isEnding(const jobs::JobId& job) const
{
    const auto found = this->pending.find(job);
    return found != this->pending.end() && jobs::isFinal(found->second.record->state);
}

std::uint64_t RecordWriter::write(const std::vector<scheduling::RecordChange>& changes)
{
    ++this->lastBatch;
    for (const auto& change : changes) {
        auto& entry = this->pending[change.job];
        if (!entry.record) {
            entry.firstUnwrittenBatch = this->lastBatch;
        }
        entry.record.emplace(change.record);
        entry.batch = this->lastBatch;
    }
    if (!this->inFlight) {
        send();
    }
    return this->lastBatch;
}

void RecordWriter::change(const store::Change& change, store::Callback<store::ChangeOutcome> callback)
{
    this->store->change(change,
        [self = shared_from_this(), callback = std::move(callback)](const store::ChangeOutcome& outcome) {
            if (const auto* const committed = std::get_if<store::Committed>(&outcome)) {
                self->fence = std::max(self->fence, ports::Term { committed->revision.value });
            }
            callback(outcome);
        });
}

void RecordWriter::put(store::Put put, store::Callback<store::ChangeOutcome> callback)
{
    change({ { ownerCondition() }, { std::move(put) }, {} }, std::move(callback));
}

void RecordWriter::replace(
    store::Put put, store::Revision expected, store::Callback<store::ChangeOutcome> callback)
{
    store::Condition unchanged { put.key, expected };
    putIf(std::move(put), std::move(unchanged), std::move(callback));
}

void RecordWriter::putIf(
    store::Put put, store::Condition condition, store::Callback<store::ChangeOutcome> callback)
{
    change({ { ownerCondition(), std::move(condition) }, { std::move(put) }, {} }, std::move(callback));
}

store::Condition RecordWriter::ownerCondition() const
{
    return { keys::poolOwner(this->service), { this->term.value } };
}

void RecordWriter::send()
{
    if (this->closed) {
        return;
    }
    reportFlushed();
    if (this->closed || this->pending.empty()) {
        return;
    }
    const auto chosen = chooseJobs();
    this->inFlight = true;
    change(makeChange(chosen),
        [self = shared_from_this(), chosen, batch = this->lastBatch](const store::ChangeOutcome& outcome) {
            self->inFlight = false;
            if (!self->closed) {
                self->onOutcome(chosen, batch, outcome);
            }
        });
}

std::vector<jobs::JobId> RecordWriter::chooseJobs() const
{
    std::vector<jobs::JobId> chosen;
    // One entry is the condition on the owner's term.
    auto remaining = store::changeLimit - 1;
    const auto isEnded = [](const auto& entry) { return jobs::isFinal(entry->second.record->state); };
    const auto age = [](const auto& entry) { return entry->second.firstUnwrittenBatch; };
    std::vector<std::map<jobs::JobId, Pending>::const_iterator> order;
    order.reserve(this->pending.size());
    for (auto entry = this->pending.begin(); entry != this->pending.end(); ++entry) {
        order.push_back(entry);
    }
    std::iter_swap(order.begin(), std::ranges::min_element(order, {}, age));
    std::ranges::sort(order.begin() + 1, order.end(), {}, [&](const auto& entry) {
        return std::pair { !isEnded(entry), age(entry) };
    });
    for (const auto& entry : order) {
        const auto entries = isEnded(entry) ? entriesPerEndedJob : entriesPerOpenJob;
        if (entries <= remaining) {
            chosen.push_back(entry->first);
            remaining -= entries;
        }
    }
    return chosen;
}

store::Change RecordWriter::makeChange(const std::vector<jobs::JobId>& chosen) const
{
    std::vector<store::Condition> conditions { ownerCondition() };
    std::vector<store::Put> puts;
    std::vector<std::string> removals;
    for (const auto& job : chosen) {
        const auto& record = *this->pending.at(job).record;
        const auto key = keys::record(this->service, job);
        conditions.push_back({ key, revisionOf(job) });
        puts.push_back({ key, jobs::encode(jobs::Record { record.state, {}, record.finished }) });
        if (jobs::isFinal(record.state)) {
            removals.push_back(keys::job(this->service, job));
            removals.push_back(keys::progress(this->service, job));
        } else {
            puts.push_back({ keys::progress(this->service, job), jobs::encode(record) });
        }
    }
    return { std::move(conditions), std::move(puts), std::move(removals) };
}

void RecordWriter::onOutcome(
    const std::vector<jobs::JobId>& chosen, std::uint64_t batch, const store::ChangeOutcome& outcome)
{
    const auto retry = [this](const kernel::Error& error) {
        kernel::logEvent("records-not-written",
            { { "pool", this->service.text() }, { "code", number(error.code) }, { "reason", error.found },
                { "waiting", this->pending.size() } });
        retryLater();
    };
    std::visit(kernel::Overloaded {
                   [&](const store::Committed& committed) { onCommitted(chosen, batch, committed.revision); },
                   [&](const store::Conflict& conflict) { onConflict(chosen, conflict); },
                   [&](const store::LeaseEnded&) { this->callbacks.onSuperseded(); },
                   [&](const store::NotDone& failed) { retry(failed.error); },
                   [&](const store::OutcomeUnknown& unknown) { retry(unknown.error); },
               },
        outcome);
}

void RecordWriter::onCommitted(
    const std::vector<jobs::JobId>& chosen, std::uint64_t batch, store::Revision revision)
{
    for (const auto& job : chosen) {
        this->revisions[job] = revision;
        const auto entry = this->pending.find(job);
        const auto state = entry->second.record->state;
        if (entry->second.batch > batch) {
            entry->second.firstUnwrittenBatch = batch + 1;
            continue;
        }
        this->pending.erase(entry);
        if (jobs::isFinal(state)) {
            kernel::logEvent("job-ended",
                { { "job", job.text() }, { "state", jobs::name(state) }, { "revision", revision.value } });
            this->revisions.erase(job);
            this->callbacks.onEnded(job);
        }
    }
    if (!this->inFlight) {
        send();
    }
}

void RecordWriter::retryLater()
{
    this->inFlight = true;
    kernel::callLater(this->context, retryInterval, [self = shared_from_this()] {
        self->inFlight = false;
        self->send();
    });
}

void RecordWriter::onConflict(const std::vector<jobs::JobId>& chosen, const store::Conflict& conflict)
{
    const auto ownerKey = keys::poolOwner(this->service);
    const auto prefix = keys::recordsOf(this->service);
    const bool owner = std::ranges::any_of(conflict.current, [&](const store::Entry& entry) {
        return entry.key == ownerKey && entry.revision.value == this->term.value;
    });
    if (!owner) {
        this->callbacks.onSuperseded();
        return;
    }
    const auto known = this->revisions;
    // A record that the answer does not contain is missing from the store.
    for (const auto& job : chosen) {
        this->revisions.erase(job);
    }
    for (const auto& entry : conflict.current) {
        if (!entry.key.starts_with(prefix)) {
            continue;
        }
        const jobs::JobId job { entry.key.substr(prefix.size()) };
        this->revisions[job] = entry.revision;
        const auto record = jobs::decodeRecord(entry.value);
        if (record && record->state == jobs::JobState::Cancelled) {
            this->pending.erase(job);
            this->revisions.erase(job);
            this->callbacks.onCancelled(job);
        }
    }
    if (this->revisions != known) {
        send();
    } else {
        retryLater();
    }
}

void RecordWriter::reportFlushed()
{
    // Batches are reported before the queue is empty: under load it never is, and ends would never be
    // acknowledged.
    auto written = this->lastBatch;
    for (const auto& [job, entry] : this->pending) {
        written = std::min(written, entry.firstUnwrittenBatch - 1);
    }
    if (this->reportedBatch < written) {
        this->reportedBatch = written;
        this->callbacks.onFlushed(written);
    }
}

} // namespace wasabiroad::agent
