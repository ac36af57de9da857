#pragma once

#include "http.hpp"
#include "ledger.hpp"

#include <map>

namespace wasabiroad::soak {

/** @brief An upstream that runs tasks under a lease. */
class Upstream {
public:
    struct Place {
        std::string vm {};
        std::string zone {};
        std::string rack {};
        std::int64_t cpu { 0 };
        std::int64_t memory { 0 };
    };

    Upstream(boost::asio::io_context& context, Ledger& ledger, std::string id, std::string pool, Place place,
        std::uint64_t seed);

    const std::string& id() const { return this->name; }
    const std::string& pool() const { return this->service; }
    const Place& place() const { return this->at; }
    Link& path() { return this->server.path(); }

    /** @return Its entry in the store. */
    std::string entry();

    /** @brief Loses all that it runs and answers nothing any more. @param resets Whether its connections are
     * reset. */
    void crash(bool resets = true);

    /** @brief Ends with its VM by an order, after which no task may be started on it. */
    void depart();

    /** @brief Begins another life at the same address. */
    void revive();

    void drain(bool isDraining) { this->draining = isDraining; }

    /** @brief Share of calls that are carried out seconds later and not answered. */
    void setLate(double share) { this->late = share; }

    bool isUp() const { return this->up; }
    bool isUsable() const
    {
        return this->up && !this->draining && this->server.path().mode() == Traffic::Passing;
    }

    /** @return Resources that are not in use. */
    Room room() const;

    /** @brief Ends what is done or has lapsed. */
    void advance();

private:
    struct Running {
        std::int64_t run { 0 };
        std::int64_t started { 0 };
        std::int64_t saved { 0 };
        Step step {};
    };

    struct End {
        std::string task {};
        std::int64_t run { 0 };
        std::string how {};
        std::string saved {};
        /** @brief Times that the lease had lapsed when the run ended. */
        std::int64_t lapses { 0 };
    };

    Task<std::optional<Answer>> answer(Request request);
    Task<> actLater(Request request, std::int64_t incarnation);
    Task<Answer> hold(boost::json::object body);
    Answer act(const std::string& path, const boost::json::object& body);
    Answer begin(const boost::json::object& body);
    Answer stop(const boost::json::object& body);
    Answer listRuns();
    Answer refuse(const std::string& reason) const;
    std::string life() const { return this->name + "#" + std::to_string(this->incarnation); }
    std::int64_t clock() const;
    std::int64_t progress(const Running& running) const;
    void extendLease(std::int64_t until);
    void acknowledge(std::int64_t number);
    void endRun(const std::string& task, const std::string& how);

    const std::string name;
    const std::string service;
    const Place at;
    Ledger& ledger;
    boost::asio::io_context& context;
    Dice dice;
    Signal ended {};
    std::int64_t incarnation { 1 };
    std::int64_t born { 0 };
    std::int64_t started { 0 };
    /** @brief Thousandths by which the clock is slow. */
    std::int64_t slowness { 0 };
    std::map<std::string, Running> runs {};
    std::map<std::string, std::int64_t> lastRuns {};
    std::map<std::int64_t, End> ends {};
    std::int64_t lastEnd { 0 };
    std::int64_t fence { 0 };
    std::int64_t leaseEnd { 0 };
    std::int64_t lapses { 0 };
    std::int64_t sequence { 0 };
    bool up { true };
    bool draining { false };
    bool departed { false };
    double late { 0 };
    Server server;
};

} // namespace wasabiroad::soak
