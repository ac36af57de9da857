#pragma once

#include "http.hpp"

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace wasabiroad::soak {

/** @brief Some daemons, drawn when the fault is played. */
struct SomeDaemons {
    int count { 1 };
    milliseconds duration {};
};

struct KillDaemons : SomeDaemons { };
struct StopDaemons : SomeDaemons { };
struct FreezeDaemons : SomeDaemons { };
struct ReloadDaemons : SomeDaemons { };
struct ThrottleDaemons : SomeDaemons { };
struct HoldOutput : SomeDaemons { };
/** @brief The path of daemons to the store carries nothing, or no answers. */
struct CutStore : SomeDaemons {
    Traffic traffic { Traffic::Held };
};
/** @brief Connections to the store or the VM service are reset or half open. */
struct BreakConnections : SomeDaemons {
    bool resets { false };
};
/** @brief The store rejects daemons, and their leases end. */
struct RevokeLeases : SomeDaemons { };
/** @brief The store is slow, and one daemon after another loses its leases. */
struct RevokeInTurn {
    milliseconds duration {};
    std::int64_t latency { 4 };
};
/** @brief All daemons start at once, the store is slow, and whoever takes a duty loses its lease at once. */
struct RevokeTakers {
    milliseconds duration {};
    std::int64_t latency { 4 };
};
/** @brief The store is slow, rejects, loses answers or makes changes late. */
struct DisturbStore : SomeDaemons {
    int kind { 0 };
};
struct CompactStore { };
struct CutVms {
    milliseconds duration {};
};
struct CrashUpstreams {
    int count { 1 };
    milliseconds duration {};
};
struct CutUpstreams {
    int count { 1 };
    milliseconds duration {};
    Traffic traffic { Traffic::Held };
};
/** @brief The upstreams of a pool in a zone restart silently and are cut off soon after, several times in a
 * row. Many tasks are long meanwhile. */
struct RestartAndCutUpstreams {
    int times { 1 };
};
struct BreakUpstreams {
    int count { 1 };
    bool resets { false };
};
struct LateUpstreams {
    int count { 1 };
    milliseconds duration {};
};
struct DrainUpstreams {
    int count { 1 };
};
struct StartWave {
    double share { 0.4 };
    int maxCount { 1 };
};
struct AddOddEntries { };
/** @brief What happens to orders to VMs. */
enum class OrderFault : unsigned char { Rejected, Late, Slow };

struct DisturbOrders {
    milliseconds duration {};
    OrderFault kind { OrderFault::Rejected };
};
/** @brief VMs restart, each with another upstream. */
struct ReplaceUpstreams {
    int count { 1 };
};
/** @brief Other processes keep the processors busy. */
struct KeepBusy {
    int processes { 1 };
    milliseconds duration {};
};

/** @brief A change of configuration, beside which all rules hold. */
struct ConfigurationChange { };
/** @brief A queue of the spare pool is added, and jobs are submitted to it; it is removed again. */
struct AddSpareQueue : ConfigurationChange {
    milliseconds duration {};
};
/** @brief Many queues without jobs are added and removed again. */
struct AddEmptyQueues : ConfigurationChange {
    milliseconds duration {};
};
/** @brief Many queues are added and removed again, each by a configuration of its own, without a pause. */
struct AddQueuesInTurn : ConfigurationChange {
    milliseconds duration {};
};
/** @brief A queue changes its pool while its jobs wait, and is removed later. */
struct MoveQueue : ConfigurationChange {
    milliseconds duration {};
};
/** @brief A queue is removed while its jobs wait. */
struct RemoveQueue : ConfigurationChange { };

using Fault = std::variant<KillDaemons, StopDaemons, FreezeDaemons, ReloadDaemons, ThrottleDaemons,
    HoldOutput, CutStore, BreakConnections, RevokeLeases, DisturbStore, CompactStore, CutVms, CrashUpstreams,
    CutUpstreams, BreakUpstreams, LateUpstreams, DrainUpstreams, StartWave, AddOddEntries, RevokeInTurn,
    RevokeTakers, DisturbOrders, ReplaceUpstreams, KeepBusy, AddSpareQueue, AddEmptyQueues, MoveQueue,
    RemoveQueue, AddQueuesInTurn, RestartAndCutUpstreams>;

/** @return The names of all kinds of faults. */
std::vector<std::string> faultNames();

/** @return The name that an option gives a kind of fault. */
std::string nameOf(const Fault& fault);

/** @return A fault of a kind that is not disabled, or nothing if all are. */
std::optional<Fault> drawFault(Dice& dice, const std::set<std::string>& disabled, int daemons);

/** @return Whether a fault is a ConfigurationChange. */
bool isConfigurationChange(const Fault& fault);

class Daemon;
class Play;
class Upstream;

/** @brief Plays faults; each returns when it has ended. */
class FaultPlayer {
public:
    explicit FaultPlayer(Play& played)
        : play(played)
    {
    }

    Task<> operator()(KillDaemons fault);
    Task<> operator()(StopDaemons fault);
    Task<> operator()(FreezeDaemons fault);
    Task<> operator()(ReloadDaemons fault);
    Task<> operator()(ThrottleDaemons fault);
    Task<> operator()(HoldOutput fault);
    Task<> operator()(CutStore fault);
    Task<> operator()(BreakConnections fault);
    Task<> operator()(RevokeLeases fault);
    Task<> operator()(DisturbStore fault);
    Task<> operator()(CompactStore fault);
    Task<> operator()(CutVms fault);
    Task<> operator()(CrashUpstreams fault);
    Task<> operator()(CutUpstreams fault);
    Task<> operator()(BreakUpstreams fault);
    Task<> operator()(LateUpstreams fault);
    Task<> operator()(DrainUpstreams fault);
    Task<> operator()(StartWave fault);
    Task<> operator()(AddOddEntries fault);
    Task<> operator()(RevokeInTurn fault);
    Task<> operator()(RevokeTakers fault);
    Task<> operator()(DisturbOrders fault);
    Task<> operator()(ReplaceUpstreams fault);
    Task<> operator()(KeepBusy fault);
    Task<> operator()(AddSpareQueue fault);
    Task<> operator()(AddEmptyQueues fault);
    Task<> operator()(MoveQueue fault);
    Task<> operator()(RemoveQueue fault);
    Task<> operator()(AddQueuesInTurn fault);
    Task<> operator()(RestartAndCutUpstreams fault);

private:
    std::vector<Daemon*> someDaemons(int count);
    std::vector<Upstream*> someUpstreams(int count);
    /** @brief Adds a queue of a pool, submits jobs to it and waits for a random time in which some are
     * accepted.
     * @return The jobs; those that were not accepted count as cancelled, so they are not judged. */
    Task<std::vector<std::string>> submitToNewQueue(std::string name, std::string pool);
    /** @brief Removes a queue; clients ask for its jobs through the queue of their pool from then on. */
    void removeQueue(const std::string& name, const std::string& pool, const std::vector<std::string>& jobs);

    Play& play;
};

} // namespace wasabiroad::soak
