#pragma once

#include "store.hpp"
#include "upstream.hpp"

#include <memory>
#include <optional>

namespace wasabiroad::soak {

/** @brief A pool of VMs, and the kinds of jobs that run on it. */
struct PoolSettings {
    std::string name {};
    int vms { 0 };
    bool spare { false };
    /** @brief Steps of a job, tasks of a step, and the mean of each task. */
    int steps { 2 };
    int width { 6 };
    std::int64_t cpu { 2000 };
    std::int64_t memory { 2000 };
    std::int64_t duration { 700 };
    bool saves { false };
};

/** @brief What goes wrong with orders to VMs. */
struct OrderFaults {
    /** @brief Share of orders that are rejected without effect. */
    double rejected { 0 };
    /** @brief Share of orders without an answer that are carried out seconds later. */
    double late { 0 };
    /** @brief Time of an answer. */
    milliseconds latency { 2 };
};

/** @brief The VMs, their upstreams, and the service that moves and maintains them. */
class Vms {
public:
    Vms(boost::asio::io_context& context, Store& store, Ledger& ledger, std::vector<PoolSettings> pools,
        std::vector<std::string> zones, std::uint64_t seed);

    /** @return Address of the service for one daemon. */
    std::string addEntrance();
    std::vector<std::unique_ptr<Server>>& entrances() { return this->servers; }

    /** @brief The operator asks for the maintenance of a share of the VMs. */
    void requestWave(double share, int maxCount);

    /** @return Upstreams that are up. */
    std::vector<Upstream*> upstreams();

    /** @brief An upstream crashes; it returns under its id or is lost for good. */
    Task<> crash(Upstream& upstream, milliseconds away);

    /** @brief An upstream restarts under its id. Its connections stay up, and its entry stays. */
    Task<> restartSilently(Upstream& upstream, milliseconds away);

    /** @brief An upstream crashes, and its VM starts another one. */
    Task<> replace(Upstream& upstream);

    /** @brief An upstream is drained and returns as another one. */
    Task<> drain(Upstream& upstream);

    /** @brief Another writer leaves entries that cannot be used. */
    void writeOddEntries();

    /** @return Free resources of each pool with jobs. */
    std::map<std::string, PoolRoom> rooms() const;

    /** @return Faults of orders to VMs, which the caller may change. */
    OrderFaults& faults() { return this->orderFaults; }

    /** @return Moves and maintenances so far. */
    std::size_t orders() const { return this->ordered; }

private:
    struct Vm {
        std::string name {};
        std::string pool {};
        std::string state { "up" };
        Upstream::Place place {};
        Upstream* upstream { nullptr };
        std::int64_t fence { 0 };
        std::set<std::int64_t> maintained {};
    };

    Task<std::optional<Answer>> answer(Request request);
    Answer list(const Request& request) const;
    Answer order(const Request& request);
    Task<> orderLater(Request request);
    /** @brief Changes the entry of an upstream, which others see after a lag. */
    Task<> publish(std::string id, std::optional<std::string> entry);
    Task<> complete(Vm& vm, milliseconds duration);
    Task<> heartbeat();
    Task<> advance();
    Task<> forget(std::string id);
    void create(Vm& vm);
    bool isSpare(const std::string& pool) const;
    void write(Upstream& upstream);

    boost::asio::io_context& context;
    Store& store;
    Ledger& ledger;
    Dice dice;
    const std::vector<PoolSettings> pools;
    std::vector<Vm> vms {};
    std::vector<std::unique_ptr<Upstream>> all {};
    std::vector<std::unique_ptr<Server>> servers {};
    std::map<std::int64_t, std::set<std::string>> waves {};
    std::size_t ordered { 0 };
    OrderFaults orderFaults {};
};

} // namespace wasabiroad::soak
