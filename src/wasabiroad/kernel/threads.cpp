#include "wasabiroad/kernel/threads.hpp"

#include "wasabiroad/kernel/isolation.hpp"

#include <string_view>

#include <boost/asio/post.hpp>

namespace wasabiroad::kernel {

namespace {

/**
 * Runs the handlers of a context until it is stopped. A handler that throws ends alone: its error is logged,
 * and the handlers of other requests and connections go on.
 */
void runHandlers(boost::asio::io_context& context, std::string_view thread)
{
    while (!runIsolated({ "thread", thread }, [&context] { context.run(); })) {
        // The context goes on with its next handler.
    }
}

} // namespace

Threads::Threads(std::size_t trafficThreads)
{
    this->guards.emplace_back(this->controlContext.get_executor());
    for (std::size_t index = 0; index < trafficThreads; ++index) {
        this->trafficContexts.push_back(std::make_unique<boost::asio::io_context>(1));
        this->guards.emplace_back(this->trafficContexts.back()->get_executor());
    }
}

Threads::~Threads()
{
    stop();
    for (auto& worker : this->workers) {
        worker.join();
    }
}

void Threads::run()
{
    for (auto& context : this->trafficContexts) {
        this->workers.emplace_back([&context] { runHandlers(*context, "traffic"); });
    }
    runHandlers(this->controlContext, "control");
    for (auto& context : this->trafficContexts) {
        context->stop();
    }
    for (auto& worker : this->workers) {
        worker.join();
    }
    this->workers.clear();
}

void Threads::stop()
{
    this->controlContext.stop();
    for (auto& context : this->trafficContexts) {
        context->stop();
    }
}

Post postTo(boost::asio::io_context& context)
{
    return [&context](std::function<void()> function) { boost::asio::post(context, std::move(function)); };
}

} // namespace wasabiroad::kernel
