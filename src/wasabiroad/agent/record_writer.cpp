#include "wasabiroad/agent/record_writer.hpp"

#include "wasabiroad/agent/keys.hpp"
#include "wasabiroad/jobs/codec.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>

namespace wasabiroad::agent {

using kernel::Duration;

namespace {

/** Records in one change: each takes a condition and a put, and the owner's key takes a condition. */
constexpr std::size_t recordsPerChange = (store::changeLimit - 1) / 2;

/** Descriptions of ended jobs that are removed together; they wait, since nothing depends on them. */
constexpr std::size_t removalsPerChange = 24;

constexpr Duration retryInterval { 150 };

} // namespace

RecordWriter::RecordWriter(boost::asio::io_context& ioContext,
    std::shared_ptr<const store::Store> recordStore, model::ServiceId pool, ports::Term ownTerm,
    RecordEvents recordEvents)
    : context(ioContext)
    , store(std::move(recordStore))
    , service(std::move(pool))
    , term(ownTerm)
    , events(std::move(recordEvents))
{
}

store::Revision RecordWriter::revisionOf(const jobs::JobId& job) const
{
    const auto found = this->revisions.find(job);
    return found != this->revisions.end() ? found->second : store::Revision {};
}

std::uint64_t RecordWriter::write(const std::vector<scheduling::RecordChange>& changes)
{
    ++this->lastBatch;
    for (const auto& change : changes) {
        auto& entry = this->pending[change.job];
        entry.record.emplace(change.record);
        entry.batch = this->lastBatch;
    }
    if (!this->inFlight) {
        send();
    }
    return this->lastBatch;
}

void RecordWriter::put(store::Put put, store::Callback<store::ChangeOutcome> callback) const
{
    this->store->change({ { ownerCondition() }, { std::move(put) }, {} }, std::move(callback));
}

void RecordWriter::replace(
    store::Put put, store::Revision expected, store::Callback<store::ChangeOutcome> callback) const
{
    store::Condition unchanged { put.key, expected };
    this->store->change(
        { { ownerCondition(), std::move(unchanged) }, { std::move(put) }, {} }, std::move(callback));
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
    if (this->pending.empty()) {
        reportFlushed();
        removeEnded();
        return;
    }
    std::vector<jobs::JobId> chosen;
    for (const bool final : { true, false }) {
        for (const auto& [job, entry] : this->pending) {
            if (chosen.size() < recordsPerChange && jobs::isFinal(entry.record->state) == final) {
                chosen.push_back(job);
            }
        }
    }
    this->inFlight = true;
    this->store->change(makeChange(chosen),
        [self = shared_from_this(), chosen, batch = this->lastBatch](const store::ChangeOutcome& outcome) {
            self->inFlight = false;
            if (!self->closed) {
                self->onOutcome(chosen, batch, outcome);
            }
        });
}

store::Change RecordWriter::makeChange(const std::vector<jobs::JobId>& chosen) const
{
    std::vector<store::Condition> conditions { ownerCondition() };
    std::vector<store::Put> puts;
    for (const auto& job : chosen) {
        const auto key = keys::record(this->service, job);
        conditions.push_back({ key, revisionOf(job) });
        puts.push_back({ key, jobs::encode(*this->pending.at(job).record) });
    }
    return { std::move(conditions), std::move(puts), {} };
}

void RecordWriter::onOutcome(
    const std::vector<jobs::JobId>& chosen, std::uint64_t batch, const store::ChangeOutcome& outcome)
{
    const auto retry = [this](const kernel::Error& error) {
        kernel::logEvent("records-not-written",
            { { "pool", this->service.text() }, { "code", number(error.code) }, { "reason", error.found },
                { "waiting", this->pending.size() } });
        this->inFlight = true;
        kernel::callLater(this->context, retryInterval, [self = shared_from_this()] {
            self->inFlight = false;
            self->send();
        });
    };
    std::visit(kernel::Overloaded {
                   [&](const store::Committed& committed) { onCommitted(chosen, batch, committed.revision); },
                   [&](const store::Conflict& conflict) { onConflict(conflict); },
                   [&](const store::LeaseEnded&) { this->events.superseded(); },
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
            continue;
        }
        this->pending.erase(entry);
        if (jobs::isFinal(state)) {
            kernel::logEvent("job-ended",
                { { "job", job.text() }, { "state", jobs::name(state) }, { "revision", revision.value } });
            this->revisions.erase(job);
            this->endedJobs.push_back(job);
            this->events.ended(job);
        }
    }
    if (!this->inFlight) {
        send();
    }
}

void RecordWriter::onConflict(const store::Conflict& conflict)
{
    const auto ownerKey = keys::poolOwner(this->service);
    const auto prefix = keys::recordsOf(this->service);
    const bool owner = std::ranges::any_of(conflict.current, [&](const store::Entry& entry) {
        return entry.key == ownerKey && entry.revision.value == this->term.value;
    });
    if (!owner) {
        this->events.superseded();
        return;
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
            this->events.cancelled(job);
        }
    }
    send();
}

void RecordWriter::reportFlushed()
{
    if (this->reported < this->lastBatch) {
        this->reported = this->lastBatch;
        this->events.flushed(this->lastBatch);
    }
}

void RecordWriter::removeEnded()
{
    if (this->removing || this->endedJobs.size() < removalsPerChange) {
        return;
    }
    std::vector<std::string> removals;
    for (std::size_t index = 0; index < removalsPerChange; ++index) {
        removals.push_back(keys::job(this->service, this->endedJobs[index]));
    }
    this->removing = true;
    this->store->change({ { ownerCondition() }, {}, removals },
        [self = shared_from_this()](const store::ChangeOutcome& outcome) {
            self->removing = false;
            if (std::holds_alternative<store::Committed>(outcome)) {
                self->endedJobs.erase(self->endedJobs.begin(),
                    self->endedJobs.begin() + static_cast<std::ptrdiff_t>(removalsPerChange));
            }
        });
}

} // namespace wasabiroad::agent
