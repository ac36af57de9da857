#pragma once

#include "wasabiroad/control/configuration_follower.hpp"
#include "wasabiroad/kernel/kernel.hpp"
#include "wasabiroad/metrics/metrics.hpp"
#include "wasabiroad/peer/links.hpp"
#include "wasabiroad/peer/spread.hpp"
#include "wasabiroad/peer/transport.hpp"
#include "wasabiroad/peer/watch_role.hpp"
#include "wasabiroad/settings/settings.hpp"

#include <boost/asio/steady_timer.hpp>

namespace wasabiroad::peer {

/** @brief Runs the decisions about peers on the control thread: timers, messages, and events of the bus. */
class Node {
public:
    explicit Node(kernel::Kernel& kernel);

    /** @brief Starts to listen and to send. Errors: ListenFailed, PeerUnauthenticated. */
    kernel::Expected<void> start();

    /** @brief Tells the peers that this daemon stops, so that they remove it at once. */
    void leave();

    /** @brief Ends timers and sockets. */
    void stop();

private:
    void tick();
    void scheduleTick();
    void announce(bool withLinks);
    void ask();
    void settle(const Changes& changes);
    void decideRole();
    void closeUnusedLinks(kernel::Instant now);
    bool send(const model::EntryId& peer, Body body);
    bool sendStamped(const model::EntryId& peer, std::uint64_t sequence, Body body);
    Heartbeat heartbeatFor(const model::EntryId& peer) const;

    void reportRejected(const std::string& address);
    void receive(const model::EntryId& sender, std::string_view bytes);
    void handle(const model::EntryId& sender, const Heartbeat& heartbeat);
    void handle(const model::EntryId& sender, const ManifestRequest& request);
    void handle(const model::EntryId& sender, const ManifestReply& reply);
    void handle(const model::EntryId& sender, const LeavingVms& leaving);

    boost::asio::awaitable<void> pollVms();
    void takeLeaving(std::set<model::VmId> vms);
    void sendLeaving();
    void countMessages();

    kernel::Kernel& kernel;
    const std::shared_ptr<const settings::Settings> settings;
    const std::shared_ptr<metrics::Metrics> metrics;
    const std::shared_ptr<control::ConfigurationFollower> follower;
    const std::shared_ptr<const platform::Store> store;
    Membership membership;
    Links links {};
    Spread spread {};
    std::unique_ptr<Transport> transport {};
    boost::asio::steady_timer timer;
    boost::asio::steady_timer vmTimer;
    std::uint64_t sequence { 0 };
    std::uint64_t ticks { 0 };
    bool platformReachable { true };
    bool leaving { false };
    WatchRole role { Watcher {} };
    std::set<model::VmId> leavingVms {};
    /** Times until which no rejection of an address is logged again. */
    std::map<std::string, kernel::Instant> rejectedUntil {};
    std::shared_ptr<const control::MembershipChanged> published {
        std::make_shared<const control::MembershipChanged>()
    };
    std::shared_ptr<const TransportCounts> counted { std::make_shared<const TransportCounts>() };
};

} // namespace wasabiroad::peer
