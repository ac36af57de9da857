#pragma once

#include "wasabiroad/http/server.hpp"

#include <boost/asio/io_context.hpp>

namespace wasabiroad::standin {

/** @brief One request that an upstream ran. */
struct Run {
    const std::string request;
    const std::string attempt;
    const std::string vm;

    friend auto operator<=>(const Run&, const Run&) = default;
};

/** @brief Record of all runs, from which lost, doubled and mixed-up requests are counted. */
using RunLog = std::vector<Run>;

/** @brief How an upstream of the stand-in behaves. */
struct UpstreamBehaviour {
    const std::string vm;
    const std::uint32_t slots { 8 };
    /** @brief Whether every request fails at once with status 500. */
    const bool failing { false };
    /** @brief Whether answers carry the leaving sign. */
    const bool leaving { false };

    friend auto operator<=>(const UpstreamBehaviour&, const UpstreamBehaviour&) = default;
};

/**
 * @brief Stand-in of an upstream; for tests only.
 *
 * The body of a request starts with its run time in milliseconds. A word `fault=NAME` in it makes
 * the upstream misbehave for this request: `refuse` and `refuse-unproven` answer 503 with and
 * without the proof that nothing ran, `fail` answers 500, `truncate` closes the connection within
 * the body, `no-length` sends a body that ends with the connection, `foreign` and `no-attempt` answer
 * with another attempt or none, `chunked` sends the body in chunks, `leaving` sets the leaving sign,
 * `contradict` adds the headers that only the system itself sends. The answer repeats the request id and the
 * body, so that a caller can tell whether it is its own.
 */
class Upstream {
public:
    Upstream(boost::asio::io_context& context, UpstreamBehaviour behaviour, RunLog& log);

    /** @brief Binds the upstream. Errors: ValueOutOfRange, ListenFailed. */
    kernel::Expected<std::string> listen(const std::string& address) { return this->server.listen(address); }

    /** @brief Replaces the behaviour. */
    void behave(const UpstreamBehaviour& next)
    {
        this->behaviour = std::make_shared<const UpstreamBehaviour>(next);
    }

    /** @return The current behaviour. */
    const UpstreamBehaviour& current() const { return *this->behaviour; }

private:
    boost::asio::awaitable<http::Response> handle(http::Request request);
    http::Response answer(const http::Request& request, unsigned status, std::string body) const;

    boost::asio::io_context& context;
    std::shared_ptr<const UpstreamBehaviour> behaviour;
    RunLog& log;
    std::uint32_t running { 0 };
    http::Server server;
};

} // namespace wasabiroad::standin
