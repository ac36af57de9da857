#include "wasabiroad/control/configuration_follower.hpp"

#include "wasabiroad/kernel/log.hpp"

#include <boost/asio/redirect_error.hpp>
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
    this->bus.subscribe<HeadPolicyChanged>([this](const HeadPolicyChanged& event) {
        this->policy = std::make_shared<const HeadPolicy>(event.policy);
        if (this->wake) {
            this->wake();
        }
    });
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
    this->bus.publish(ConfigurationAdopted { this->current });
    // The line says that requests from now on see the configuration, so it follows the publication.
    kernel::logEvent(
        "configuration-adopted", { { "generation", head.generation.value }, { "digest", head.digest } });
    return {};
}

boost::asio::awaitable<bool> ConfigurationFollower::fetch(Head head)
{
    if (this->current && head.generation <= this->current->generation) {
        co_return true;
    }
    const auto body = co_await platform::get(this->store, bodyKey(head));
    if (body) {
        offer(head, body->value);
    }
    co_return body.has_value();
}

boost::asio::awaitable<void> ConfigurationFollower::pause(kernel::Duration duration)
{
    boost::asio::steady_timer timer { co_await boost::asio::this_coro::executor };
    timer.expires_after(duration.chrono());
    this->wake = [&timer] { timer.cancel(); };
    boost::system::error_code cancelled;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    this->wake = nullptr;
}

boost::asio::awaitable<void> ConfigurationFollower::watchOnce()
{
    const auto listing
        = co_await platform::watch(this->store, std::string { headKey }, this->revision, watchWait);
    if (!listing) {
        kernel::logEvent("platform-call-failed",
            { { "call", "watch" }, { "code", number(listing.error().code) },
                { "detail", listing.error().found } });
        co_await pause(retryPause);
        co_return;
    }
    for (const auto& entry : listing->entries) {
        const auto head = parseHead(entry.value);
        if (head && !co_await fetch(*head)) {
            co_await pause(retryPause);
            co_return;
        }
    }
    this->revision = listing->revision;
}

boost::asio::awaitable<void> ConfigurationFollower::pollOnce(kernel::Duration interval)
{
    const auto before = this->policy;
    co_await pause(interval);
    if (this->policy != before) {
        co_return;
    }
    const auto entry = co_await platform::get(this->store, std::string { headKey });
    const auto head = entry ? parseHead(entry->value) : tl::unexpected(entry.error());
    if (head) {
        co_await fetch(*head);
    }
}

boost::asio::awaitable<void> ConfigurationFollower::run()
{
    while (true) {
        const auto following = this->policy;
        if (const auto* const poll = std::get_if<PollHead>(following.get())) {
            co_await pollOnce(poll->interval);
        } else {
            co_await watchOnce();
        }
    }
}

} // namespace wasabiroad::control
