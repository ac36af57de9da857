#pragma once

#include "test/platform/soak/http.hpp"

#include <deque>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

/** @brief Stand-ins of the platform, the workers and the clients for the scripts of this review. */
namespace review {

namespace json = boost::json;
using wasabiroad::soak::Answer;
using wasabiroad::soak::milliseconds;
using wasabiroad::soak::nowMs;
using wasabiroad::soak::Request;
using wasabiroad::soak::Server;
using wasabiroad::soak::Task;

/** @brief Bounds of the small site file accord-pnw. */
struct Bounds {
    std::int64_t contact { 3000 };
    std::int64_t configApply { 2000 };
    std::int64_t maxHold { 10000 };
    std::int64_t stop { 200 };
    std::int64_t gangWait { 3000 };
    std::int64_t grace { 6000 };
    std::int64_t lease { 3000 };
    std::int64_t status { 120000 };
    std::int64_t heartbeat { 1500 };
    /** @brief History of the store. */
    std::int64_t history { 20000 };
};

/** @brief Writes what was sent, answered and run, each line with its time. */
class Journal {
public:
    explicit Journal(const std::string& path)
        : output(path)
    {
    }

    void write(const std::string& line);
    /** @brief Notes a broken rule. */
    void violate(const std::string& rule, const std::string& detail);
    const std::vector<std::string>& violations() const { return this->broken; }

private:
    std::ofstream output;
    std::vector<std::string> broken {};
};

/** @brief The platform's store, with an entrance for each daemon. */
class Store {
public:
    Store(boost::asio::io_context& context, Bounds bounds, std::int64_t firstRevision);

    /** @return Address of a new entrance. */
    std::string addEntrance();
    Server& entrance(std::size_t index) { return *this->entrances.at(index); }
    /** @brief Writes a key as the operator or a worker does. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::string find(const std::string& key) const;
    std::int64_t currentRevision() const { return this->revision; }

private:
    struct Item {
        std::string value {};
        std::int64_t revision { 0 };
        std::int64_t created { 0 };
        std::int64_t lease { 0 };
    };
    struct Event {
        std::int64_t revision { 0 };
        std::int64_t time { 0 };
        std::string key {};
        json::object content {};
    };
    struct Lease {
        std::int64_t lifetime { 0 };
        std::int64_t ends { 0 };
    };
    struct Watcher {
        std::string prefix {};
        boost::asio::steady_timer changed;
    };

    Task<std::optional<Answer>> answer(Request request);
    Task<Answer> watch(Request request);
    Task<> work();
    Answer act(const Request& request);
    Answer read(const Request& request) const;
    Answer list(const Request& request) const;
    Answer change(const Request& request);
    void putItem(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t at);
    void removeItem(const std::string& key, std::int64_t at);
    void note(const std::string& key, std::int64_t at, json::object content);
    void expire();

    boost::asio::io_context& context;
    const Bounds bounds;
    std::vector<std::unique_ptr<Server>> entrances {};
    std::map<std::string, Item> items {};
    std::deque<Event> history {};
    std::int64_t forgotten { 0 };
    std::map<std::int64_t, Lease> leases {};
    std::list<Watcher> watchers {};
    std::int64_t revision { 0 };
    std::int64_t lastLease { 0 };
};

/** @brief A step as its client sent it. */
struct Step {
    int count { 1 };
    std::int64_t cpu { 1000 };
    std::int64_t memory { 500 };
    std::int64_t duration { 500 };
    std::vector<int> after {};
    bool gang { false };
    int perServer { 0 };
    std::string label {};
    /** @brief Share of its runs that fail. */
    double fails { 0 };
};

/** @brief A job of a client. */
struct Job {
    std::string pool {};
    std::vector<Step> steps {};
    std::string spec {};
    int runCount { 0 };
    std::int64_t startMs { 0 };
    std::int64_t intervalMs { 0 };
    bool accepted { false };
    bool cancelled { false };
    /** @brief State that a client was shown last. */
    std::string shown {};
};

/** @brief What clients have sent, and what workers run. */
class Ledger {
public:
    Ledger(Journal& journal, Bounds bounds)
        : log(journal)
        , limits(bounds)
    {
    }

    Journal& journal() { return this->log; }
    const Bounds& bounds() const { return this->limits; }
    std::map<std::string, Job>& jobs() { return this->all; }

