#pragma once

#include "http.hpp"

#include <deque>
#include <list>
#include <map>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace wasabiroad::soak {

/** @brief What goes wrong on the calls of one daemon to the store. */
struct StoreFaults {
    /** @brief Time of an answer, in ms. */
    std::int64_t latency { 4 };
    /** @brief Share of calls that are answered with `rejectStatus`, without effect. */
    double rejected { 0 };
    unsigned rejectStatus { 503 };
    /** @brief Share of calls whose answers are lost. */
    double lost { 0 };
    /** @brief Share of changes without an answer that are made seconds later. */
    double late { 0 };
    /** @brief Whether reads that may be stale are. */
    bool stale { false };
};

/** @brief The platform's store over HTTP, in memory, with an entrance for each daemon. */
class Store {
public:
    /** @brief The entrance of one daemon. */
    struct Entrance {
        Entrance(boost::asio::io_context& context, Store& store);

        StoreFaults faults {};
        Server server;
    };

    Store(boost::asio::io_context& context, std::uint64_t seed);

    Entrance& addEntrance();

    /** @brief Writes a key as the operator or an upstream does. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /** @brief Discards the history. */
    void compact();

    /** @brief Removes the leased keys of a daemon at once. @param ends Whether its leases end too. */
    void revoke(Entrance& entrance, bool ends = true);

    /** @return The daemon that last created a key with a lease, or null. */
    Entrance* lastTaker() const { return this->taker; }
    std::size_t takes() const { return this->taken; }

    /** @return The value of a key, or an empty text. */
    std::string find(const std::string& key) const;

    /** @return Keys with a prefix. */
    std::vector<std::string> keys(const std::string& prefix) const;

private:
    struct Item {
        std::string value {};
        std::int64_t revision { 0 };
        std::int64_t created { 0 };
        std::int64_t lease { 0 };
    };

    struct Event {
        std::string key {};
        std::int64_t revision { 0 };
        boost::json::object content {};
    };

    struct Lease {
        std::int64_t lifetime { 0 };
        std::int64_t ends { 0 };
        Entrance* holder { nullptr };
    };

    struct Watcher {
        std::string prefix {};
        boost::asio::steady_timer changed;
    };

    Task<std::optional<Answer>> answer(Entrance& entrance, Request request);
    Task<Answer> watch(Request request);
    Task<> changeLater(Entrance& entrance, Request request);
    Task<> work();
    Answer act(Entrance& entrance, const Request& request);
    Answer read(const Entrance& entrance, const Request& request) const;
    Answer list(const Entrance& entrance, const Request& request) const;
    Answer change(const Request& request);
    Answer grant(Entrance& entrance, const Request& request);
    Answer renew(std::int64_t id);
    void expire();
    void putItem(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t madeAt);
    void removeItem(const std::string& key, std::int64_t madeAt);
    void notify(const std::string& key);

    boost::asio::io_context& context;
    Dice dice;
    std::list<Entrance> entrances {};
    std::map<std::string, Item> items {};
    std::map<std::string, Item> oldItems {};
    std::int64_t oldRevision { 1 };
    std::deque<Event> history {};
    std::int64_t forgotten { 0 };
    std::map<std::int64_t, Lease> leases {};
    std::list<Watcher> watchers {};
    std::int64_t revision { 1 };
    std::int64_t lastLease { 1000 };
    std::int64_t writes { 0 };
    Entrance* taker { nullptr };
    std::size_t taken { 0 };
};

} // namespace wasabiroad::soak
