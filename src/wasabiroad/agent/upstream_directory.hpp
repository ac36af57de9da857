#pragma once

#include "wasabiroad/kernel/timer.hpp"
#include "wasabiroad/ports/fleet.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace wasabiroad::agent {

/**
 * @brief Follows the upstreams of all pools: one list, then changes.
 *
 * One call is under way at a time, so a slow link delays what is known and is not filled by it. Control
 * thread only.
 */
class UpstreamDirectory : public std::enable_shared_from_this<UpstreamDirectory> {
public:
    /** @param onChange Called when an upstream has come, gone or changed. */
    UpstreamDirectory(boost::asio::io_context& context, std::shared_ptr<const ports::Fleet> fleet,
        std::function<void()> onChange);

    /** @brief Begins to follow, unless it does already. */
    void start();

    /** @brief Ends all calls; what is known is forgotten. */
    void stop();

    /** @return Whether the list has been read since the start. */
    bool isLoaded() const { return this->known; }

    /** @return The upstreams as they were at `knownAt`. */
    std::vector<scheduling::UpstreamFacts> upstreams() const;

    /** @return Boot clock of the last answer. */
    kernel::Instant lastAnswerAt() const { return this->answeredAt; }

private:
    void list();
    void watch(store::Revision after);
    void onChanges(const ports::UpstreamChanges& changes);

    const std::shared_ptr<const ports::Fleet> fleet;
    const std::function<void()> onChange;
    std::map<scheduling::UpstreamId, std::shared_ptr<const scheduling::UpstreamFacts>> facts {};
    kernel::Instant answeredAt {};
    kernel::Timer timer;
    /** @brief Number of the present start; answers to calls of an earlier one are dropped. */
    std::uint64_t round { 0 };
    bool running { false };
    bool known { false };
};

} // namespace wasabiroad::agent