    /** @return The step that a task belongs to, or nothing. */
    const Step* stepOf(const std::string& task) const;
    static std::string stepName(const std::string& task);

    /** @brief A run begins on one life of a worker. */
    void begin(const std::string& life, const std::string& task, std::int64_t run);
    void end(const std::string& life, const std::string& task, std::int64_t run, const std::string& how);
    /** @brief All that ran on a worker is gone. */
    void lose(const std::string& life);
    /** @brief An end was taken note of. */
    void note(const std::string& task, std::int64_t run, const std::string& how);

    /** @return Members of a run of a gang that are present. */
    int present(const std::string& step, std::int64_t run) const;
    std::size_t starts() const { return this->started; }

private:
    struct Active {
        std::string life {};
        std::int64_t run { 0 };
    };

    void checkOrder(const std::string& task, const Step& step) const;
    void checkRoom(const std::string& life, const std::string& task) const;

    Journal& log;
    const Bounds limits;
    std::map<std::string, Job> all {};
    std::map<std::string, std::vector<Active>> active {};
    /** @brief Tasks with an end `done`, and those of which it was taken note. */
    std::set<std::string> ended {};
    std::set<std::string> noted {};
    std::map<std::string, std::set<std::int64_t>> failed {};
    std::size_t started { 0 };
};

/** @brief Processor and memory of a worker of the small site. */
inline constexpr std::int64_t workerCpu = 32000;
inline constexpr std::int64_t workerMemory = 65536;

/** @brief Attempts of a task that the queues allow. */
inline constexpr std::size_t maxAttempts = 3;

/** @brief HTTP server of a worker, whose host may lose power or be cut off. */
class WorkerServer {
public:
    WorkerServer(boost::asio::io_context& context, wasabiroad::soak::Handler handler);
    WorkerServer(const WorkerServer&) = delete;
    WorkerServer& operator=(const WorkerServer&) = delete;

    const std::string& address() const { return this->text; }
    /** @brief Resets the present connections. */
    void reset();
    /** @brief Drops all that is sent on any connection, as without power or behind a cut. */
    void drop(bool drops) { this->dropping = drops; }
    /** @brief Forgets the present connections: the next request on each of them is answered with a reset. */
    void forget() { ++this->life; }

private:
    Task<> accept();
    Task<> serve(boost::asio::ip::tcp::socket socket);

    const wasabiroad::soak::Handler handler;
    boost::asio::ip::tcp::acceptor acceptor;
    std::string text {};
    std::set<boost::asio::ip::tcp::socket*> sockets {};
    std::uint64_t life { 0 };
    bool dropping { false };
};

/** @brief A worker that runs tasks under a lease. */
class Worker {
public:
    Worker(boost::asio::io_context& context, Store& store, Ledger& ledger, std::string id, std::string pool,
        std::string kind, std::string rack);

    const std::string& id() const { return this->name; }
    const std::string& machine() const { return this->machineName; }
    const std::string& pool() const { return this->service; }
    const std::string& kind() const { return this->label; }
    const std::string& rack() const { return this->rackName; }
    bool isUp() const { return this->up; }
    std::size_t runCount() const { return this->runs.size(); }

    /** @brief It ends at once. @param silent Whether its connections are not reset. */
    void crash(bool silent = false);
    /** @brief It is cut off from all daemons and runs on. */
    void cut(bool isCut);
    /** @brief It starts again under its id, as a worker of this kind, and registers `entryLag` later. */
    void revive(const std::string& newKind, milliseconds entryLag);

private:
    struct Running {
        std::int64_t run { 0 };
        std::int64_t present { 0 };
        /** @brief When it began to work; 0 while a gang is incomplete. */
        std::int64_t works { 0 };
        Step step {};
        /** @brief When a stop takes effect; 0 without one. */
        std::int64_t stops { 0 };
        bool fails { false };
    };
    struct End {
        std::string task {};
        std::int64_t run { 0 };
        std::string how {};
        /** @brief Times that the lease had lapsed by then. */
        std::int64_t lapses { 0 };
    };

