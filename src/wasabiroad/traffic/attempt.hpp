#pragma once

#include "wasabiroad/admission/decision.hpp"
#include "wasabiroad/admission/outcome.hpp"
#include "wasabiroad/model/request.hpp"
#include "wasabiroad/traffic/upstream_pool.hpp"

#include <variant>

#include <boost/asio/awaitable.hpp>

namespace wasabiroad::traffic {

/** @brief The whole answer went to the caller. */
struct Answered {
    const unsigned status { 0 };

    friend auto operator<=>(const Answered&, const Answered&) = default;
};

/** @brief The request provably did not start; nothing went to the caller. */
struct NotStarted {
    const std::string reason {};

    friend auto operator<=>(const NotStarted&, const NotStarted&) = default;
};

/** @brief The request may have run; nothing went to the caller. */
struct Lost {
    const std::string reason {};

    friend auto operator<=>(const Lost&, const Lost&) = default;
};

/** @brief A part of the answer went to the caller, whose connection must be closed. */
struct Truncated {
    const std::string reason {};

    friend auto operator<=>(const Truncated&, const Truncated&) = default;
};

/** @brief How one attempt on an upstream ended. */
using AttemptResult = std::variant<Answered, NotStarted, Lost, Truncated>;

/** @return What the dispatcher is told about an attempt. */
admission::Outcome outcomeOf(const AttemptResult& result);

/** @brief One attempt of a request on the upstream that was granted. */
struct Attempt {
    const model::Request& request;
    const admission::Grant& grant;
    /** @brief Unique number that the upstream echoes. */
    const std::string id;
    const std::string& body;
    /** @brief Whether the caller's connection stays open after the answer. */
    const bool keepAlive;
};

/** @brief Sends requests to upstreams and streams their answers to callers. */
class Exchange {
public:
    /** @param pool Idle connections of the thread. */
    explicit Exchange(UpstreamPool& pool)
        : pool(pool)
    {
    }

    /**
     * @brief Runs one attempt.
     * @param caller Connection of the caller; the answer is streamed to it with bounded memory.
     * @param now Current instant of the steady clock.
     */
    boost::asio::awaitable<AttemptResult> run(
        const Attempt& attempt, boost::beast::tcp_stream& caller, kernel::Instant now);

    /** @brief Closes the connection to the upstream, so that `run` ends soon. */
    void abort();

private:
    boost::asio::awaitable<std::variant<UpstreamConnectionPointer, AttemptResult>> connect(
        const Attempt& attempt);
    boost::asio::awaitable<AttemptResult> forward(const Attempt& attempt, UpstreamConnection& connection,
        boost::beast::tcp_stream& caller, bool& reusable);

    UpstreamPool& pool;
    UpstreamConnection* active { nullptr };
};

} // namespace wasabiroad::traffic
