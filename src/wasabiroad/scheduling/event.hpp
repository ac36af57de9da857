#pragma once

#include "wasabiroad/jobs/job.hpp"
#include "wasabiroad/model/identifier.hpp"

#include <string>
#include <variant>
#include <vector>

namespace wasabiroad::scheduling {

using UpstreamId = model::Identifier<struct UpstreamTag>;

/** @brief Time as the scheduler's inputs carry it. */
struct Moment {
    /** @brief Monotonic time of the owner. */
    const kernel::Instant steady {};
    /** @brief Wall clock, for occurrences that are due at a time of day. */
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
    /** @brief The upstream ends soon; it takes no new tasks. */
    const bool draining { false };
    /** @brief Wall clock of its start; an id with another start is another life. */
    const kernel::Instant born {};

    friend bool operator==(const UpstreamFacts&, const UpstreamFacts&) = default;
};

/** @brief A task that an upstream runs. */
struct RunningTask {
    const jobs::TaskId task {};
    const jobs::Run run {};
    const std::string checkpoint {};
    /** @brief Progress; a long-running task is at work at 100. */
    const std::int64_t percent { 0 };
    /** @brief Tail of response times in ms of a serving task; cpu in use of any other task. */
    const std::int64_t measurement { 0 };

    friend bool operator==(const RunningTask&, const RunningTask&) = default;
};

enum class EndKind : unsigned char { Done, Failed, Stopped, LeaseExpired, PeerEnded, GangIncomplete };

/** @return Name of the kind as it is written in logs. */
std::string_view name(EndKind kind);

/** @brief The end of a run. */
struct EndedTask {
    /** @brief Number of the end in this life of the upstream. */
    const std::uint64_t number { 0 };
    const jobs::TaskId task {};
    const jobs::Run run {};
    const EndKind kind { EndKind::Done };
    const std::string checkpoint {};

    friend bool operator==(const EndedTask&, const EndedTask&) = default;
};

/** @brief A job is to be run. */
struct JobAdded {
    const jobs::Job job;
    const jobs::Record record {};
    /** @brief A former owner of the pool may have started tasks of it. */
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

/** @brief An upstream that is to be emptied, because its VM leaves the pool or has maintenance. */
struct Drain {
    const UpstreamId upstream {};
    /** @brief Tasks that do not end soon are stopped. */
    const bool stopsTasks { false };

    friend auto operator<=>(const Drain&, const Drain&) = default;
};

/** @brief The upstreams that are to be emptied. */
struct DrainsChanged {
    const std::vector<Drain> drains {};

    friend bool operator==(const DrainsChanged&, const DrainsChanged&) = default;
};

/** @brief An upstream answered with its tasks; its lease was renewed. */
struct TasksListed {
    const UpstreamId upstream {};
    const kernel::Instant born {};
    /** @brief When the call was sent. */
    const kernel::Instant sent {};
    const std::vector<RunningTask> running {};
    const std::vector<EndedTask> ended {};

    friend bool operator==(const TasksListed&, const TasksListed&) = default;
};

enum class StartResult : unsigned char {
    Started,
    /** @brief The upstream has no room. */
    NoRoom,
    /** @brief The upstream refuses for now and has done nothing. */
    Refused,
    /** @brief The run number is not higher than one that ended or was stopped there. */
    StaleRun,
    /** @brief The upstream could not be reached; the call was not sent. */
    NotSent,
    /** @brief The call waited too long for others of this owner; nothing was tried. */
    NotTried,
    /** @brief No answer; the start may be carried out later. */
    Unknown,
};

/** @return Name of the result as it is written in logs. */
std::string_view name(StartResult result);

/** @brief An upstream answered to the start of a task, or did not. */
struct StartAnswered {
    const UpstreamId upstream {};
    const jobs::TaskId task {};
    const jobs::Run run {};
    const StartResult result { StartResult::Started };

    friend auto operator<=>(const StartAnswered&, const StartAnswered&) = default;
};

/** @brief An upstream answered to the stop of a task, or did not. */
struct StopAnswered {
    const UpstreamId upstream {};
    const jobs::TaskId task {};
    const jobs::Run run {};
    const bool answered { false };

    friend auto operator<=>(const StopAnswered&, const StopAnswered&) = default;
};

/** @brief A look at an upstream got no answer. */
struct UpstreamUnresponsive {
    const UpstreamId upstream {};
    /** @brief When the last call that could renew its lease was sent. */
    const kernel::Instant lastRenewal {};

    friend auto operator<=>(const UpstreamUnresponsive&, const UpstreamUnresponsive&) = default;
};

/** @brief This life of an upstream has ended: its address answers as another upstream. */
struct UpstreamReplaced {
    const UpstreamId upstream {};

    friend auto operator<=>(const UpstreamReplaced&, const UpstreamReplaced&) = default;
};

/** @brief Time has passed. */
struct Tick {
    friend auto operator<=>(const Tick&, const Tick&) = default;
};

using Event = std::variant<JobAdded, JobCancelled, MembersListed, DrainsChanged, TasksListed, StartAnswered,
    StopAnswered, UpstreamUnresponsive, UpstreamReplaced, Tick>;

/** @brief Start a run of a task on an upstream. */
struct StartTask {
    const UpstreamId upstream {};
    const jobs::TaskId task {};
    const jobs::Run run {};
    const std::string payload {};
    const std::string checkpoint {};

    friend bool operator==(const StartTask&, const StartTask&) = default;
};

/** @brief Stop a run; a start of it that arrives later is rejected by the upstream. */
struct StopTask {
    const UpstreamId upstream {};
    const jobs::TaskId task {};
    const jobs::Run run {};
    /** @brief Why, for the log. */
    const std::string reason {};

    friend bool operator==(const StopTask&, const StopTask&) = default;
};

/** @brief Let a run work at a share of its speed. */
struct PaceTask {
    const UpstreamId upstream {};
    const jobs::TaskId task {};
    const jobs::Run run {};
    const std::int64_t percent { 100 };

    friend bool operator==(const PaceTask&, const PaceTask&) = default;
};

using Order = std::variant<StartTask, StopTask, PaceTask>;

/** @brief A record that has to be written. */
struct RecordChange {
    const jobs::JobId job {};
    const jobs::Record record {};

    friend bool operator==(const RecordChange&, const RecordChange&) = default;
};

} // namespace wasabiroad::scheduling
