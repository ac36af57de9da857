#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wasabiroad::soak {

/** @brief A step of a job; each step waits for the one before. */
struct Step {
    int count { 0 };
    std::int64_t cpu { 0 };
    std::int64_t memory { 0 };
    /** @brief Time that a task takes, in ms; 0 for tasks that last. */
    std::int64_t duration { 0 };
    /** @brief Tasks on one upstream at most; 0 without a limit. */
    int perServer { 0 };
    bool saves { false };
    /** @brief Whether the step is sent as a gang; upstreams run no gangs, so only steps without tasks may be.
     */
    bool gang { false };

    bool lasts() const { return this->duration == 0; }
    auto operator<=>(const Step&) const = default;
};

/** @brief Room on an upstream that may be used. */
struct Room {
    std::string upstream {};
    std::int64_t cpu { 0 };
    std::int64_t memory { 0 };
};

/** @brief Upstreams of a pool, as the check of idle jobs sees them. */
struct PoolRoom {
    std::vector<Room> rooms {};
    /** @brief Whether under half of the capacity is in use. */
    bool underHalf { false };
};

/** @brief A broken rule. */
struct Violation {
    std::string rule {};
    std::string job {};
    std::string pool {};
    std::string detail {};
};

/** @brief What clients were told and upstreams have run, and the rules on it. */
class Ledger {
public:
    struct Job {
        std::string pool {};
        std::string prefix {};
        std::vector<Step> steps {};
        std::string body {};
        bool accepted { false };
        bool cancelled { false };
        bool closed { false };
        std::int64_t idleSince { 0 };
        bool reported { false };
    };

    void add(const std::string& id, Job job);
    void accept(const std::string& id);
    void cancel(const std::string& id) { this->jobs.at(id).cancelled = true; }

    /** @brief Clients ask for the job through another queue from now on. */
    void redirect(const std::string& id, const std::string& prefix) { this->jobs.at(id).prefix = prefix; }

    /**
     * @brief Checks the state that a client was shown.
     * @param state Text of the answer; empty if the job is not known.
     */
    void show(const std::string& id, const std::string& state);

    /** @return The step that a task belongs to, or nothing. */
    std::optional<Step> stepOf(const std::string& task) const;

    /** @param life Upstream and its incarnation. */
    void begin(const std::string& life, const std::string& task, std::int64_t run);
    void end(const std::string& life, const std::string& task, std::int64_t run, const std::string& how);

    /** @brief An answer lists the end of a run. */
    void list(const std::string& task) { this->tasks[task].shown = true; }

    /** @param sure Whether the lease has not lapsed since the end. */
    void note(const std::string& life, const std::string& task, std::int64_t run, bool sure);

    /** @brief All that an upstream ran or listed is gone with it. */
    void lose(const std::string& life);

    /** @brief Looks for jobs that stand though they could run. @param calm Time since the last disruption. */
    void checkIdle(const std::map<std::string, PoolRoom>& pools, std::int64_t calm);

    /** @return Whether all ends of a job are taken note of. */
    bool isDone(const std::string& id) const;

    void violate(const std::string& rule, const std::string& job, const std::string& detail);

    const std::map<std::string, Job>& all() const { return this->jobs; }
    const std::vector<Violation>& violations() const { return this->broken; }

    /** @return Starts of tasks so far. */
    std::size_t starts() const { return this->begun; }

private:
    struct Progress {
        std::set<std::pair<std::string, std::int64_t>> running {};
        /** @brief Ends that are not taken note of. */
        std::set<std::pair<std::string, std::int64_t>> listed {};
        bool done { false };
        /** @brief Whether a run has ended done, and whether an answer has listed that end. */
        bool ended { false };
        bool shown { false };
        bool surelyDone { false };
        std::set<std::string> upstreams {};
        std::int64_t lastRun { 0 };
    };

    bool hasRoom(const PoolRoom& pool, const std::string& id, std::size_t step) const;

    std::map<std::string, Job> jobs {};
    std::map<std::string, Progress> tasks {};
    std::vector<Violation> broken {};
    std::size_t begun { 0 };
};

/** @return The name of a task. */
std::string taskName(const std::string& job, std::size_t step, int index);

} // namespace wasabiroad::soak
