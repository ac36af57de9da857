#pragma once

#include "wasabiroad/admission/decision.hpp"
#include "wasabiroad/admission/outcome.hpp"
#include "wasabiroad/model/request.hpp"
#include "wasabiroad/traffic/upstream_pool.hpp"

#include <functional>
#include <optional>
#include <variant>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

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

/** @brief The upstream answered, but the caller's connection broke before it had the whole answer. */
struct CallerLost {
    const std::string reason {};

    friend auto operator<=>(const CallerLost&, const CallerLost&) = default;
};

/** @brief How one attempt on an upstream ended. */
using AttemptResult = std::variant<Answered, NotStarted, Lost, Truncated, CallerLost>;

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
    /** @brief Whether the upstream may be stopped by closing its connection when the caller has gone. */
    const bool stoppable { false };
};

/** @brief Sends requests to upstreams and streams their answers to callers. */
class Exchange {
public:
    using Leaving = std::function<void(const model::VmId&)>;

    /**
     * @param pool Connections of the thread.
     * @param clock Steady clock, for deadlines.
     * @param leaving Called as soon as an upstream's answer says that it leaves.
     */
    Exchange(UpstreamPool& pool, kernel::Clock clock, Leaving leaving)
        : pool(pool)
        , clock(clock)
        , leaving(std::move(leaving))
    {
    }

    /**
     * @brief Runs one attempt; it ends at the deadline of the request at the latest.
     * @param caller Connection of the caller; the answer is streamed to it with bounded memory.
     */
    boost::asio::awaitable<AttemptResult> run(const Attempt& attempt, boost::beast::tcp_stream& caller);

    /** @brief Closes the connection to the upstream, so that `run` ends soon. */
    void abort();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<std::variant<UpstreamConnectionPointer, AttemptResult>> connect(
        const Attempt& attempt);
    boost::asio::awaitable<AttemptResult> send(const Attempt& attempt, UpstreamConnection& connection,
        boost::beast::tcp_stream& caller, bool& reusable);
    /** @brief What a read waits for: the whole header, or a full buffer or the end of the body. */
    enum class Until : std::uint8_t { Header, FullBuffer };

    boost::asio::awaitable<boost::system::error_code> read(
        UpstreamConnection& connection, Parser& parser, Until until) const;
    boost::asio::awaitable<boost::system::error_code> readHeader(
        UpstreamConnection& connection, std::optional<Parser>& parser) const;
    boost::asio::awaitable<AttemptResult> receive(const Attempt& attempt, UpstreamConnection& connection,
        boost::beast::tcp_stream& caller, bool& reusable);
    boost::asio::awaitable<AttemptResult> stream(const Attempt& attempt, UpstreamConnection& connection,
        Parser& parser, boost::beast::tcp_stream& caller);
    static boost::asio::awaitable<void> write(boost::beast::tcp_stream& caller, const std::string& header,
        boost::asio::const_buffer part, bool chunked, bool last, boost::system::error_code& failed);

    UpstreamPool& pool;
    const kernel::Clock clock;
    const Leaving leaving;
    UpstreamConnection* active { nullptr };
    bool aborted { false };
};

} // namespace wasabiroad::traffic
