#include "wasabiroad/agent/upstream_agent.hpp"

#include "wasabiroad/kernel/isolation.hpp"
#include "wasabiroad/kernel/log.hpp"
#include "wasabiroad/kernel/overloaded.hpp"

#include <algorithm>

namespace wasabiroad::agent {

using kernel::Duration;

namespace {

/** Maximum time that an upstream waits for the end of a task before it answers. */
constexpr Duration pollWait { 1500 };

/** The same while filler tasks run beside serving tasks, whose tail latencies change within seconds. */
constexpr Duration frequentPollWait { 500 };

/** Minimum time between an answer and the next poll, so that ends in quick succession share an answer. */
constexpr Duration pollGap { 15 };

/** Maximum wait until listed ends are recorded; an upstream lists them again until they are acknowledged. */
constexpr Duration maxRecordWait { 400 };

constexpr Duration retryInterval { 300 };

} // namespace

UpstreamAgent::UpstreamAgent(boost::asio::io_context& context,
    std::shared_ptr<const ports::UpstreamLink> upstreamLink, scheduling::UpstreamFacts facts, Duration lease,
    UpstreamCallbacks upstreamCallbacks)
    : link(std::move(upstreamLink))
    , upstream(std::move(facts))
    , taskLease(lease)
    , callbacks(std::move(upstreamCallbacks))
    , timer(context)
    , fence(callbacks.latestFence())
{
}

void UpstreamAgent::poll()
{
    if (this->closed) {
        return;
    }
    this->awaitingRecord = false;
    raiseFence();
    const auto sent = kernel::bootNow();
    const bool renews = this->answering && this->callbacks.mayRenewLeases();
    if (renews) {
        this->lastRenewal = sent;
    }
    const auto wait = this->callbacks.needsFrequentPolling(this->upstream.id) ? frequentPollWait : pollWait;
    const auto end = renews && this->reading
        ? std::optional { leaseEnd(*this->reading, this->taskLease, sent) }
        : std::nullopt;
    const ports::Look look { this->fence, endsToAcknowledge(), end, this->answering ? wait : Duration {} };
    this->link->look(look, [self = shared_from_this(), sent, look](const ports::LookOutcome& outcome) {
        if (!self->closed) {
            self->onOutcome(outcome, sent, look);
        }
    });
}

void UpstreamAgent::raiseFence()
{
    if (!this->mustRaiseFence) {
        return;
    }
    const auto latest = this->callbacks.latestFence();
    if (latest > this->fence) {
        this->fence = latest;
        this->mustRaiseFence = false;
        this->isFenceOfFormer = false;
        kernel::logEvent("fence-raised",
            { { "upstream", this->upstream.id.text() }, { "fence", this->fence.value },
                { "born", this->born.milliseconds } });
    }
}

std::uint64_t UpstreamAgent::endsToAcknowledge() const
{
    // Another incarnation may carry out the poll, in particular after a missed answer. Its ends have the same
    // numbers, so acknowledgements are not repeated once one was answered.
    return this->answering && this->lastRecorded > this->lastAcknowledged ? this->lastRecorded : 0;
}

void UpstreamAgent::onOutcome(
    const ports::LookOutcome& outcome, kernel::Instant sent, const ports::Look& look)
{
    std::visit(kernel::Overloaded {
                   [&](const ports::Tasks& tasks) { onTasks(tasks, sent, look); },
                   [&](const ports::Superseded&) {
                       if (isOutdated(look.term)) {
                           onError({ kernel::ResultCode::PlatformRejected, this->upstream.id.text(),
                               "outdated fencing token" });
                       } else {
                           this->callbacks.onSuperseded();
                       }
                   },
                   [&](const ports::OtherUpstream&) { this->callbacks.onReplaced(this->upstream.id); },
                   [&](const kernel::Error& error) { onError(error); },
               },
        outcome);
}

void UpstreamAgent::onTasks(const ports::Tasks& tasks, kernel::Instant sent, const ports::Look& look)
{
    if (tasks.born == this->born && sent <= this->restartSeen) {
        this->timer.start({}, [self = shared_from_this()] { self->poll(); });
        return;
    }
    if (tasks.born != this->born) {
        if (this->answering) {
            logRestart("list", tasks.clock);
        }
        this->isFenceOfFormer = this->isFenceOfFormer || this->born != kernel::Instant {};
        this->mustRaiseFence = this->mustRaiseFence || this->isFenceOfFormer;
        this->born = tasks.born;
        this->lastListed = 0;
        this->lastRecorded = 0;
        this->firstAnswer.reset();
        this->lastAcknowledged = 0;
    } else {
        this->lastAcknowledged = std::max(this->lastAcknowledged, look.acknowledged);
    }
    if (tasks.clock) {
        this->reading.emplace(ClockReading { tasks.born, *tasks.clock, kernel::bootNow() });
    }
    const bool first = !this->answering;
    if (first) {
        kernel::logEvent("upstream-reached",
            { { "upstream", this->upstream.id.text() }, { "born", tasks.born.milliseconds },
                { "clock_ms", tasks.clock.value_or(ports::UpstreamTime {}).milliseconds },
                { "running", tasks.running.size() }, { "ended", tasks.ended.size() },
                { "more_ends", tasks.moreEnds ? "yes" : "no" }, { "fence", this->fence.value } });
    }
    this->answering = true;
    if (!this->firstAnswer) {
        this->firstAnswer = kernel::bootNow();
    }
    for (const auto& end : tasks.ended) {
        this->lastListed = std::max(this->lastListed, end.number);
    }
    // Before any order that the list leads to.
    raiseFence();
    // The upstream is polled again whatever happens to this list: polls renew the leases of its tasks.
    kernel::runIsolated(
        { "chain", "upstream" }, [&] { this->callbacks.onTasks(this->upstream.id, tasks, sent, look.term); });
    if (this->closed) {
        return;
    }
    this->awaitingRecord = hasUnrecordedEnds();
    const auto delay = first ? Duration {} : this->awaitingRecord ? maxRecordWait : pollGap;
    this->timer.start(delay, [self = shared_from_this()] { self->poll(); });
}

void UpstreamAgent::onError(const kernel::Error& error)
{
    if (this->answering) {
        kernel::logEvent("upstream-silent",
            { { "upstream", this->upstream.id.text() }, { "code", number(error.code) },
                { "reason", error.found }, { "born", this->born.milliseconds },
                { "renewed_ms", (kernel::bootNow() - this->lastRenewal).milliseconds } });
    }
    this->answering = false;
    kernel::runIsolated({ "chain", "upstream" },
        [&] { this->callbacks.onUnresponsive(this->upstream.id, this->lastRenewal); });
    if (this->closed) {
        return;
    }
    this->timer.start(retryInterval, [self = shared_from_this()] { self->poll(); });
}

void UpstreamAgent::startTask(
    const scheduling::StartTask& order, ports::Permission permission, store::Callback<StartReport> callback)
{
    if (!this->reading) {
        callback({ ports::StartAnswer { scheduling::StartResult::NotSent } });
        return;
    }
    raiseFence();
    if (this->isFenceOfFormer) {
        callback({ ports::StartAnswer { scheduling::StartResult::NotTried } });
        return;
    }
    const auto sent = kernel::bootNow();
    const auto mayBeSent = [self = shared_from_this(), incarnation = this->reading->incarnation,
                               permission = std::move(permission)] {
        return self->reading && self->reading->incarnation == incarnation && permission();
    };
    this->link->start(order, this->fence, leaseEnd(*this->reading, this->taskLease, sent), mayBeSent,
        [self = shared_from_this(), used = *this->reading, fence = this->fence, sent,
            callback = std::move(callback)](const ports::StartOutcome& outcome) {
            if (std::holds_alternative<ports::Superseded>(outcome) && self->isOutdated(fence)) {
                callback({ ports::StartAnswer { scheduling::StartResult::NotTried } });
                return;
            }
            const auto* const answer = std::get_if<ports::StartAnswer>(&outcome);
            const bool restarted
                = answer != nullptr && answer->clock && isRestarted(used, *answer->clock, sent);
            if (restarted && !self->closed && self->reading
                && self->reading->incarnation == used.incarnation) {
                self->onRestart(*answer->clock);
            }
            if (answer != nullptr && answer->result == scheduling::StartResult::Unknown) {
                self->mustRaiseFence = true;
            }
            callback({ outcome, restarted, fence });
        });
}

void UpstreamAgent::stopTask(const scheduling::StopTask& order, store::Callback<ports::OrderOutcome> callback)
{
    raiseFence();
    this->link->stop(order, this->fence, unlessOutdated(std::move(callback)));
}

void UpstreamAgent::paceTask(const scheduling::PaceTask& order, store::Callback<ports::OrderOutcome> callback)
{
    raiseFence();
    this->link->pace(order, this->fence, unlessOutdated(std::move(callback)));
}

store::Callback<ports::OrderOutcome> UpstreamAgent::unlessOutdated(
    store::Callback<ports::OrderOutcome> callback)
{
    return [self = shared_from_this(), used = this->fence, callback = std::move(callback)](
               const ports::OrderOutcome& outcome) {
        const bool isOutdated = std::holds_alternative<ports::Superseded>(outcome) && self->isOutdated(used);
        callback(isOutdated ? ports::OrderOutcome { false } : outcome);
    };
}

void UpstreamAgent::onRestart(ports::UpstreamTime clock)
{
    logRestart("start", clock);
    this->mustRaiseFence = true;
    this->isFenceOfFormer = true;
    this->reading.reset();
    this->answering = false;
    this->restartSeen = kernel::bootNow();
    this->firstAnswer = this->restartSeen;
    kernel::runIsolated({ "chain", "upstream" },
        [&] { this->callbacks.onUnresponsive(this->upstream.id, this->lastRenewal); });
}

void UpstreamAgent::logRestart(const char* seenBy, std::optional<ports::UpstreamTime> clock) const
{
    const auto now = kernel::bootNow();
    const auto expected = this->reading ? leaseEnd(*this->reading, {}, now) : ports::UpstreamTime {};
    kernel::logEvent("upstream-restarted",
        { { "upstream", this->upstream.id.text() }, { "seen_by", seenBy },
            { "former_born", this->born.milliseconds }, { "expected_clock_ms", expected.milliseconds },
            { "clock_ms", clock.value_or(ports::UpstreamTime {}).milliseconds },
            { "clock_age_ms", this->reading ? (now - this->reading->received).milliseconds : 0 } });
}

void UpstreamAgent::acknowledge(kernel::Instant incarnation, std::uint64_t number)
{
    if (incarnation != this->born) {
        return;
    }
    this->lastRecorded = std::max(this->lastRecorded, std::min(number, this->lastListed));
    if (this->awaitingRecord && !hasUnrecordedEnds()) {
        this->awaitingRecord = false;
        this->timer.start(pollGap, [self = shared_from_this()] { self->poll(); });
    }
}

void UpstreamAgent::close()
{
    this->closed = true;
    this->timer.cancel();
}

} // namespace wasabiroad::agent
