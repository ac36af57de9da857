#pragma once

#include "wasabiroad/jobs/job.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <string>

namespace wasabiroad::agent {

/** Keys that the daemons use in the store. */
namespace keys {

/** Prefix of the owner keys. A duty is a role that one daemon at a time holds through its leased key. */
inline const std::string owners { "owner/" };

inline std::string owner(const std::string& duty) { return owners + duty; }

/** Prefix of the names of pool duties, used after `owners`. The holder of such a duty owns the pool. */
inline const std::string poolDuty { "pool/" };

/** Duty of the daemon that orders moves and maintenance of VMs. */
inline const std::string fleetDuty { "fleet" };

inline std::string poolOwner(const model::ServiceId& service) { return owner(poolDuty + service.text()); }

/**
 * Key of the service that accepted a job. Created only if absent: job ids are unique over all services. The
 * value is empty if a caller cancelled the job before it was accepted, so that a submission that arrives
 * later is rejected.
 */
inline std::string acceptance(const jobs::JobId& job) { return "accepted/" + job.text(); }

/** Prefix of the keys that the owner of a pool watches: open jobs and drains. */
inline std::string pool(const model::ServiceId& service) { return "pool/" + service.text() + "/"; }

inline std::string jobsOf(const model::ServiceId& service) { return pool(service) + "job/"; }

inline std::string job(const model::ServiceId& service, const jobs::JobId& job)
{
    return jobsOf(service) + job.text();
}

/** Prefix of the drain requests for VMs of a pool that are to be moved or maintained. */
inline std::string drainsOf(const model::ServiceId& service) { return pool(service) + "drain/"; }

inline std::string drain(const model::ServiceId& service, const model::VmId& vm)
{
    return drainsOf(service) + vm.text();
}

/** Prefix of the keys of drained VMs, whose upstream has no tasks and gets none; the value is its id. */
inline const std::string drainedVms { "emptied/" };

/** VMs with a move or maintenance order within the last `orderGap`; written before the orders are sent. */
inline const std::string recentOrders { "orders" };

/** VMs of a wave that need no further order. */
inline std::string waveProgress(std::uint64_t wave) { return "wave/" + std::to_string(wave); }

/** VMs of a wave with a maintenance order that was not answered; written before the orders are sent. */
inline std::string unansweredOrders(std::uint64_t wave) { return "wave-orders/" + std::to_string(wave); }

/** Prefix of the state records of the jobs of a pool, including jobs that have ended. */
inline std::string recordsOf(const model::ServiceId& service) { return "record/" + service.text() + "/"; }

inline std::string record(const model::ServiceId& service, const jobs::JobId& job)
{
    return recordsOf(service) + job.text();
}

/** Prefix of the progress of open jobs, from which the next owner of a pool resumes them. */
inline std::string progressOf(const model::ServiceId& service) { return "progress/" + service.text() + "/"; }

inline std::string progress(const model::ServiceId& service, const jobs::JobId& job)
{
    return progressOf(service) + job.text();
}

inline std::string usedUpstreams(const model::ServiceId& service) { return "used/" + service.text(); }

/** Prefix of the pool reports, written by the owners of the pools. */
inline const std::string reports { "report/" };

inline std::string report(const model::ServiceId& service) { return reports + service.text(); }

} // namespace keys

} // namespace wasabiroad::agent
