#pragma once

#include "wasabiroad/jobs/job.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <string>
#include <variant>
#include <vector>

namespace wasabiroad::scheduling {

using UpstreamId = model::Identifier<struct UpstreamTag>;

/** @brief Time of an event on the monotonic and the wall clock. */
struct Moment {
    /** @brief Monotonic clock of the owner. */
    const kernel::Instant steady {};
    /** @brief Wall clock, for occurrences with a scheduled time. */
    const kernel::Instant wall {};

    friend auto operator<=>(const Moment&, const Moment&) = default;
};

/** @brief What an upstream reports about itself. */
struct UpstreamFacts {
    const UpstreamId id {};
    const model::ServiceId service {};
    /** @brief IP address and port for task orders. */
    const std::string address {};
    const model::ZoneId zone {};
    const model::RackId rack {};
    const std::vector<std::string> labels {};
    const jobs::Resources capacity {};
    /** @brief The upstream is shutting down and accepts no new tasks. */
    const bool draining { false };
    /** @brief Wall clock time of its start, which identifies the incarnation. */
    const kernel::Instant born {};

    friend bool operator==(const UpstreamFacts&, const UpstreamFacts&) = default;
};

/** @brief A task running on an upstream. */
struct RunningTask {
    const jobs::TaskId task {};
    const jobs::Run run {};
    const std::string checkpoint {};
    /** @brief Progress; a long-running task is ready at 100. */
    const std::int64_t percent { 0 };
    /** @brief Tail latency in ms if the step has a tail latency target, otherwise cpu in use. */
    const std::int64_t measurement { 0 };

    friend bool operator==(const RunningTask&, const RunningTask&) = default;
};

enum class EndKind : unsigned char {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /** @brief Another member of the gang ended. */
    PeerEnded,
    /** @brief The other members of the gang did not start. */
    GangIncomplete,
};

/** @return Name of the kind as it is written in logs. */
std::string_view name(EndKind kind);

/** @brief The end of a run. */
struct EndedTask {
    /** @brief Sequence number of the end within the incarnation of the upstream. */
    const std::uint64_t number { 0 };
    const jobs::TaskId task {};
    const jobs::Run run {};
    const EndKind kind { EndKind::Done };
    const std::string checkpoint {};

    friend bool operator==(const EndedTask&, const EndedTask&) = default;
};

/** @brief A job was submitted or loaded. */
struct JobAdded {
    const jobs::Job job;
    const jobs::Record record {};
    /** @brief A previous owner of the pool may have started tasks of it. */
    const bool mayHaveStarted { false };

    friend bool operator==(const JobAdded&, const JobAdded&) = default;
};

/** @brief A job was cancelled. */
struct JobCancelled {
    const jobs::JobId job {};

    friend auto operator<=>(const JobCancelled&, const JobCancelled&) = default;
};

/** @brief The current members of the pool. */
struct MembersListed {
    const std::vector<UpstreamFacts> members {};

    friend bool operator==(const MembersListed&, const MembersListed&) = default;
};

/** @brief An upstream to be drained, because its VM leaves the pool or is due for maintenance. */
struct Drain {
    const UpstreamId upstream {};
    /** @brief Tasks that have not ended within Policy::drainTimeout are stopped. */
    const bool stopsTasks { false };

    friend auto operator<=>(const Drain&, const Drain&) = default;
};

/** @brief The complete list of upstreams to be drained. */
struct DrainsChanged {
    const std::vector<Drain> drains {};

    friend bool operator==(const DrainsChanged&, const DrainsChanged&) = default;
};

/** @brief An upstream listed its tasks, which also renewed its lease. */
struct TasksListed {
    const UpstreamId upstream {};
    /** @brief Identifies the incarnation. */
    const kernel::Instant born {};
    /** @brief When the call for the list was sent. */
    const kernel::Instant sent {};
    const std::vector<RunningTask> running {};
    const std::vector<EndedTask> ended {};
    /** @brief Further ends are not listed yet, so a run that is missing from both lists may have ended. */
    const bool moreEnds { false };
    /** @brief Fencing token of the call: the upstream does not carry out starts with a lower one any more. */
    const std::uint64_t fence { 0 };

