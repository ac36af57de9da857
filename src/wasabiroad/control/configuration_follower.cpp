#include "wasabiroad/control/configuration_follower.hpp"

#include "wasabiroad/kernel/log.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wasabiroad::control {

namespace {

/** A watch is renewed after this time, so that a half-open connection is detected. */
constexpr kernel::Duration watchTimeout { 10000 };
/** Limits the rate of calls during an outage of the platform. */
constexpr kernel::Duration retryDelay { 1000 };

} // namespace

ConfigurationFollower::ConfigurationFollower(kernel::EventBus& eventBus, platform::Store platformStore)
    : bus(eventBus)
    , store(std::move(platformStore))
{
    this->bus.subscribe<HeadPolicyChanged>([this](const HeadPolicyChanged& event) {
        this->policy = std::make_shared<const HeadPolicy>(event.policy);
        if (this->cancelPause) {
            this->cancelPause();
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
    // Logged after the publication, because the event states that new requests use the configuration.
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
    this->cancelPause = [&timer] { timer.cancel(); };
    boost::system::error_code cancelled;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    this->cancelPause = nullptr;
}

boost::asio::awaitable<void> ConfigurationFollower::watchOnce()
{
    const auto listing
        = co_await platform::watch(this->store, std::string { headKey }, this->revision, watchTimeout);
    if (!listing) {
        kernel::logEvent("platform-call-failed",
            { { "call", "watch" }, { "code", number(listing.error().code) },
                { "detail", listing.error().found } });
        co_await pause(retryDelay);
        co_return;
    }
    for (const auto& entry : listing->entries) {
        const auto head = parseHead(entry.value);
        if (head && !co_await fetch(*head)) {
            co_await pause(retryDelay);
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
        const auto currentPolicy = this->policy;
        if (const auto* const poll = std::get_if<PollHead>(currentPolicy.get())) {
            co_await pollOnce(poll->interval);
        } else {
            co_await watchOnce();
        }
    }
}

} // namespace wasabiroad::control
