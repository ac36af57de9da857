#pragma once

#include "entry.hpp"
#include "gate.hpp"
#include "http.hpp"
#include "store.hpp"

#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

using namespace wasabiroad::soak;

/** @brief A step of a job, as the client hands it in. */
struct Step {
    int count { 1 };
    std::int64_t cpu { 1000 };
    /** @brief Work of a task, in ms. */
    std::int64_t duration { 1000 };
    bool gang { false };
    bool saves { false };
    std::string label {};
    int perServer { 0 };
    /** @brief Whether it begins after the step before it. */
    bool chained { true };
    /** @brief Whether each of its runs fails. */
    bool fails { false };
};

struct Job {
    std::string queue {};
    std::vector<Step> steps {};
    int runs { 0 };
    std::int64_t firstDue { 0 };
    std::int64_t interval { 0 };
    bool accepted { false };
    std::int64_t cancelled { 0 };
};

class World;

/** @brief A worker as PROTOCOL.md describes it, with gangs and checkpoints. */
class Worker {
public:
    Worker(World& world, std::string id, std::string machine, std::string rack, std::string kind);

    const std::string& id() const { return this->name; }
    const std::string& machine() const { return this->vm; }
    const std::string& kind() const { return this->label; }
    bool isUp() const { return this->up; }
    bool isRunning(const std::string& task) const { return this->runs.contains(task); }
    std::size_t runCount() const { return this->runs.size(); }
    std::string entry();

    /** @brief Loses all that it holds. @param resets Whether its connections are reset or fall silent. */
    void crash(bool resets);

    /** @brief Starts again under its id, possibly as another kind. */
    void restart(std::string kind);

    /** @brief Ends what is done, has lapsed or waits for its gang in vain. */
    void advance();

    /** @brief Keeps the next start from being answered and carried out. */
    void delayStarts(bool held) { this->holdsStarts = held; }

    /** @brief Delivers the start that was kept back. */
    void deliverStart();
    bool hasKeptStart() const { return !this->keptStart.empty(); }

    /** @brief Ends a run. */
    void end(const std::string& task, const std::string& how);

    Link& path() { return this->server.path(); }

private:
    friend class World;

    struct Run {
        std::int64_t number { 0 };
        std::int64_t since { 0 };
        std::string checkpoint {};
    };

    struct End {
        std::string task {};
        std::int64_t run { 0 };
        std::string how {};
        std::string saved {};
    };

    Task<std::optional<Answer>> answer(Request request);
    Answer act(const std::string& path, const boost::json::object& body);
    Answer begin(const boost::json::object& body);
    Answer stop(const boost::json::object& body);
    Answer refuse(const std::string& reason) const;
    Answer list();
    std::int64_t clock() const { return nowMs() - this->started; }
    std::int64_t progress(const std::string& task, const Run& run) const;
    std::string saved(const std::string& task, const Run& run, bool exactly) const;

    World& world;
    const std::string name;
    const std::string vm;
    const std::string rack;
    std::string label;
    std::map<std::string, Run> runs {};
    std::map<std::string, std::int64_t> lastRuns {};
    std::map<std::int64_t, End> ends {};
    std::int64_t lastEnd { 0 };
    std::int64_t fence { 0 };
    std::int64_t leaseEnd { 0 };
    std::int64_t started { 0 };
    std::int64_t born { 0 };
    std::int64_t sequence { 0 };
    bool up { true };
    bool holdsStarts { false };
    boost::json::object keptStart {};
    Signal ended {};
    Server server;
};

/** @brief One run of a gang, over all workers. */
struct Gang {
    std::map<std::string, Worker*> members {};
    std::string checkpoint {};
    std::int64_t began { 0 };
};

struct Place {
    std::string program {};
    std::string folder {};
    std::string record {};
};

/** @brief The platform, the workers of one service, the clients and what they have seen. */
class World {
public:
    World(boost::asio::io_context& context, Place place, int daemons, const std::vector<std::string>& kinds);

    boost::asio::io_context& io() { return this->context; }
    Store& metadata() { return this->store; }
    std::vector<std::unique_ptr<Worker>>& all() { return this->workers; }
    std::vector<std::unique_ptr<Entry>>& entries() { return this->daemons; }
    Dice& random() { return this->dice; }

    Task<bool> begin();
    void endDaemons();

    /** @brief Hands a job in until it is accepted. */
    Task<> submit(std::string id, Job job);

    /** @return State of a job that a client is shown, or the status of the answer. */
    Task<std::string> state(std::string id);
    Task<Answer> ask(const char* method, std::string id, std::string body);

    /** @brief Writes the entry of a worker, which others see after the lag of the discovery. */
    Task<> publish(Worker& worker);
    Task<> forget(Worker& worker, milliseconds after);

    /** @return Whether a job has tasks that haven't ended `done`, and nothing of it runs. */
    bool stands(const std::string& id) const;

    /** @return Share of the processors of the workers that is in use. */
    double usedShare() const;

    void note(const std::string& line);
    void disrupt() { this->lastDisruption = nowMs(); }
    /** @brief Notes a broken rule. */
    void violate(const std::string& rule, const std::string& detail);
    std::size_t violations(const std::string& rule) const;

    const Step* stepOf(const std::string& task) const;
    const Job* jobOf(const std::string& task) const;

    std::map<std::string, Job> jobs {};
    std::map<std::string, Gang> gangs {};
    /** @brief Tasks with an end `done` that was taken note of. */
    std::set<std::string> completed {};
    /** @brief Tasks that have ended `done`. */
    std::set<std::string> ended {};
    /** @brief Length of a checkpoint. */
    std::size_t checkpointSize { 16 };
    std::int64_t lastDisruption { -100000 };

private:
    Task<std::optional<Answer>> answer(Request request);
    Task<> heartbeat();
    Task<> advance();

    boost::asio::io_context& context;
    const Place at;
    std::ofstream record;
    Dice dice;
    Store store;
    std::vector<std::unique_ptr<Worker>> workers {};
    std::list<Server> platforms {};
    std::list<Gate> gates {};
    std::vector<std::unique_ptr<Entry>> daemons {};
    std::map<std::string, std::size_t> broken {};
};

/** @return ID.K.STEP and the number of a run, which name a run of a gang. */
std::string gangName(const std::string& task, std::int64_t run);

} // namespace review
