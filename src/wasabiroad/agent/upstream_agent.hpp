#pragma once

#include "wasabiroad/kernel/timer.hpp"
#include "wasabiroad/ports/upstreams.hpp"

#include <functional>
#include <memory>

namespace wasabiroad::agent {

/** @brief What an upstream agent tells the owner of the pool; control thread only. */
struct UpstreamEvents {
    const std::function<void(const scheduling::UpstreamId&, const ports::Tasks&, kernel::Instant sent)> tasks;
    const std::function<void(const scheduling::UpstreamId&, kernel::Instant lastRenewal)> silent;
    const std::function<void(const scheduling::UpstreamId&)> replaced;
    const std::function<void()> superseded;
    /** @brief Whether the owner may renew leases now. */
    const std::function<bool()> mayRenewLeases;
    /** @brief Whether the upstream needs frequent looks. */
    const std::function<bool(const scheduling::UpstreamId&)> frequent;
};

/** @brief Looks at one upstream again and again, renews the leases there and acknowledges ends. */
class UpstreamAgent : public std::enable_shared_from_this<UpstreamAgent> {
public:
    UpstreamAgent(boost::asio::io_context& context, std::shared_ptr<const ports::UpstreamLink> link,
        scheduling::UpstreamFacts facts, ports::Term term, kernel::Duration taskLease, UpstreamEvents events);

    void start() { look(); }

    /**
     * @brief Ends are recorded; the next look acknowledges them.
     * @param life Start of the life of the upstream that listed them.
     * @param number Number of the last of them in that life.
     */
    void acknowledge(kernel::Instant life, std::uint64_t number);

    const scheduling::UpstreamFacts& facts() const { return this->upstream; }
    const ports::UpstreamLink& orders() const { return *this->link; }

    /** @return Whether the last look was answered. */
    bool isAnswering() const { return this->answering; }

    /** @brief Stops looking; later answers are ignored. */
    void close();

private:
    void look();
    void onOutcome(const ports::LookOutcome& outcome, kernel::Instant sent);
    void onTasks(const ports::Tasks& tasks, kernel::Instant sent);
    void onSilence(const kernel::Error& error);

    const std::shared_ptr<const ports::UpstreamLink> link;
    const scheduling::UpstreamFacts upstream;
    const ports::Term term;
    const kernel::Duration taskLease;
    const UpstreamEvents events;
    kernel::Timer timer;
    bool closed { false };
    bool answering { false };
    bool awaitingRecord { false };
    kernel::Instant born {};
    kernel::Instant lastRenewal {};
    std::uint64_t listed { 0 };
    std::uint64_t recorded { 0 };
};

} // namespace wasabiroad::agent
