#pragma once

#include "wasabiroad/kernel/timer.hpp"

#include <functional>
#include <memory>

namespace wasabiroad::kernel {

/** @brief What one thread and its process did in a second. */
struct LoopSample {
    /** @brief Longest time by which the thread ran a timer late. */
    const Duration delay {};
    /** @brief Processor time that all threads of the process used. */
    const Duration processor {};
    /** @brief Length of the interval on the steady clock. */
    const Duration interval {};

    friend auto operator<=>(const LoopSample&, const LoopSample&) = default;
};

/**
 * @brief Measures how late a context runs its events: events of a busy thread wait as long as its timers do.
 */
class LoopMonitor : public std::enable_shared_from_this<LoopMonitor> {
public:
    /**
     * @param context Context that is measured; all calls are made on it.
     * @param onSample Called once a second.
     */
    LoopMonitor(boost::asio::io_context& context, std::function<void(const LoopSample&)> onSample);

    void start();

    /** @brief Ends the measurement, so that the context can run out of work. */
    void stop();

private:
    void probe();

    const std::function<void(const LoopSample&)> onSample;
    Timer timer;
    Instant expected {};
    Instant begun {};
    Duration processorBefore {};
    Duration worst {};
};

/** @return Processor time that all threads of this process have used. */
Duration processorTime();

} // namespace wasabiroad::kernel
