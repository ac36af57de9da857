#include "wasabiroad/control/configuration_follower.hpp"

#include "wasabiroad/kernel/log.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wasabiroad::control {

namespace {

/** A watch ends after this time, so that a half-open connection is noticed. */
constexpr kernel::Duration watchWait { 10000 };
/** Pause after a failed call, so that an outage does not turn into a load of calls. */
constexpr kernel::Duration retryPause { 1000 };

} // namespace

ConfigurationFollower::ConfigurationFollower(kernel::EventBus& eventBus, platform::Store platformStore)
    : bus(eventBus)
    , store(std::move(platformStore))
{
}

kernel::Expected<void> ConfigurationFollower::offer(const Head& head, const std::string& text)
{
    auto adopted = adopt(this->current, head, text);
    if (!adopted) {
        const auto& error = adopted.error();
        kernel::logEvent("configuration-rejected",
            { { "generation", head.generation.value }, { "code", number(error.code) },
                { "reason", name(error.code) } });
        return tl::unexpected(error);
    }
    this->current = *adopted;
    kernel::logEvent(
        "configuration-adopted", { { "generation", head.generation.value }, { "digest", head.digest } });
    this->bus.publish(ConfigurationAdopted { this->current });
    return {};
}

boost::asio::awaitable<void> ConfigurationFollower::fetch(Head head)
{
    if (this->current && head.generation <= this->current->generation) {
        co_return;
    }
    const auto body = co_await platform::get(this->store, bodyKey(head));
    if (body) {
        offer(head, body->value);
    }
}

boost::asio::awaitable<void> ConfigurationFollower::run()
{
    boost::asio::steady_timer timer { co_await boost::asio::this_coro::executor };
    std::uint64_t revision = 0;
    while (true) {
        const auto listing
            = co_await platform::watch(this->store, std::string { headKey }, revision, watchWait);
        if (!listing) {
            kernel::logEvent("platform-call-failed",
                { { "call", "watch" }, { "code", number(listing.error().code) },
                    { "detail", listing.error().found } });
            timer.expires_after(retryPause.chrono());
            co_await timer.async_wait(boost::asio::use_awaitable);
            continue;
        }
        revision = listing->revision;
        for (const auto& entry : listing->entries) {
            if (const auto head = parseHead(entry.value)) {
                co_await fetch(*head);
            }
        }
    }
}

} // namespace wasabiroad::control