    friend bool operator==(const TasksListed&, const TasksListed&) = default;
};

enum class StartResult : unsigned char {
    Started,
    /** @brief The upstream has too few free resources. */
    NoRoom,
    /** @brief The upstream refused the start for now and did not carry it out. */
    Refused,
    /** @brief The run number is not above that of a run that already ended or was stopped there. */
    StaleRun,
    /** @brief The call was not sent, for example because the upstream was unreachable. */
    NotSent,
    /** @brief The call timed out in this owner's queue of outgoing calls; nothing was attempted. */
    NotTried,
    /** @brief No answer; the start may have been carried out or may still be. */
    Unknown,
};

/** @return Name of the result as it is written in logs. */
std::string_view name(StartResult result);

/** @brief Outcome of a start order. */
struct StartAnswered {
    const UpstreamId upstream {};
    const jobs::TaskId task {};
    const jobs::Run run {};
    const StartResult result { StartResult::Started };
    /** @brief Another incarnation has answered than the one on whose clock the end of the lease was computed.
     */
    const bool restarted { false };
    /** @brief Fencing token of the start; 0 if it is not known. */
    const std::uint64_t fence { 0 };

    friend auto operator<=>(const StartAnswered&, const StartAnswered&) = default;
};

/** @brief Outcome of a stop order. */
struct StopAnswered {
    const UpstreamId upstream {};
    const jobs::TaskId task {};
    const jobs::Run run {};
    /** @brief The upstream confirmed the stop; false if it rejected it or did not answer. */
    const bool answered { false };
    /** @brief When the order was sent. */
    const kernel::Instant sent {};

    friend auto operator<=>(const StopAnswered&, const StopAnswered&) = default;
};

/** @brief An upstream did not answer a request for its tasks, or has restarted and not listed them since. */
struct UpstreamUnresponsive {
    const UpstreamId upstream {};
    /** @brief When the last call that could renew its lease was sent. */
    const kernel::Instant lastRenewal {};

    friend auto operator<=>(const UpstreamUnresponsive&, const UpstreamUnresponsive&) = default;
};

/** @brief An upstream no longer exists: another upstream answers at its address. */
struct UpstreamReplaced {
    const UpstreamId upstream {};

    friend auto operator<=>(const UpstreamReplaced&, const UpstreamReplaced&) = default;
};

/** @brief The VM of an upstream that does not answer has ended it; it may start again under its id, and then
 * runs nothing. */
struct UpstreamDown {
    const UpstreamId upstream {};

    friend auto operator<=>(const UpstreamDown&, const UpstreamDown&) = default;
};

/** @brief Periodic check of time-outs. */
struct Tick {
    friend auto operator<=>(const Tick&, const Tick&) = default;
};

using Event = std::variant<JobAdded, JobCancelled, MembersListed, DrainsChanged, TasksListed, StartAnswered,
    StopAnswered, UpstreamUnresponsive, UpstreamReplaced, UpstreamDown, Tick>;

/** @brief Order to start a run of a task on an upstream. */
struct StartTask {
    const UpstreamId upstream {};
    const jobs::TaskId task {};
    const jobs::Run run {};
    const std::string payload {};
    const std::string checkpoint {};

    friend bool operator==(const StartTask&, const StartTask&) = default;
};

/** @brief Order to stop a run; the upstream rejects a start of this run that arrives later. */
struct StopTask {
    const UpstreamId upstream {};
    const jobs::TaskId task {};
    const jobs::Run run {};
    /** @brief Reason, written to the log. */
    const std::string reason {};

    friend bool operator==(const StopTask&, const StopTask&) = default;
};

/** @brief Order to throttle a run to a percentage of its full speed; 0 pauses it. */
struct PaceTask {
    const UpstreamId upstream {};
    const jobs::TaskId task {};
    const jobs::Run run {};
    const std::int64_t percent { 100 };

    friend bool operator==(const PaceTask&, const PaceTask&) = default;
};

using Order = std::variant<StartTask, StopTask, PaceTask>;

/** @brief Tasks of an upstream that does not answer count as ended, since their lease has expired by the
 * owner's estimate; for the log. */
struct LeaseExpiry {
    const UpstreamId upstream {};
    /** @brief The incarnation that listed its tasks last. */
    const kernel::Instant born {};
    const std::size_t tasks { 0 };
    /** @brief Tasks there whose leases may last longer, since it may have restarted before it started them.
     */
    const std::size_t left { 0 };
    /** @brief Time since the call for its last list was sent. */
    const kernel::Duration sinceList {};
    /** @brief Time since the last call that may have extended the lease was sent. */
    const kernel::Duration sinceGrant {};

    friend auto operator<=>(const LeaseExpiry&, const LeaseExpiry&) = default;
};

/** @brief A record that has to be written. */
struct RecordChange {
    const jobs::JobId job {};
    const jobs::Record record {};

    friend bool operator==(const RecordChange&, const RecordChange&) = default;
};

} // namespace wasabiroad::scheduling
