#pragma once

#include "daemons.hpp"
#include "faults.hpp"
#include "vms.hpp"

namespace wasabiroad::soak {

/** @brief What one run plays. */
struct Settings {
    std::string program {};
    std::string folder {};
    std::uint64_t seed { 1 };
    /** @brief Time of the traffic, in seconds. */
    std::int64_t seconds { 40 };
    int daemons { 7 };
    std::vector<std::string> zones { "zone-a", "zone-b", "zone-c", "zone-d" };
    std::vector<PoolSettings> pools {
        { "pool-a", 8, false, 2, 6, 2300, 2300, 680, false },
        { "pool-b", 9, false, 2, 8, 5000, 5100, 1800, true },
        { "pool-c", 11, false, 2, 6, 2300, 2300, 680, false },
        { "pool-d", 12, false, 2, 8, 5000, 5100, 1800, true },
        { "pool-spare", 8, true },
    };
    /** @brief Work that arrives in a burst, as a share of the capacity of the pool. */
    double press { 1.0 };
    /** @brief Whether each daemon has a quarter of a core. */
    bool limited { true };
    /** @brief Daemons that are throttled all the time, though they don't work. */
    int throttled { 0 };
    /** @brief Whether a queue without jobs names the spare pool all the time. */
    bool spareQueue { false };
    /** @brief Share of the steps that have no tasks; half of these are gangs. */
    double emptyStepShare { 0 };
    std::set<std::string> disabled {};
    /** @brief Calm time after a series of faults, in ms. */
    std::int64_t calmGap { 9000 };
    /** @brief Whether all daemons lose power at the end of the traffic. */
    bool powerLoss { true };
};

/** @brief A queue that is added to those of the pools. */
struct ExtraQueue {
    std::string name {};
    std::string pool {};
};

enum class Verdict : int { Held = 0, Broken = 1, NotRun = 2 };

/** @brief One run: a deployment, its clients, its faults and the checks. */
class Play {
public:
    Play(boost::asio::io_context& context, Settings settings);

    Task<> run();
    Verdict verdict() const { return this->result; }
    const std::string& reason() const { return this->why; }
    void endDaemons();

private:
    friend class FaultPlayer;

    Task<bool> begin();
    Task<> watch();
    Task<> traffic();
    Task<> trouble();
    Task<> losePower();
    Task<> submit(std::string id);
    Task<> cancel(std::string id);
    Task<> follow(std::string id);
    Task<> finish();
    Task<> act(Fault fault);
    /** @return Id of a new job, which is submitted to a queue with this prefix. */
    std::string newJob(const PoolSettings& pool, bool lasts, std::string prefix);
    std::string newQueueName();
    /** @return A pool that is not a spare pool. */
    std::string drawPool();
    void addQueues(const std::vector<ExtraQueue>& added);
    void moveQueue(const std::string& name, const std::string& pool);
    void removeQueues(const std::vector<std::string>& names);
    /** @brief Puts a configuration with the current queues into force. */
    void configure();
    Task<Answer> ask(const char* method, std::string id);
    std::int64_t calm() const;
    void report(const std::string& text) const;

    boost::asio::io_context& context;
    const Settings settings;
    Dice dice;
    Store store;
    Ledger ledger {};
    Vms vms;
    std::vector<std::unique_ptr<Daemon>> daemons {};
    int disruptions { 0 };
    std::int64_t lastDisruption { 0 };
    bool over { false };
    /** @brief Share of new jobs whose tasks are long. */
    double longShare { 0 };
    std::vector<ExtraQueue> queues {};
    std::size_t queueNames { 0 };
    std::int64_t configurationVersion { 0 };
    std::size_t jobs { 0 };
    std::size_t ended { 0 };
    Verdict result { Verdict::NotRun };
    std::string why {};
};

} // namespace wasabiroad::soak
