#pragma once

#include "wasabiroad/jobs/job.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <string>

namespace wasabiroad::agent {

/** Keys of the daemons in the store. */
namespace keys {

/** Owners of duties. */
inline const std::string owners { "owner/" };

inline std::string owner(const std::string& duty) { return owners + duty; }

/** Duty of the owner of a pool. */
inline const std::string poolDuty { "pool/" };

/** Duty of the daemon that gives orders to VMs. */
inline const std::string fleetDuty { "fleet" };

inline std::string poolOwner(const model::ServiceId& service) { return owner(poolDuty + service.text()); }

/** Service that a job was accepted for; its creation makes an id unique over all services. */
inline std::string acceptance(const jobs::JobId& job) { return "accepted/" + job.text(); }

/** All that the owner of a pool watches. */
inline std::string pool(const model::ServiceId& service) { return "pool/" + service.text() + "/"; }

inline std::string jobsOf(const model::ServiceId& service) { return pool(service) + "job/"; }

inline std::string job(const model::ServiceId& service, const jobs::JobId& job)
{
    return jobsOf(service) + job.text();
}

/** VMs of a pool that are to be emptied for maintenance. */
inline std::string drainsOf(const model::ServiceId& service) { return pool(service) + "drain/"; }

inline std::string drain(const model::ServiceId& service, const model::VmId& vm)
{
    return drainsOf(service) + vm.text();
}

/** VMs whose upstream runs nothing and gets nothing new; the value is that upstream. */
inline const std::string drainedVms { "emptied/" };

/** VMs that got orders within the gap that two daemons keep; written before the orders are sent. */
inline const std::string recentOrders { "orders" };

/** VMs that have had their maintenance in a wave. */
inline std::string waveProgress(std::uint64_t wave) { return "wave/" + std::to_string(wave); }

/** States of the jobs of a pool, also of those that have ended. */
inline std::string recordsOf(const model::ServiceId& service) { return "record/" + service.text() + "/"; }

inline std::string record(const model::ServiceId& service, const jobs::JobId& job)
{
    return recordsOf(service) + job.text();
}

/** What the next owner needs to go on with the open jobs of a pool. */
inline std::string progressOf(const model::ServiceId& service) { return "progress/" + service.text() + "/"; }

inline std::string progress(const model::ServiceId& service, const jobs::JobId& job)
{
    return progressOf(service) + job.text();
}

inline std::string usedUpstreams(const model::ServiceId& service) { return "used/" + service.text(); }

/** What the owners of pools report of them. */
inline const std::string reports { "report/" };

inline std::string report(const model::ServiceId& service) { return reports + service.text(); }

} // namespace keys

} // namespace wasabiroad::agent
