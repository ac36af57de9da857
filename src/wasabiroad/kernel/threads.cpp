#include "wasabiroad/kernel/threads.hpp"

#include <boost/asio/post.hpp>

namespace wasabiroad::kernel {

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
        this->workers.emplace_back([&context] { context->run(); });
    }
    this->controlContext.run();
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
