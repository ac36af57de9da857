#pragma once

#include "wasabiroad/scheduling/event.hpp"
#include "wasabiroad/store/store.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace wasabiroad::ports {

/** @brief Term of ownership of a pool, or the revision of an order to a VM; lower ones are rejected. */
struct Term {
    std::uint64_t value { 0 };

    friend auto operator<=>(const Term&, const Term&) = default;
};

/** @brief Time on the clock of one incarnation of an upstream, in ms; each incarnation has its own clock. */
struct UpstreamTime {
    std::int64_t milliseconds { 0 };

    friend auto operator<=>(const UpstreamTime&, const UpstreamTime&) = default;
};

/** @brief Asks an upstream for its tasks and renews their lease. */
struct Look {
    const Term term {};
    /** @brief Ends up to this number are recorded; the upstream may forget them. */
    const std::uint64_t acknowledged { 0 };
    /** @brief New end of the lease of all tasks there; nothing leaves it as it is. */
    const std::optional<UpstreamTime> leaseEnd {};
    /** @brief The upstream may wait this long for an end of a task. */
    const kernel::Duration wait {};

    friend auto operator<=>(const Look&, const Look&) = default;
};

/** @brief The tasks of an upstream. */
struct Tasks {
    /** @brief Wall clock of the upstream's start. */
    const kernel::Instant born {};
    const std::vector<scheduling::RunningTask> running {};
    const std::vector<scheduling::EndedTask> ended {};
    /** @brief The list of ends is truncated; the others are listed once these are acknowledged. */
    const bool moreEnds { false };
    /** @brief The upstream's clock as it answered. */
    const std::optional<UpstreamTime> clock {};

    friend bool operator==(const Tasks&, const Tasks&) = default;
};

/** @brief Another owner with a higher term has called the upstream. */
struct Superseded {
    friend auto operator<=>(const Superseded&, const Superseded&) = default;
};

/** @brief The address belongs to another upstream now. */
struct OtherUpstream {
    friend auto operator<=>(const OtherUpstream&, const OtherUpstream&) = default;
};

/** @brief How a start order ended. */
struct StartAnswer {
    const scheduling::StartResult result { scheduling::StartResult::Unknown };
    /** @brief The upstream's clock as it answered; nothing without an answer. */
    const std::optional<UpstreamTime> clock {};

    friend auto operator<=>(const StartAnswer&, const StartAnswer&) = default;
};

using LookOutcome = std::variant<Tasks, Superseded, OtherUpstream, kernel::Error>;
using StartOutcome = std::variant<StartAnswer, Superseded, OtherUpstream>;
/** @brief True when the upstream has answered. */
using OrderOutcome = std::variant<bool, Superseded, OtherUpstream>;

/** @brief Whether an order may still be sent; asked right before it is written to its connection. */
using Permission = std::function<bool()>;

/** @brief Connections to one upstream; it closes them when it is destroyed. Control thread only. */
struct UpstreamLink {
    const std::function<void(Look, store::Callback<LookOutcome>)> look;
    const std::function<void(
        scheduling::StartTask, Term, UpstreamTime leaseEnd, Permission, store::Callback<StartOutcome>)>
        start;
    const std::function<void(scheduling::StopTask, Term, store::Callback<OrderOutcome>)> stop;
    const std::function<void(scheduling::PaceTask, Term, store::Callback<OrderOutcome>)> pace;
};

/** @brief Opens links to upstreams. */
struct Upstreams {
    const std::function<kernel::Expected<std::shared_ptr<const UpstreamLink>>(
        const scheduling::UpstreamFacts&)>
        open;
};

} // namespace wasabiroad::ports
