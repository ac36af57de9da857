#pragma once

#include "wasabiroad/kernel/timer.hpp"
#include "wasabiroad/ports/fleet.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace wasabiroad::agent {

/**
 * @brief Keeps the current upstreams of all pools: reads the list once, then watches for changes.
 *
 * Only one call is in flight at a time: a slow link delays updates, but they do not saturate it. Control
 * thread only.
 */
class UpstreamDirectory : public std::enable_shared_from_this<UpstreamDirectory> {
public:
    /** @param onChange Called when an upstream has been added, removed or changed. */
    UpstreamDirectory(boost::asio::io_context& context, std::shared_ptr<const ports::Fleet> fleet,
        std::function<void()> onChange);

    /** @brief Starts reading and watching, unless started already. */
    void start();

    /** @brief Stops watching and clears the list. */
    void stop();

    /** @return Whether the list has been read since the start. */
    bool isLoaded() const { return this->loaded; }

    /** @return The upstreams as of `lastAnswerAt`. */
    std::vector<scheduling::UpstreamFacts> upstreams() const;

    /** @return Boot clock time of the last answer. */
    kernel::Instant lastAnswerAt() const { return this->answeredAt; }

private:
    void list();
    void watch(store::Revision after);
    void onChanges(const ports::UpstreamChanges& changes);
    /** @brief Calls `onChange`; an exception in it does not end the watch. */
    void notify() const;
    /** @brief Reads the list again if the present call has no answer within a time. */
    void awaitAnswer(kernel::Duration limit);

    const std::shared_ptr<const ports::Fleet> fleet;
    const std::function<void()> onChange;
    std::map<scheduling::UpstreamId, std::shared_ptr<const scheduling::UpstreamFacts>> facts {};
    kernel::Instant answeredAt {};
    kernel::Timer timer;
    /** @brief Changes with each start and stop; answers to calls of an earlier epoch are ignored. */
    std::uint64_t epoch { 0 };
    bool running { false };
    bool loaded { false };
};

} // namespace wasabiroad::agent
