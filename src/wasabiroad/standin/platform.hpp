#pragma once

#include "wasabiroad/http/server.hpp"
#include "wasabiroad/http/target.hpp"
#include "wasabiroad/platform/memory_store.hpp"

#include <deque>
#include <map>

#include <boost/asio/steady_timer.hpp>

namespace wasabiroad::standin {

/** @brief Faults that the platform's stand-in injects. */
struct PlatformFaults {
    /** @brief Delay of each response. */
    const kernel::Duration delay {};
    /** @brief Whether calls are answered with status 503. */
    const bool outage { false };
    /** @brief Whether writes take effect but their connection is closed without a response. */
    const bool loseWriteResponses { false };

    friend auto operator<=>(const PlatformFaults&, const PlatformFaults&) = default;
};

/** @brief A VM in the platform's list. */
struct PlatformVm {
    const bool leaving { false };
    /** @brief End of the last maintenance stop, on the steady clock. */
    const kernel::Instant stoppedUntil {};
    /** @brief Highest step that a stop was called with. */
    const std::uint64_t step { 0 };

    friend auto operator<=>(const PlatformVm&, const PlatformVm&) = default;
};

/** @brief Stand-in of the platform's key-value service, with counted calls and faults; for tests only. */
class Platform {
public:
    explicit Platform(boost::asio::io_context& context);

    /** @brief Binds the service. Errors: ValueOutOfRange, ListenFailed. */
    kernel::Expected<std::string> listen(const std::string& address) { return this->server.listen(address); }

private:
    using Answer = boost::asio::awaitable<http::Response>;

    Answer handle(http::Request request);
    Answer route(const http::Request& request, const http::Target& target);
    http::Response readKey(const http::Request& request, const std::string& key);
    http::Response writeKey(const http::Request& request, const http::Target& target, const std::string& key);
    http::Response eraseKey(const http::Request& request, const http::Target& target, const std::string& key);
    Answer watch(const http::Request& request, const http::Target& target);
    http::Response lease(const http::Request& request, const http::Target& target);
    http::Response listVms(const http::Request& request) const;
    http::Response maintenance(const http::Request& request, const http::Target& target);
    void replaceVm(const std::string& id, const PlatformVm& vm);
    http::Response admin(const http::Request& request, const http::Target& target);

    boost::asio::io_context& context;
    platform::MemoryStore store {};
    boost::asio::steady_timer changed;
    std::shared_ptr<const PlatformFaults> faults { std::make_shared<const PlatformFaults>() };
    std::map<std::string, std::uint64_t> calls {};
    std::map<std::string, PlatformVm> vms {};
    kernel::Duration maintenanceDuration { 2000 };
    /** Every version of the ledgers and waves, oldest first, for outside checkers. */
    std::deque<platform::Entry> history {};
    http::Server server;
};

} // namespace wasabiroad::standin
