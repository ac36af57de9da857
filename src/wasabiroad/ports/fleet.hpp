#pragma once

#include "wasabiroad/jobs/configuration.hpp"
#include "wasabiroad/ports/upstreams.hpp"
#include "wasabiroad/scheduling/event.hpp"
#include "wasabiroad/store/store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wasabiroad::ports {

/** @brief A maintenance wave that the operator asks for. */
struct WaveRequest {
    const model::WaveId id {};
    /** @brief Number of the wave on the platform. */
    const std::uint64_t number { 0 };
    const std::vector<model::VmId> vms {};
    /** @brief Time in which all VMs shall have had their maintenance. */
    const kernel::Duration duration {};
    /** @brief Most VMs of the wave that are in maintenance at once. */
    const std::uint32_t parallelism { 1 };

    friend auto operator<=>(const WaveRequest&, const WaveRequest&) = default;
};

/** @brief What the operator has written. */
struct OperatorState {
    /** @brief Absent when it did not change, or there is none yet. */
    const std::optional<jobs::Configuration> configuration {};
    const std::vector<WaveRequest> waves {};
    const store::Revision asOf {};

    friend bool operator==(const OperatorState&, const OperatorState&) = default;
};

using OperatorOutcome = std::variant<OperatorState, store::HistoryGone, kernel::Error>;

/** @brief The upstreams that have registered. */
struct UpstreamListing {
    const std::vector<scheduling::UpstreamFacts> upstreams {};
    /** @brief Changes after this revision may be missing; a watch continues from here. */
    const store::Revision asOf {};

    friend bool operator==(const UpstreamListing&, const UpstreamListing&) = default;
};

/** @brief Changes of the upstreams that have registered. */
struct UpstreamChanges {
    /** @brief Upstreams that have registered or reported, each as it was last. */
    const std::vector<scheduling::UpstreamFacts> reported {};
    /** @brief Upstreams that have left, or whose entry cannot be read. */
    const std::vector<scheduling::UpstreamId> gone {};
    const store::Revision asOf {};

    friend bool operator==(const UpstreamChanges&, const UpstreamChanges&) = default;
};

using UpstreamOutcome = std::variant<UpstreamChanges, store::HistoryGone, kernel::Error>;

enum class VmCondition : unsigned char { Up, Moving, Maintenance, Down };

/** @brief A VM as the platform sees it. */
struct VmFacts {
    const model::VmId vm {};
    const model::ServiceId pool {};
    const VmCondition condition { VmCondition::Up };
    /** @brief The upstream that runs on it; empty if none does. */
    const scheduling::UpstreamId upstream {};
    const jobs::Resources capacity {};

    friend auto operator<=>(const VmFacts&, const VmFacts&) = default;
};

/** @brief The VMs of all pools. */
struct VmListing {
    const std::vector<VmFacts> vms {};
    /** @brief Whether each entry of the list could be read; if not, a VM that is missing from it may exist.
     */
    const bool complete { true };

    friend bool operator==(const VmListing&, const VmListing&) = default;
};

enum class VmOrderResult : unsigned char { Done, Fenced, Busy, NotInWave, Rejected, Overloaded, Unknown };

/** @return Name of the result as it is written in logs. */
constexpr std::string_view name(VmOrderResult result)
{
    switch (result) {
    case VmOrderResult::Done:
        return "done";
    case VmOrderResult::Fenced:
        return "fenced";
    case VmOrderResult::Busy:
        return "busy";
    case VmOrderResult::NotInWave:
        return "not-in-wave";
    case VmOrderResult::Rejected:
        return "rejected";
    case VmOrderResult::Overloaded:
        return "overloaded";
    case VmOrderResult::Unknown:
        return "not-answered";
    }
    return "unknown";
}

/** @brief Calls to the platform about configuration, upstreams and VMs. Control thread only. */
struct Fleet {
    /** @brief Reads all that the operator has written. */
    const std::function<void(store::Callback<OperatorOutcome>)> readOperator;
    /** @brief Waits for changes by the operator. */
    const std::function<void(store::Revision after, kernel::Duration wait, store::Callback<OperatorOutcome>)>
        watchOperator;
    /** @brief Reads all upstreams; the answer is long, so changes are watched for afterwards. */
    const std::function<void(store::Callback<kernel::Expected<UpstreamListing>>)> listUpstreams;
    /** @brief Waits for changes of the upstreams. */
    const std::function<void(store::Revision after, kernel::Duration wait, store::Callback<UpstreamOutcome>)>
        watchUpstreams;
    const std::function<void(store::Callback<kernel::Expected<VmListing>>)> listVms;
    /** @brief Takes a VM down for maintenance; its tasks end at once. */
    const std::function<void(
        model::VmId, std::uint64_t wave, Term fence, Permission, store::Callback<VmOrderResult>)>
        maintain;
    /** @brief Gives a VM to another pool; its tasks end at once. */
    const std::function<void(
        model::VmId, model::ServiceId pool, Term fence, Permission, store::Callback<VmOrderResult>)>
        move;
    /** @brief Entry with the state of a wave, as the operator reads it. */
    const std::function<store::Put(std::uint64_t wave, bool completed)> waveStatus;
};

} // namespace wasabiroad::ports
