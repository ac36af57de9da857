#pragma once

#include "wasabiroad/http/message.hpp"
#include "wasabiroad/standin/behaviour.hpp"
#include "wasabiroad/standin/run_log.hpp"

#include <memory>

#include <boost/asio/io_context.hpp>

namespace wasabiroad::standin {

/** @brief One upstream of the stand-in. */
struct UpstreamOptions {
    const std::string vm;
    const std::uint32_t slots { 8 };
    /** @brief Connections over this number are closed when they are accepted. */
    const std::uint32_t connections { 64 };
    /** @brief Seed of the random choices of behaviours. */
    const std::uint64_t seed { 1 };

    friend auto operator<=>(const UpstreamOptions&, const UpstreamOptions&) = default;
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
    Upstream(boost::asio::io_context& context, const UpstreamOptions& options, RunLog& log);
    ~Upstream();
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    /** @brief Binds the upstream. Errors: ValueOutOfRange, ListenFailed. */
    kernel::Expected<std::string> listen(const std::string& address);

    /** @brief Replaces the behaviour for the requests that arrive from now on. */
    void behave(const Behaviour& next);

    const std::string& vm() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace wasabiroad::standin
