#pragma once

#include "store.hpp"
#include "worker.hpp"

#include <functional>
#include <list>

#include <sys/types.h>

namespace review {

/** @brief A process of the daemon, started with the command of the deploy file. */
struct Daemon {
    std::string name {};
    std::string callers {};
    std::string readiness {};
    pid_t process { 0 };
};

/** @brief The maintenance of a machine. */
struct Upkeep {
    std::string machine {};
    std::int64_t begin { 0 };
    std::int64_t end { 0 };
};

/**
 * @brief A small deployment on loopback: a store, upstreams, the service of the VMs, and daemons.
 *
 * It has one queue, under the prefix /q/ of the host "queue.example", whose service is "desk".
 */
class Site {
public:
    /**
     * @param folder Temporary folder for settings and logs.
     * @param record Receives what is sent, answered and run.
     */
    Site(std::string folder, Record& record);
    Site(const Site&) = delete;
    Site& operator=(const Site&) = delete;

    /** @brief Ends all daemons that it started. */
    void endDaemons();

    /** @brief Adds a machine with a worker, each on a rack of its own. */
    Worker& addWorker(const std::string& id, const std::string& machine);
    Daemon& addDaemon(const std::string& name);

    /** @return Whether all daemons report that they are ready within the time. */
    bool awaitReady(milliseconds timeout);

    /** @brief A worker is lost for good: it answers nothing and its entry is removed after three heartbeats.
     */
    void loseWorker(Worker& worker);

    void signal(const Daemon& daemon, int number);

    /** @brief Lets the store fall silent, or answer again. */
    void setStoreSilent(bool silent);

    /** @brief Stops a daemon with SIGTERM and starts it again. @return Whether it ended within the time. */
    bool stopAndStart(Daemon& daemon, milliseconds grace);

    /** @return The daemon that owns a duty, "pool/desk" or "fleet", or null. */
    Daemon* ownerOf(const std::string& duty);

    /** @brief Ends a daemon with SIGKILL and starts it again. */
    void killAndStart(Daemon& daemon);

    /** @brief The operator asks for the maintenance of machines. */
    void requestWave(const std::vector<std::string>& machines, int maxCount);

    /**
     * @brief Decides on each order for maintenance whether it is answered.
     * @param isLate Returns whether the order gets no answer and is carried out by `carryOutLate`.
     */
    void setLateOrders(std::function<bool(const std::string& machine)> isLate);

    /** @brief Carries out the maintenance of a machine whose order got no answer. */
    void carryOutLate(const std::string& machine);

    /** @return The maintenance of machines so far, with the times of the record. */
    std::vector<Upkeep> upkeeps();

    /** @brief Calls a daemon as a client does, and records it. */
    Answer request(const Daemon& daemon, const std::string& method, const std::string& job,
        const std::string& body, milliseconds timeout);

    /** @return Resident memory of a daemon in KB. */
    static std::int64_t memoryOf(const Daemon& daemon);

    std::list<Daemon>& allDaemons() { return this->daemons; }

    /** @return Tasks that run now on any worker. */
    std::set<std::string> running();

    RunLog& runs() { return this->log; }

private:
    void launch(Daemon& daemon);
    std::optional<Answer> answerVms(const Request& request);
    std::optional<Answer> maintain(const Request& request);
    void beginUpkeep(const std::string& machine);
    Worker& createWorker(const std::string& id, const std::string& machine);
    void writeEntries();

    const std::string folder;
    Record& record;
    RunLog log;
    Store store {};
    Server vms;
    std::mutex mutex {};
    std::list<Worker> workers {};
    /** @brief Machine of each worker, which also names its rack. */
    std::map<std::string, std::string> machines {};
    std::set<std::string> lost {};
    std::map<std::string, std::int64_t> fences {};
    std::map<std::string, std::size_t> lives {};
    std::vector<Upkeep> maintained {};
    std::function<bool(const std::string&)> lateOrders {};
    std::list<Daemon> daemons {};
};

/** @return A job of one step whose tasks run for a time, as a client sends it. */
std::string makeJob(int count, std::int64_t duration, int cpu = 1000, int memory = 512);

/** @return A job of one step of tasks that last. */
std::string makeLastingJob(int count);

/** @return A job that is due first in an hour, and then each minute. */
std::string makeScheduledJob(int count, int runCount);

} // namespace review
