#pragma once

#include "wasabiroad/kernel/publisher.hpp"

#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace wasabiroad::kernel {

/** @brief The control context, run by the calling thread, and one context for each traffic thread. */
class Threads {
public:
    /** @param trafficThreads Number of traffic threads, at least 1. */
    explicit Threads(std::size_t trafficThreads);
    ~Threads();
    Threads(const Threads&) = delete;
    Threads& operator=(const Threads&) = delete;

    /** @return Context of the thread that owns control state. */
    boost::asio::io_context& control() { return this->controlContext; }

    /** @return Context of one traffic thread. */
    boost::asio::io_context& traffic(std::size_t index) { return *this->trafficContexts.at(index); }

    std::size_t trafficCount() const { return this->trafficContexts.size(); }

    /** @brief Starts the traffic threads and runs the control context until `stop`. */
    void run();

    /** @brief Makes `run` return; callable from any thread. */
    void stop();

private:
    using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    boost::asio::io_context controlContext { 1 };
    std::vector<std::unique_ptr<boost::asio::io_context>> trafficContexts {};
    std::vector<WorkGuard> guards {};
    std::vector<std::thread> workers {};
};

/** @return A function that posts to the given context. */
Post postTo(boost::asio::io_context& context);

} // namespace wasabiroad::kernel
