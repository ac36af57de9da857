#pragma once

#include "http.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <vector>

namespace review {

/** @brief The platform's store over HTTP, in memory. */
class Store {
public:
    Store();

    std::string address() const { return this->server.address(); }

    /** @brief Writes a key as the operator or an upstream does. */
    void put(const std::string& key, const std::string& value);

    /** @brief While it is set, calls get no answer and nothing is done; leases run out meanwhile. */
    void setSilent(bool isSilent);

    /** @brief Removes a key. */
    void remove(const std::string& key);

    /** @return The value of a key, or nothing. */
    std::optional<std::string> find(const std::string& key);

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
        milliseconds lifetime {};
        Clock::time_point ends {};
    };

    std::optional<Answer> answer(const Request& request);
    Answer read(const Request& request);
    Answer list(const Request& request);
    Answer watch(const Request& request);
    Answer change(const Request& request);
    Answer grant(const Request& request);
    Answer renew(const std::string& id);
    Answer end(const std::string& id);
    void expireLeases();
    void expire();
    void putItem(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t revision);
    void removeItem(const std::string& key, std::int64_t revision);
    boost::json::object encode(const std::string& key, const Item& item) const;

    std::mutex mutex {};
    std::condition_variable changed {};
    std::map<std::string, Item> items {};
    std::deque<Event> history {};
    std::map<std::int64_t, Lease> leases {};
    std::int64_t revision { 1 };
    std::int64_t lastLease { 1000 };
    bool silent { false };
    Server server;
};

} // namespace review
