#pragma once

#include "wasabiroad/fleet/progress.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace wasabiroad::maintenance {

/** @brief Asks upstreams for their status and keeps the results. Control thread only. */
class Probes {
public:
    explicit Probes(boost::asio::io_context& context);

    /**
     * @brief Sends `GET /status` to an upstream unless a probe is under way or the last one is recent.
     * @param interval Time between probes of an upstream that answers.
     * @param retry Time between probes of one that did not answer.
     */
    void probe(
        const model::VmId& vm, const std::string& address, kernel::Duration interval, kernel::Duration retry);

    /** @brief Notes the step of a VM, whose time in its state begins when a step is seen first. */
    void see(const model::VmId& vm, std::uint64_t step);

    /** @brief Completes an observation with what the probes found. */
    fleet::VmObservation observe(const model::VmId& vm, const fleet::ProgressRules& rules) const;

    /** @brief Forgets what was observed, when this daemon stops acting and its results grow old. */
    void clear() { this->results.clear(); }

private:
    struct Result {
        std::uint64_t step { 0 };
        kernel::Instant seen {};
        bool underWay { false };
        std::optional<kernel::Instant> probed {};
        std::optional<kernel::Instant> healthySince {};
        std::uint32_t failed { 0 };
        std::uint32_t running { 0 };
    };

    boost::asio::awaitable<void> ask(model::VmId vm, std::string address);

    boost::asio::io_context& context;
    std::map<model::VmId, Result> results {};
};

} // namespace wasabiroad::maintenance
