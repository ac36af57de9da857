#include "wasabiroad/agent/timer.hpp"

#include <memory>

namespace wasabiroad::agent {

void Timer::start(kernel::Duration delay, std::function<void()> function)
{
    this->timer.expires_after(delay.chrono());
    this->timer.async_wait([function = std::move(function)](boost::system::error_code cancelled) {
        if (!cancelled) {
            function();
        }
    });
}

void callLater(boost::asio::io_context& context, kernel::Duration delay, std::function<void()> function)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay.chrono());
    timer->async_wait([timer, function = std::move(function)](boost::system::error_code) { function(); });
}

} // namespace wasabiroad::agent
