#pragma once

#include "wasabiroad/fleet/progress.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace wasabiroad::maintenance {

/** @brief Probes the status of upstreams and keeps the results. Control thread only. */
class Probes {
public:
    explicit Probes(boost::asio::io_context& context);

    /**
     * @brief Sends `GET /status` to an upstream unless a probe is in progress or the last one is more recent
     * than the interval.
     * @param interval Time between probes of an upstream that answers.
     * @param retry Time between probes of an upstream whose last probe failed.
     */
    void probe(
        const model::VmId& vm, const std::string& address, kernel::Duration interval, kernel::Duration retry);

    /** @brief Records the step of a VM; its time in state counts from the first record of that step. */
    void recordStep(const model::VmId& vm, std::uint64_t step);

    /** @return Time in state, health and running requests of a VM; empty without results. `running` is set
     * only when the last probe succeeded and started at least `drainPropagation` after the step was recorded.
     */
    fleet::VmObservation observe(const model::VmId& vm, const fleet::ProgressRules& rules) const;

    /** @brief Discards all results; they become stale once another daemon is responsible for the zone. */
    void clear() { this->results.clear(); }

private:
    struct Result {
        std::uint64_t step { 0 };
        kernel::Instant stepSeenAt {};
        bool inProgress { false };
        std::optional<kernel::Instant> lastProbe {};
        std::optional<kernel::Instant> healthySince {};
        std::uint32_t failedProbes { 0 };
        std::uint32_t running { 0 };
    };

    boost::asio::awaitable<void> sendProbe(model::VmId vm, std::string address);

    boost::asio::io_context& context;
    std::map<model::VmId, Result> results {};
};

} // namespace wasabiroad::maintenance