    Task<std::optional<Answer>> answer(Request request);
    Task<> work();
    Task<> beat();
    Answer begin(const json::object& body);
    Answer stop(const json::object& body);
    Answer list();
    Answer refuse(const std::string& reason) const;
    Answer accept() const;
    void advance();
    void endRun(const std::string& task, const std::string& how);
    void extendLease(std::int64_t until);
    void publish();
    Task<> publishLater(milliseconds delay);
    std::int64_t clock() const { return nowMs() - this->startedAt; }
    std::string life() const { return this->name + "#" + std::to_string(this->incarnation); }

    boost::asio::io_context& context;
    Store& store;
    Ledger& ledger;
    const std::string name;
    const std::string machineName;
    const std::string service;
    std::string label;
    const std::string rackName;
    wasabiroad::soak::Dice dice;
    wasabiroad::soak::Signal changed {};
    std::int64_t incarnation { 1 };
    std::int64_t born { 0 };
    std::int64_t startedAt { 0 };
    std::map<std::string, Running> runs {};
    std::map<std::string, std::int64_t> lastRuns {};
    std::map<std::int64_t, End> ends {};
    std::int64_t lastEnd { 0 };
    std::int64_t fence { 0 };
    std::int64_t leaseEnd { 0 };
    std::int64_t lapses { 0 };
    std::int64_t sequence { 0 };
    bool up { true };
    /** @brief Whether this life has written its entry. */
    bool registered { true };
    WorkerServer server;
};

/** @brief A process of the project. */
class Daemon {
public:
    Daemon(std::string program, std::string folder, std::string name, std::string zone);
    ~Daemon() { kill(); }
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    void launch(const std::string& platform, const std::string& vms, const Bounds& bounds);
    void signal(int number) const;
    /** @brief Starts the process again with the same settings. */
    void relaunch();
    void kill();
    bool isUp() const { return this->process > 0; }
    /** @return Whether the process has ended by itself. */
    bool hasEnded();
    /** @return Processor time that it has used, in ms. */
    std::int64_t processorTime() const;
    const std::string& name() const { return this->entry; }
    const std::string& callers() const { return this->callerAddress; }
    const std::string& readiness() const { return this->readinessAddress; }

private:
    void execute();

    const std::string programPath;
    const std::string folderPath;
    const std::string entry;
    const std::string zoneName;
    std::string callerAddress;
    std::string readinessAddress;
    pid_t process { 0 };
};

/** @brief A deployment: the store, workers, machines, daemons and their clients. */
class World {
public:
    World(boost::asio::io_context& context, const std::string& program, const std::string& folder,
        Journal& journal, std::int64_t firstRevision);

    Store& store() { return this->metadata; }
    Ledger& ledger() { return this->rules; }
    Journal& journal() { return this->log; }
    const Bounds& bounds() const { return this->limits; }
    std::vector<std::unique_ptr<Worker>>& workers() { return this->machines; }
    std::vector<std::unique_ptr<Daemon>>& daemons() { return this->fronts; }
    boost::asio::io_context& io() { return this->context; }

    void addWorkers(const std::string& pool, int count, const std::vector<std::string>& kinds);
    /** @brief The operator writes a configuration with a queue for each name, and others that idle. */
    void configure(const std::vector<std::pair<std::string, std::string>>& queues, int idleRoutes);
    /** @return Whether all daemons became ready. */
    Task<bool> launch(int count);

    /** @return The answer to a request of a client, with a line in the journal. */
    Task<Answer> ask(std::size_t daemon, std::string method, std::string target, std::string body = {});
    /** @return Whether a job was accepted, after up to five attempts. */
    Task<bool> submit(std::size_t daemon, std::string id, std::string queue, Job job);
    /** @return The state that a client is shown, or an empty text. */
    Task<std::string> state(std::size_t daemon, std::string id, std::string queue);
    /** @return A new id of a job. */
    std::string newId();
    /** @brief Notes daemons that have ended by themselves. */
    void checkDaemons();

private:
    Task<std::optional<Answer>> answerCloud(Request request);

    boost::asio::io_context& context;
    const std::string programPath;
    const std::string folderPath;
    Journal& log;
    const Bounds limits {};
    Ledger rules;
    Store metadata;
    Server cloud;
    std::vector<std::unique_ptr<Worker>> machines {};
    std::vector<std::unique_ptr<Daemon>> fronts {};
    std::int64_t version { 7 };
    std::int64_t ids { 0 };
};

} // namespace review
