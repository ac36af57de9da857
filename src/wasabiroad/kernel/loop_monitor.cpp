#include "wasabiroad/kernel/loop_monitor.hpp"

#include <algorithm>
#include <ctime>
#include <utility>

namespace wasabiroad::kernel {

namespace {

/** Interval of the probes; a delay that is shorter may pass unseen. */
constexpr Duration probeInterval { 100 };

constexpr Duration sampleInterval { 1000 };

} // namespace

LoopMonitor::LoopMonitor(
    boost::asio::io_context& context, std::function<void(const LoopSample&)> sampleHandler)
    : onSample(std::move(sampleHandler))
    , timer(context)
{
}

void LoopMonitor::start()
{
    this->begun = now(SteadyClock {});
    this->processorBefore = processorTime();
    this->expected = this->begun + probeInterval;
    this->timer.start(probeInterval, [self = shared_from_this()] { self->probe(); });
}

void LoopMonitor::stop() { this->timer.cancel(); }

void LoopMonitor::probe()
{
    const auto at = now(SteadyClock {});
    this->worst = std::max(this->worst, at - this->expected);
    if (at - this->begun >= sampleInterval) {
        const auto used = processorTime();
        const auto delay = std::exchange(this->worst, {});
        this->onSample({ delay, used - this->processorBefore, at - this->begun });
        this->processorBefore = used;
        this->begun = at;
    }
    this->expected = at + probeInterval;
    this->timer.start(probeInterval, [self = shared_from_this()] { self->probe(); });
}

Duration processorTime()
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;
    timespec used {};
    if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) {
        return {};
    }
    return { used.tv_sec * millisecondsPerSecond + used.tv_nsec / nanosecondsPerMillisecond };
}

} // namespace wasabiroad::kernel
