#pragma once

#include "record.hpp"

#include <condition_variable>
#include <map>
#include <set>
#include <vector>

namespace review {

/** @brief A start or an end of a run, as an upstream saw it. */
struct RunEvent {
    std::int64_t at { 0 };
    std::string worker {};
    std::string task {};
    std::int64_t run { 0 };
    /** @brief "start", how the run ended, or "noted" when that end was acknowledged under the same lease. */
    std::string kind {};
};

/** @brief The runs of all upstreams. */
class RunLog {
public:
    explicit RunLog(Record& record)
        : record(record)
    {
    }

    void add(const std::string& worker, const std::string& task, std::int64_t run, const std::string& kind);
    std::vector<RunEvent> events();

private:
    Record& record;
    std::mutex mutex {};
    std::vector<RunEvent> all {};
};

/**
 * @brief An upstream that runs tasks under a lease.
 *
 * The text "spec" of a job holds how long its tasks run in ms; 0 stands for tasks that last.
 */
class Worker {
public:
    Worker(std::string id, RunLog& log);

    const std::string& id() const { return this->name; }

    /** @return Its entry in the store. */
    std::string entry(const std::string& service, const std::string& rack, const std::string& state);

    /** @brief Loses all that it runs; it answers nothing any more. */
    void crash();

    /** @return Tasks that run now. */
    std::set<std::string> running();

private:
    struct Running {
        std::int64_t run { 0 };
        Clock::time_point started {};
        std::int64_t duration { 0 };
    };

    struct End {
        std::string task {};
        std::int64_t run { 0 };
        std::string how {};
        /** @brief Times that the lease had lapsed when the run ended. */
        std::int64_t lapses { 0 };
    };

    std::optional<Answer> answer(const Request& request);
    Answer start(const boost::json::object& body);
    Answer stop(const boost::json::object& body);
    Answer hold(const boost::json::object& body, std::unique_lock<std::mutex>& lock);
    Answer refuse(const std::string& reason) const;
    std::int64_t clock() const;
    void extendLease(std::int64_t until);
    /** @brief Forgets ends up to a number, which is how they are taken note of. */
    void acknowledge(std::int64_t number);
    void endRun(const std::string& task, const std::string& how);
    void advance();
    void advanceRegularly();

    const std::string name;
    const std::int64_t born;
    const Clock::time_point started { Clock::now() };
    RunLog& log;
    std::mutex mutex {};
    std::condition_variable ended {};
    std::map<std::string, Running> runs {};
    std::map<std::string, std::int64_t> closed {};
    std::map<std::int64_t, End> ends {};
    std::int64_t lastEnd { 0 };
    std::int64_t fence { 0 };
    std::int64_t leaseEnd { 0 };
    std::int64_t lapses { 0 };
    std::int64_t sequence { 0 };
    bool up { true };
    Server server;
};

} // namespace review
