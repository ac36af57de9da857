#include "wasabiroad/agent/upstream_agent.hpp"

#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>

namespace wasabiroad::agent {

using kernel::Duration;

namespace {

/** Longest time that an upstream waits for an end before it answers. */
constexpr Duration lookWait { 1500 };

/** The same while filler tasks run beside serving tasks, whose tails change within seconds. */
constexpr Duration frequentLookWait { 500 };

/** Shortest time between an answer and the next look: ends that come close together share an answer. */
constexpr Duration lookGap { 15 };

/** Longest wait for the record of listed ends; an upstream lists them again until they are acknowledged. */
constexpr Duration recordWait { 400 };

constexpr Duration silentRetry { 300 };

} // namespace

UpstreamAgent::UpstreamAgent(boost::asio::io_context& context,
    std::shared_ptr<const ports::UpstreamLink> upstreamLink, scheduling::UpstreamFacts facts,
    ports::Term ownTerm, Duration lease, UpstreamEvents upstreamEvents)
    : link(std::move(upstreamLink))
    , upstream(std::move(facts))
    , term(ownTerm)
    , taskLease(lease)
    , events(std::move(upstreamEvents))
    , timer(context)
{
}

void UpstreamAgent::look()
{
    if (this->closed) {
        return;
    }
    this->awaitingRecord = false;
    const auto sent = kernel::bootNow();
    const bool renews = this->answering && this->events.mayRenewLeases();
    if (renews) {
        this->lastRenewal = sent;
    }
    const auto wait = this->events.frequent(this->upstream.id) ? frequentLookWait : lookWait;
    // After a silence another life may answer, whose ends have the same numbers.
    const auto acknowledged = this->answering ? this->recorded : 0;
    this->link->look({ this->term, acknowledged, renews ? std::optional { this->taskLease } : std::nullopt,
                         this->answering ? wait : Duration {} },
        [self = shared_from_this(), sent](const ports::LookOutcome& outcome) {
            if (!self->closed) {
                self->onOutcome(outcome, sent);
            }
        });
}

void UpstreamAgent::onOutcome(const ports::LookOutcome& outcome, kernel::Instant sent)
{
    std::visit(kernel::Overloaded {
                   [&](const ports::Tasks& tasks) { onTasks(tasks, sent); },
                   [&](const ports::Superseded&) { this->events.superseded(); },
                   [&](const ports::OtherUpstream&) { this->events.replaced(this->upstream.id); },
                   [&](const kernel::Error& error) { onSilence(error); },
               },
        outcome);
}

void UpstreamAgent::onTasks(const ports::Tasks& tasks, kernel::Instant sent)
{
    if (tasks.born != this->born) {
        this->born = tasks.born;
        this->listed = 0;
        this->recorded = 0;
    }
    const bool first = !this->answering;
    if (first) {
        kernel::logEvent("upstream-reached",
            { { "upstream", this->upstream.id.text() }, { "born", tasks.born.milliseconds },
                { "running", tasks.running.size() }, { "term", this->term.value } });
    }
    this->answering = true;
    for (const auto& end : tasks.ended) {
        this->listed = std::max(this->listed, end.number);
    }
    this->events.tasks(this->upstream.id, tasks, sent);
    if (this->closed) {
        return;
    }
    this->awaitingRecord = this->listed > this->recorded;
    const auto delay = first ? Duration {} : this->awaitingRecord ? recordWait : lookGap;
    this->timer.start(delay, [self = shared_from_this()] { self->look(); });
}

void UpstreamAgent::onSilence(const kernel::Error& error)
{
    if (this->answering) {
        kernel::logEvent("upstream-silent",
            { { "upstream", this->upstream.id.text() }, { "code", number(error.code) },
                { "reason", error.found } });
    }
    this->answering = false;
    this->events.silent(this->upstream.id, this->lastRenewal);
    this->timer.start(silentRetry, [self = shared_from_this()] { self->look(); });
}

void UpstreamAgent::acknowledge(kernel::Instant life, std::uint64_t number)
{
    if (life != this->born) {
        return;
    }
    this->recorded = std::max(this->recorded, std::min(number, this->listed));
    if (this->awaitingRecord && this->recorded >= this->listed) {
        this->awaitingRecord = false;
        this->timer.start(lookGap, [self = shared_from_this()] { self->look(); });
    }
}

void UpstreamAgent::close()
{
    this->closed = true;
    this->timer.cancel();
}

} // namespace wasabiroad::agent
