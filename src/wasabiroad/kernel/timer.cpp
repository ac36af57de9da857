#include "wasabiroad/kernel/timer.hpp"

namespace wasabiroad::kernel {

void Timer::start(Duration delay, std::function<void()> function)
{
    this->timer.expires_after(delay.chrono());
    this->timer.async_wait([function = std::move(function), known = this->latest, number = ++*this->latest](
                               boost::system::error_code cancelled) {
        if (!cancelled && *known == number) {
            function();
        }
    });
}

void Timer::cancel()
{
    ++*this->latest;
    this->timer.cancel();
}

void callLater(boost::asio::io_context& context, Duration delay, std::function<void()> function)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay.chrono());
    timer->async_wait([timer, function = std::move(function)](boost::system::error_code) { function(); });
}

} // namespace wasabiroad::kernel
