#pragma once

#include "wasabiroad/jobs/configuration.hpp"
#include "wasabiroad/kernel/error.hpp"
#include "wasabiroad/store/store.hpp"

#include <functional>
#include <optional>
#include <variant>

namespace wasabiroad::agent {

/** @brief The job is stored and will run. */
struct Accepted {
    friend auto operator<=>(const Accepted&, const Accepted&) = default;
};

/** @brief The job is not stored and never runs. */
struct Rejected {
    const kernel::ResultCode code { kernel::ResultCode::PlatformUnreachable };
    /** @brief Time after which the caller may try again; 0 if that cannot succeed. */
    const kernel::Duration retryAfter {};

    friend auto operator<=>(const Rejected&, const Rejected&) = default;
};

/** @brief It is unknown whether the job is stored; the caller may submit it again with the same id. */
struct Undecided {
    friend auto operator<=>(const Undecided&, const Undecided&) = default;
};

using SubmitOutcome = std::variant<Accepted, Rejected, Undecided>;

/** @brief There is no such job. */
struct NoSuchJob {
    friend auto operator<=>(const NoSuchJob&, const NoSuchJob&) = default;
};

/** @brief The state could not be read from or written to the store. */
struct Unavailable {
    friend auto operator<=>(const Unavailable&, const Unavailable&) = default;
};

using StateOutcome = std::variant<jobs::JobState, NoSuchJob, Unavailable>;

/** @brief Job operations for the front end; each callback runs exactly once. Control thread only. */
struct JobApi {
    const std::function<void(jobs::Job, kernel::Duration deadline, store::Callback<SubmitOutcome>)> submit;
    const std::function<void(model::ServiceId, jobs::JobId, store::Callback<StateOutcome>)> state;
    /** @brief Cancels a job; the outcome is the state of the job afterwards. A job that was not accepted so
     * far cannot be accepted any more. */
    const std::function<void(model::ServiceId, jobs::JobId, store::Callback<StateOutcome>)> cancel;
    /** @brief Counts the jobs of a queue that have not begun; empty if the count is unknown. */
    const std::function<void(model::ServiceId, jobs::QueueId, store::Callback<std::optional<std::uint64_t>>)>
        pending;
    /** @return Whether the load balancer should route callers to this entry VM. */
    const std::function<bool()> ready;
};

} // namespace wasabiroad::agent
