#pragma once

#include "wasabiroad/store/store.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

namespace wasabiroad::standin {

/** @brief What is wrong between one daemon and the store; tests change it while they run. */
struct StoreFaults {
    /** @brief Calls get no answer and are not carried out. */
    bool silent { false };
    /** @brief Calls are refused. */
    bool busy { false };
    /** @brief Changes are carried out and not answered. */
    bool losesAnswers { false };
    /** @brief Changes that write a key under this prefix are refused; empty for none. */
    std::string refusedPrefix {};
    /** @brief Answers to lists arrive this much later than they were made. */
    kernel::Duration listDelay {};
    /** @brief Renewals of leases are carried out and not answered. */
    bool losesRenewals { false };
    /** @brief Lists under this prefix lack their entries; empty for none. */
    std::string omittedPrefix {};
    /** @brief Watches get no answer. */
    bool silentWatches { false };
    /** @brief Changes are not answered, and carried out this much later; 0 for none of that. */
    kernel::Duration changeDelay {};
    /** @brief Lists that were asked for. */
    std::size_t lists { 0 };
};

/** @brief A key-value store in memory with conditions, leases, watches and a history that can be dropped. */
class KeyValue {
public:
    explicit KeyValue(boost::asio::io_context& context);

    /** @return Calls over a connection with these faults. */
    store::Store connect(std::shared_ptr<StoreFaults> faults);

    /** @brief Writes a key as the operator does. */
    void put(const std::string& key, const std::string& value);

    /** @return The entry of a key, or nothing. */
    std::optional<store::Entry> find(const std::string& key) const;

    /** @return All entries under a prefix. */
    store::Listing list(const std::string& prefix) const;

    /** @return Entries under a prefix that lists over connections have returned so far. */
    std::size_t listedCount(const std::string& prefix) const;

    /** @brief Forgets all changes; watches that ask for them are told so. */
    void dropHistory();

    /** @brief Removes a key without an event, as a store does that loses leased keys in an outage. */
    void removeUnseen(const std::string& key);

    /** @brief Ends all leases, as after an outage. */
    void endLeases();

private:
    struct Item {
        std::string value {};
        std::uint64_t revision { 0 };
        std::uint64_t created { 0 };
        std::uint64_t lease { 0 };
    };

    struct Watch {
        std::string prefix;
        std::uint64_t after { 0 };
        std::shared_ptr<StoreFaults> faults;
        store::Callback<store::WatchOutcome> callback;
        std::uint64_t number { 0 };
    };

    store::Entry entryOf(const std::string& key, const Item& item) const;
    store::ChangeOutcome apply(const store::Change& change);
    void remove(const std::string& key, std::uint64_t revision);
    void record(store::KeyEvent event);
    void answerWatches();
    store::WatchOutcome eventsAfter(const std::string& prefix, std::uint64_t after) const;
    void endLease(std::uint64_t lease);
    void expireLeases();
    void watch(std::string prefix, store::Revision after, kernel::Duration wait,
        const std::shared_ptr<StoreFaults>& faults, store::Callback<store::WatchOutcome> callback);

    boost::asio::io_context& context;
    std::map<std::string, Item> items {};
    std::uint64_t revision { 1 };
    std::uint64_t historyFrom { 0 };
    std::deque<std::pair<std::uint64_t, store::KeyEvent>> history {};
    std::map<std::uint64_t, std::pair<kernel::Duration, kernel::Instant>> leases {};
    std::list<Watch> watches {};
    std::uint64_t numbers { 0 };
    /** @brief Entries that lists have returned, by the prefix that was asked for. */
    std::map<std::string, std::size_t> listed {};
};

} // namespace wasabiroad::standin
