#pragma once

#include "wasabiroad/kernel/threads.hpp"
#include "wasabiroad/traffic/session.hpp"
#include "wasabiroad/traffic/snapshot_progress.hpp"

#include <unordered_map>

namespace wasabiroad::traffic {

/** @brief Accepts callers' connections on every traffic thread. */
class FrontEnd {
public:
    /** @param store Platform, for claims. */
    FrontEnd(kernel::Threads& threads, const settings::Settings& settings, metrics::Metrics& metrics,
        const platform::Store& store);

    /** @brief Binds the callers' address on all threads. Errors: ValueOutOfRange, ListenFailed. */
    kernel::Expected<std::string> listen(const std::string& address);

    /** @brief Sets who is told on the control thread when an upstream first says that it leaves. */
    void observeLeaving(DispatchPort::LeavingObserver observer);

    /** @brief Called on the control thread when all traffic threads use a snapshot. */
    using InUseObserver = std::function<void(std::uint64_t sequence)>;

    /** @brief Hands routing snapshots to all threads. */
    void subscribe(kernel::Publisher<model::RoutingSnapshot>& publisher, InUseObserver observer);

    /**
     * @brief Stops gracefully.
     *
     * Answers first close their connections while new ones are still served, so that a balancer
     * notices; then the listeners close, queued requests are refused and running ones end.
     * @param done Called on the control thread when no connection is left.
     */
    void drain(std::function<void()> done);

private:
    struct Lane {
        std::shared_ptr<ThreadState> thread;
        boost::asio::ip::tcp::acceptor acceptor;
        boost::asio::steady_timer timer;
        std::unordered_map<Session*, std::weak_ptr<Session>> sessions {};
    };

    kernel::Expected<std::string> bind(Lane& lane, const boost::asio::ip::tcp::endpoint& endpoint);
    boost::asio::awaitable<void> accept(Lane& lane);
    void serve(Lane& lane, boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> drainLane(Lane& lane);
    void acceptPending(Lane& lane);
    void laneDrained(const std::function<void()>& done);

    kernel::Threads& threads;
    const settings::Settings settings;
    const kernel::Clock clock { kernel::SteadyClock {} };
    const std::uint64_t incarnation;
    std::vector<std::unique_ptr<Lane>> lanes {};
    DispatchPort port;
    const Environment environment;
    SnapshotProgress progress;
    std::size_t lanesToDrain { 0 };
};

} // namespace wasabiroad::traffic
