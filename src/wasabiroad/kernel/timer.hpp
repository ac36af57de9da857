#pragma once

#include "wasabiroad/kernel/clock.hpp"

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wasabiroad::kernel {

/** @brief Calls a function once after a time; a new start replaces the earlier one. */
class Timer {
public:
    explicit Timer(boost::asio::io_context& context)
        : timer(context)
    {
    }

    ~Timer() { cancel(); }

    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /** @brief Calls `function` after `delay`, unless the timer is started again, cancelled or destroyed. */
    void start(Duration delay, std::function<void()> function);

    void cancel();

private:
    boost::asio::steady_timer timer;
    /** Number of the last start or cancellation: a wait that is over may be cancelled too late. */
    const std::shared_ptr<std::uint64_t> latest { std::make_shared<std::uint64_t>(0) };
};

/** @brief Calls `function` on the context after a time; it keeps what it captures alive. */
void callLater(boost::asio::io_context& context, Duration delay, std::function<void()> function);

} // namespace wasabiroad::kernel
